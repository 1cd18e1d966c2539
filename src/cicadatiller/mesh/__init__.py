"""What entries tell each other: their work in flight, what they read of the store, failures."""

from ._link import MeshTiming
from ._mesh import Mesh, MeshListener
from ._messages import (
    Greeting,
    RetryUse,
    StoreRecord,
    TargetFailure,
    TargetPace,
    TopicNews,
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
    "TopicNews",
    "Update",
    "WorkShare",
]
