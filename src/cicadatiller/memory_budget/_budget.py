"""The bytes that the connections of one process may hold together.

Serves bursts of long requests and callers that don't behave: what would not fit is refused before it
is read, and short requests have a part of their own that long ones can't use up.
"""

import math
from collections.abc import Callable

from ._eviction import choose_for_bytes
from ._holding import Holding

# Of the limit, what connections may use whose requests hold more than `SHORT_BYTES`.
LONG_SHARE = 0.7
SHORT_BYTES = 64 * 1024


class MemoryBudget:
    """Sums what connections hold, and refuses more than the limit.

    Input is refused if there is no room; output can't be, so stalled connections are closed for it.

    Args:
        limit_bytes: The limit on the sum; infinite for none.

    Attributes:
        held_bytes: The sum now.
        refused: How often there was no room.
        evicted: How many connections were closed to make room.
    """

    def __init__(self, *, limit_bytes: float = math.inf) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.refused = 0
        self.evicted = 0
        self._holdings: set[Holding] = set()

    def open(self, evict: Callable[[], None], now_s: float) -> Holding:
        """Return the holding of a new connection, which `evict` closes."""
        holding = Holding(evict=evict, now_s=now_s)
        self._holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Release all that a connection holds; idempotent."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self.held_bytes -= holding.held_bytes

    def has_room(self, holding: Holding, input_bytes: int, now_s: float) -> bool:
        """Return whether a connection's requests may take so many bytes.

        Stalled connections are closed if there is no room otherwise.
        """
        more_bytes = input_bytes - holding.input_bytes
        limit_bytes = self.limit_bytes
        if input_bytes > SHORT_BYTES:
            limit_bytes *= LONG_SHARE
        missing_bytes = self.held_bytes + more_bytes - limit_bytes
        if more_bytes <= 0 or missing_bytes <= 0:
            return True
        freed_bytes = self.relieve(math.ceil(missing_bytes), now_s, spared=holding)
        if freed_bytes >= missing_bytes:
            return True
        self.refused += 1
        return False

    def try_hold_input(self, holding: Holding, input_bytes: int, now_s: float) -> bool:
        """Set what a connection's requests take; return False, unchanged, if there is no room."""
        if holding not in self._holdings:
            return False
        if not self.has_room(holding, input_bytes, now_s):
            return False
        self.held_bytes += input_bytes - holding.input_bytes
        holding.input_bytes = input_bytes
        return True

    def set_output(self, holding: Holding, output_bytes: int, now_s: float) -> None:
        """Set what a caller has not taken; beyond the limit, stalled connections are closed."""
        if holding not in self._holdings:
            return
        self.held_bytes += output_bytes - holding.output_bytes
        holding.output_bytes = output_bytes
        excess_bytes = self.held_bytes - self.limit_bytes
        if excess_bytes > 0:
            self.relieve(math.ceil(excess_bytes), now_s)

    def relieve(self, needed_bytes: int, now_s: float, *, spared: Holding | None = None) -> int:
        """Close stalled connections that hold as much as needed; return what that frees."""
        others = (holding for holding in self._holdings if holding is not spared)
        freed_bytes = 0
        for holding in choose_for_bytes(others, needed_bytes, now_s):
            freed_bytes += holding.held_bytes
            self.evicted += 1
            self.close(holding)
            holding.evict()
        return freed_bytes
