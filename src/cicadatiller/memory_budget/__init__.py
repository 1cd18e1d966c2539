"""Memory budget: limits what the connections of a process hold together."""

from ._budget import LONG_SHARE, SHORT_BYTES, MemoryBudget
from ._eviction import STALL_S, choose_for_bytes, choose_for_slot
from ._holding import Holding
from ._limits import ProcessLimits

__all__ = [
    "Holding",
    "LONG_SHARE",
    "MemoryBudget",
    "ProcessLimits",
    "SHORT_BYTES",
    "STALL_S",
    "choose_for_bytes",
    "choose_for_slot",
]
