"""The targets that an entry knows, their circuit breakers, and the store that lists them."""

from ._breaker import Breaker, HasBreaker, eject_failing, eject_slow, usable_targets
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
    "Breaker",
    "HasBreaker",
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
    "eject_failing",
    "eject_slow",
    "usable_targets",
]
