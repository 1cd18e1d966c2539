"""The targets that an entry knows, their circuit breakers, and the store that lists them."""

from ._availability import Availability, select_open, select_usable, usable_from_s
from ._breaker import Breaker, HasBreaker, eject_failing, eject_slow, usable_targets
from ._directory import Target, TargetDirectory
from ._part_breakers import OpenPart, PartBreakers, PartListener, PromptLoss
from ._store import (
    UNSTATED_ERA,
    HistoryLostError,
    KeyedLog,
    KeyedPage,
    KeyedRecord,
    StorePosition,
    StoreUnavailableError,
    Topic,
)
from ._subset import SHARING_ENTRIES, TargetSubset, ring_order
from ._target import TargetRecord, TargetState

__all__ = [
    "SHARING_ENTRIES",
    "Availability",
    "UNSTATED_ERA",
    "Breaker",
    "HasBreaker",
    "HistoryLostError",
    "KeyedLog",
    "KeyedPage",
    "KeyedRecord",
    "OpenPart",
    "PartBreakers",
    "PartListener",
    "PromptLoss",
    "StorePosition",
    "StoreUnavailableError",
    "Target",
    "TargetDirectory",
    "TargetRecord",
    "TargetState",
    "TargetSubset",
    "Topic",
    "eject_failing",
    "eject_slow",
    "ring_order",
    "select_open",
    "select_usable",
    "usable_from_s",
    "usable_targets",
]
