"""A token bucket whose rate may change at any time."""

from dataclasses import dataclass

# Of tokens. Levels are sums of many others, so one that is as wanted may lack a little.
TOLERANCE = 1e-6


@dataclass(frozen=True, kw_only=True, slots=True)
class BucketRate:
    """The rate of a token bucket.

    Attributes:
        rate_per_s: The tokens a second.
        burst: The most tokens that it holds.
    """

    rate_per_s: float
    burst: float


class TokenBucket:
    """Tokens that are refilled at a rate up to a burst size.

    The level may become negative, as others take tokens at the same moment, or more than there are.
    A changed rate forgives nothing of what was taken before, and grants nothing: the level stays,
    but for tokens beyond a smaller burst size. So a rate that changes all the time lets through what
    its mean does.

    Args:
        rate: The rate; the bucket is full at first.
        now_s: The loop time.
    """

    __slots__ = ("_level", "_rate", "_refilled_s")

    def __init__(self, *, rate: BucketRate, now_s: float) -> None:
        self._rate = rate
        self._level = rate.burst
        self._refilled_s = now_s

    def set_rate(self, rate: BucketRate, now_s: float) -> None:
        """Change the rate from now on."""
        self._refill(now_s)
        self._rate = rate
        self._level = min(rate.burst, self._level)

    def wait_s(self, wanted: float, now_s: float) -> float:
        """Return the time until the level is as wanted; zero if it is now."""
        self._refill(now_s)
        missing = wanted - self._level
        return missing / self._rate.rate_per_s if missing > TOLERANCE else 0.0

    def is_full(self, now_s: float) -> bool:
        """Return whether the level is at the burst size."""
        self._refill(now_s)
        return self._level >= self._rate.burst

    def take(self, amount: float, now_s: float) -> None:
        """Take an amount; the level may become negative."""
        self._refill(now_s)
        self._level -= amount

    def limit_debt(self, max_debt: float) -> None:
        """Forget what was taken beyond a debt."""
        self._level = max(self._level, -max_debt)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._level = min(self._rate.burst, self._level + elapsed_s * self._rate.rate_per_s)
        self._refilled_s = max(self._refilled_s, now_s)
