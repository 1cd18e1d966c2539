"""Links over which entries share their work in flight, store records and target failures."""

from ._compact import compact, expand, pack_records, unpack_records
from ._evidence import find_problem, from_rows, to_rows
from ._link import MeshTiming
from ._mesh import Mesh, MeshListener
from ._messages import (
    COMPACT_PROTOCOL,
    FIRST_PROTOCOL,
    ClearedFingerprint,
    Evidence,
    Greeting,
    LostRequest,
    RetryUse,
    StoreRecord,
    TargetFailure,
    TargetLeaving,
    TargetPace,
    TargetRate,
    TopicEra,
    TopicPage,
    TopicRequest,
    TopicUpdate,
    TrippedBreaker,
    Update,
    WorkShare,
)

__all__ = [
    "COMPACT_PROTOCOL",
    "FIRST_PROTOCOL",
    "ClearedFingerprint",
    "Greeting",
    "LostRequest",
    "Mesh",
    "MeshListener",
    "MeshTiming",
    "Evidence",
    "RetryUse",
    "StoreRecord",
    "TargetFailure",
    "TargetLeaving",
    "TargetPace",
    "TargetRate",
    "TopicEra",
    "TopicPage",
    "TopicRequest",
    "TopicUpdate",
    "TrippedBreaker",
    "Update",
    "WorkShare",
    "compact",
    "expand",
    "find_problem",
    "from_rows",
    "pack_records",
    "to_rows",
    "unpack_records",
]
