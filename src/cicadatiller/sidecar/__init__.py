"""The sidecar: the only process that sends requests to its target."""

from ._class_queue import ClassQueue
from ._main import main
from ._options import SidecarOptions
from ._process import Sidecar
from ._queue import QueuePolicy, Ticket, queue_registry
from ._settings import SidecarSettings

__all__ = [
    "ClassQueue",
    "QueuePolicy",
    "Sidecar",
    "SidecarOptions",
    "SidecarSettings",
    "Ticket",
    "main",
    "queue_registry",
]
