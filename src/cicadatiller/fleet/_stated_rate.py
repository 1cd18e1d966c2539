"""The rate of requests that a target takes from all entries together.

Serves loads in which a target in need takes far fewer requests than usual, while many entries use
it. There are no fixed shares: each entry counts what all entries that it is connected to have sent,
so what one does not use, the others may. Only the part of entries that are not connected, as their
sends are unknown, is left to them.
"""

import math

# As many requests as the target takes in this time may be sent at once, or a single one.
BURST_S = 1.0
# A lower rate counts as this: a request shows whether the target still states it.
MIN_RATE_PER_S = 0.1
# Entries that send at the same moment exceed the rate; they make up for this much of it.
MAX_AHEAD_S = 8.0


class StatedRate:
    """Limits the requests to one run of a target.

    Attributes:
        rate_per_s: The requests a second that it takes from all entries; infinite if it states
            none.
        burst_s: As many requests as the target takes in this time may be sent at once.
        connected_share: The share of the entries using the target that this entry counts, itself
            included.
    """

    # There is one for each target, and most are never used.
    __slots__ = ("_spent_until_s", "_stated_s", "burst_s", "connected_share", "rate_per_s")

    def __init__(self) -> None:
        self.rate_per_s = math.inf
        self.burst_s = BURST_S
        self.connected_share = 1.0
        self._stated_s = -math.inf
        # When what was sent so far would be due at the stated rate.
        self._spent_until_s = -math.inf

    @property
    def is_limited(self) -> bool:
        """Return whether the target states a rate."""
        return self.rate_per_s < math.inf

    def record(self, rate_per_s: float, now_s: float, *, sent_s: float = math.inf) -> bool:
        """Record a statement; return whether it changes the rate.

        Args:
            rate_per_s: The stated rate; infinite if a response states none.
            now_s: The loop time.
            sent_s: When the request was sent that the target answered. Its response may be older
                than the last change if that is.
        """
        if rate_per_s == self.rate_per_s or sent_s < self._stated_s:
            return False
        self.rate_per_s = rate_per_s
        self._stated_s = now_s
        self._spent_until_s = min(self._spent_until_s, now_s + self._interval_s)
        return True

    def record_send(self, now_s: float) -> None:
        """Record a request to the target, of this entry or of a connected one."""
        if not self.is_limited:
            return
        ahead_s = max(0.0, self._spent_until_s - now_s) + self._interval_s
        self._spent_until_s = now_s + min(ahead_s, max(MAX_AHEAD_S, self._interval_s))

    def next_send_s(self, now_s: float) -> float:
        """Return the loop time from which this entry may send the next request."""
        if not self.is_limited:
            return now_s
        burst_s = max(0.0, self.burst_s - self._interval_s)
        return max(now_s, self._spent_until_s - burst_s)

    @property
    def _interval_s(self) -> float:
        """Return the time between two requests of the connected entries; 0 without a limit."""
        return 1 / (max(MIN_RATE_PER_S, self.rate_per_s) * self.connected_share)
