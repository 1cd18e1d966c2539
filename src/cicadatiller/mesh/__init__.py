"""Links over which entries share their work in flight, store records and target failures."""

from ._compact import compact, expand, pack_records, unpack_records
from ._link import MeshTiming
from ._mesh import Mesh, MeshListener
from ._messages import (
    COMPACT_PROTOCOL,
    FIRST_PROTOCOL,
    ClearedPart,
    Greeting,
    LostPrompt,
    PartNews,
    RetryUse,
    StoreRecord,
    TargetFailure,
    TargetLeaving,
    TargetPace,
    TopicEra,
    TopicPage,
    TopicRequest,
    TopicUpdate,
    TrippedPart,
    Update,
    WorkShare,
)

__all__ = [
    "COMPACT_PROTOCOL",
    "FIRST_PROTOCOL",
    "ClearedPart",
    "Greeting",
    "LostPrompt",
    "Mesh",
    "MeshListener",
    "MeshTiming",
    "PartNews",
    "RetryUse",
    "StoreRecord",
    "TargetFailure",
    "TargetLeaving",
    "TargetPace",
    "TopicEra",
    "TopicPage",
    "TopicRequest",
    "TopicUpdate",
    "TrippedPart",
    "Update",
    "WorkShare",
    "compact",
    "expand",
    "pack_records",
    "unpack_records",
]
