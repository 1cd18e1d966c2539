"""The retry budget of an entry."""

RETRY_SHARE = 0.1
MAX_RETRIES = 100.0


class RetryBudget:
    """Lets retries be at most a share of successes, beyond a reserve.

    Retries can't multiply load: while nothing succeeds there are at most `MAX_RETRIES` of them. The
    reserve is full from the start, so that an entry that was just replaced can move the streams of
    a lost target as any other can.
    """

    def __init__(self) -> None:
        self._level = MAX_RETRIES

    def record_success(self) -> None:
        """Note a request that was answered."""
        self._level = min(MAX_RETRIES, self._level + RETRY_SHARE)

    def take(self) -> bool:
        """Ask for one retry."""
        if self._level < 1:
            return False
        self._level -= 1
        return True
