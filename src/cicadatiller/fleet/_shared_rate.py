"""A rate of requests to one run of a target, which all entries keep to together.

Serves loads in which a target takes far fewer requests than usual, while many entries use it. There
are no fixed shares: each entry counts what all entries that it is connected to have sent, so what
one does not use, the others may. Only the part of entries that are not connected, as their sends are
unknown, is left to them.
"""

from ..kernel import BucketRate, TokenBucket

# Entries that send at the same moment exceed the rate; they make up for this much of it.
MAX_AHEAD_S = 8.0


class SharedRate:
    """Limits the requests to one run of a target.

    Args:
        rate_per_s: The requests a second that the target takes.
        burst_s: As many requests as it takes in this time may be sent at once, or a single one.
        connected_share: The share of the entries using the target that this entry counts, itself
            included.
        now_s: The loop time.
    """

    __slots__ = ("_bucket", "_burst_s", "_connected_share", "_rate_per_s")

    def __init__(
        self, *, rate_per_s: float, burst_s: float, connected_share: float, now_s: float
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst_s = burst_s
        self._connected_share = connected_share
        self._bucket = TokenBucket(rate=self._own_rate, now_s=now_s)

    def set_rate(self, rate_per_s: float, burst_s: float, now_s: float) -> None:
        """Change the rate; what was sent before still counts."""
        self._rate_per_s = rate_per_s
        self._burst_s = burst_s
        self._apply(now_s)

    def set_connected_share(self, connected_share: float, now_s: float) -> None:
        """Change the share of the entries that this one counts."""
        self._connected_share = connected_share
        self._apply(now_s)

    def record_send(self, now_s: float) -> None:
        """Record a request to the target, of this entry or of a connected one."""
        self._bucket.take(1, now_s)
        self._bucket.limit_debt(self._max_debt)

    def forgive(self) -> None:
        """Forget what was sent beyond the rate."""
        self._bucket.limit_debt(0.0)

    def next_send_s(self, now_s: float) -> float:
        """Return the loop time from which this entry may send the next request."""
        return now_s + self._bucket.wait_s(1, now_s)

    def _apply(self, now_s: float) -> None:
        self._bucket.set_rate(self._own_rate, now_s)
        self._bucket.limit_debt(self._max_debt)

    @property
    def _own_rate(self) -> BucketRate:
        """Return the rate of the connected entries."""
        rate_per_s = self._rate_per_s * self._connected_share
        return BucketRate(rate_per_s=rate_per_s, burst=max(1.0, rate_per_s * self._burst_s))

    @property
    def _max_debt(self) -> float:
        """Return how much less than nothing is left at most, for entries that sent at once."""
        rate = self._own_rate
        return max(0.0, rate.rate_per_s * MAX_AHEAD_S - rate.burst)
