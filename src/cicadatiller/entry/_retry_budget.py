"""Limits the retries of an entry."""

RETRY_SHARE = 0.1
MAX_RETRIES = 100.0


class RetryBudget:
    """Limits retries to a share of the successes, plus a reserve.

    While no request succeeds, at most `MAX_RETRIES` retries are allowed, so that retries can't
    multiply the load. The reserve is full at the start, so that an entry that has just been
    replaced can move the streams of a lost target too.
    """

    def __init__(self) -> None:
        self._level = MAX_RETRIES

    def record_success(self) -> None:
        """Record a request that succeeded; adds `RETRY_SHARE` of a retry to the budget."""
        self._level = min(MAX_RETRIES, self._level + RETRY_SHARE)

    def has_left(self) -> bool:
        """Return whether the budget allows a retry."""
        return self._level >= 1

    def take(self) -> bool:
        """Spend one retry if the budget allows it; return whether it does."""
        if not self.has_left():
            return False
        self._level -= 1
        return True
