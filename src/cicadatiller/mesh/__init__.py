"""Links over which entries share their work in flight, store records and target failures."""

from ._link import MeshTiming
from ._mesh import Mesh, MeshListener
from ._messages import (
    Greeting,
    RetryUse,
    StoreRecord,
    TargetFailure,
    TargetPace,
    TopicUpdate,
    Update,
    WorkShare,
)

__all__ = [
    "Greeting",
    "Mesh",
    "MeshListener",
    "MeshTiming",
    "RetryUse",
    "StoreRecord",
    "TargetFailure",
    "TargetPace",
    "TopicUpdate",
    "Update",
    "WorkShare",
]
