"""Notices that the loop stood still."""

import asyncio

TICK_S = 0.1
STALLED_S = 0.5
SETTLE_S = 0.05


class StallWatch:
    """Tells for a moment after a standstill of the process that what it reads may be old.

    What came meanwhile is read first-come, so that a request is seen before the close that followed
    it. Its tick comes before any task that was woken by what was read.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._due_s = self._loop.time() + TICK_S
        self._settled_s = float("-inf")
        self._timer: asyncio.TimerHandle | None = None
        self.stalls = 0

    def start(self) -> None:
        """Watch until `close`."""
        self._due_s = self._loop.time() + TICK_S
        self._timer = self._loop.call_at(self._due_s, self._tick)

    def close(self) -> None:
        """Watch no more."""
        if self._timer is not None:
            self._timer.cancel()

    async def settle(self) -> None:
        """Wait until what came during a standstill has been read; returns at once usually."""
        rest_s = self._settled_s - self._loop.time()
        if rest_s > 0:
            await asyncio.sleep(rest_s)

    def _tick(self) -> None:
        now_s = self._loop.time()
        if now_s - self._due_s > STALLED_S:
            self.stalls += 1
            self._settled_s = now_s + SETTLE_S
        self.start()
