"""The time for which one run of a target is cold, and the requests that it takes meanwhile.

Serves loads in which a target, or a whole data centre of them, comes back with cold caches while
the others are full: it is slow for some seconds, and more requests than it tolerates crash it. All
entries together keep to its rate; see `SharedRate`.
"""

import math
from collections import deque
from dataclasses import dataclass

from ._shared_rate import SharedRate

# Longer times are cut to this, so that a wrong statement is not kept for long.
MAX_COLD_S = 60.0
# The time after which entries have heard of each other's requests, on instances that are busy.
VIEW_DELAY_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdLimits:
    """How many requests a cold target takes from all entries together.

    Attributes:
        rate_per_s: The requests a second that it tolerates for as long as it is cold.
        burst: The requests beyond the rate that it tolerates in any one second.
    """

    rate_per_s: float
    burst: float


class ColdStart:
    """Limits the requests to one run of a target while it is cold.

    One half of the burst may be sent at once on top of the rate. The other half is kept for entries
    that send at the same moment, before they hear of each other.
    """

    def __init__(self) -> None:
        self._shared: SharedRate | None = None
        self._connected_share = 1.0
        self._until_s = -math.inf
        self._limits: ColdLimits | None = None
        self._own_burst = 1
        self._own_sends_s: deque[float] = deque()

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target is cold now."""
        return now_s < self._until_s

    def remaining_s(self, now_s: float) -> float:
        """Return the time for which the target stays cold; 0 if it is not."""
        return max(0.0, self._until_s - now_s)

    def record(self, remaining_s: float, limits: ColdLimits, now_s: float) -> bool:
        """Record that the target is cold for a time; return whether it was not known to be.

        A shorter time does not end an earlier one, as statements may be late.
        """
        was_cold = self.is_cold(now_s)
        self._until_s = max(self._until_s, now_s + min(remaining_s, MAX_COLD_S))
        if limits != self._limits:
            self._limits = limits
            self._share(limits, now_s)
        return self.is_cold(now_s) and not was_cold

    def _share(self, limits: ColdLimits, now_s: float) -> None:
        burst_s = limits.burst / 2 / limits.rate_per_s
        if self._shared is not None:
            self._shared.set_rate(limits.rate_per_s, burst_s, now_s)
            return
        self._shared = SharedRate(
            rate_per_s=limits.rate_per_s,
            burst_s=burst_s,
            connected_share=self._connected_share,
            now_s=now_s,
        )

    def set_users(self, *, connected: int, users: int, now_s: float) -> None:
        """Set how many entries use the target, and how many of them are connected to this one."""
        connected = max(1, connected)
        self._connected_share = connected / max(connected, users)
        if self._shared is not None:
            self._shared.set_connected_share(self._connected_share, now_s)
        if self._limits is not None:
            self._own_burst = max(1, int(self._limits.burst / 2 / max(connected, users)))

    def record_send(self, now_s: float, *, is_own: bool) -> None:
        """Record a request to the target, of this entry or of a connected one."""
        if self._shared is None or not self.is_cold(now_s):
            return
        self._shared.record_send(now_s)
        if is_own:
            self._own_sends_s.append(now_s)

    def next_send_s(self, now_s: float) -> float:
        """Return the loop time from which this entry may send the next request."""
        if self._shared is None or not self.is_cold(now_s):
            self._own_sends_s.clear()
            return now_s
        while self._own_sends_s and self._own_sends_s[0] <= now_s - VIEW_DELAY_S:
            self._own_sends_s.popleft()
        due_s = self._shared.next_send_s(now_s)
        if len(self._own_sends_s) >= self._own_burst:
            due_s = max(due_s, self._own_sends_s[-self._own_burst] + VIEW_DELAY_S)
        return min(due_s, self._until_s)
