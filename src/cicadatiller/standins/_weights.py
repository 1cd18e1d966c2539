"""A stand-in for the rate-limited weight store."""

import asyncio

from ..backing import PlatformUnavailableError


class WeightStoreStandin:
    """Limits model loads to one start per interval.

    Attributes:
        interval_s: The minimum time between the starts of two loads.
        down: Whether every call fails.
    """

    def __init__(self, *, interval_s: float = 0.0) -> None:
        self.interval_s = interval_s
        self.down = False
        self._next_s = 0.0

    async def acquire(self, model: str, version: str) -> float:
        """Request permission to load weights.

        Returns:
            Zero if the load may start, else the time to wait in seconds.
        """
        if self.down:
            raise PlatformUnavailableError("the weight store is down")
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_s:
            return self._next_s - now_s
        self._next_s = now_s + self.interval_s
        return 0.0

    async def close(self) -> None:
        """Do nothing; there are no connections to close."""
