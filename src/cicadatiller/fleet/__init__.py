"""The targets that an entry knows, and what it knows of them."""

from ._directory import Target, TargetDirectory
from ._store import (
    HistoryLostError,
    KeyedLog,
    KeyedPage,
    KeyedRecord,
    StoreUnavailableError,
    Topic,
)
from ._target import TargetRecord, TargetState

__all__ = [
    "HistoryLostError",
    "KeyedLog",
    "KeyedPage",
    "KeyedRecord",
    "StoreUnavailableError",
    "Target",
    "TargetDirectory",
    "TargetRecord",
    "TargetState",
    "Topic",
]
