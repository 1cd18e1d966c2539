"""Detects stalls of the event loop."""

import asyncio

from ._events import Event, log_event

TICK_S = 0.1
STALL_THRESHOLD_S = 0.5
SETTLE_DELAY_S = 0.05


class StallWatch:
    """Detects that the event loop was stalled, and lets handlers wait until it has caught up.

    After a stall, the loop reads the data that arrived during it in order of arrival. It reads a
    request before it sees that the caller has since closed the connection, so a handler that does
    not wait would serve callers who have left. The timer callback runs before any task that this
    data wakes, so such a task finds the stall already detected.

    Attributes:
        stalls: The number of stalls detected.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._next_tick_s = self._loop.time() + TICK_S
        self._settles_at_s = float("-inf")
        self._timer: asyncio.TimerHandle | None = None
        self.stalls = 0

    def start(self) -> None:
        """Schedule the next check; checks are repeated until `close`."""
        self._next_tick_s = self._loop.time() + TICK_S
        self._timer = self._loop.call_at(self._next_tick_s, self._tick)

    def close(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()

    async def wait_until_caught_up(self) -> None:
        """Wait until the data that arrived during a stall has been read.

        Returns immediately unless a stall was detected within the last `SETTLE_DELAY_S`.
        """
        remaining_s = self._settles_at_s - self._loop.time()
        if remaining_s > 0:
            await asyncio.sleep(remaining_s)

    def _tick(self) -> None:
        now_s = self._loop.time()
        late_s = now_s - self._next_tick_s
        if late_s > STALL_THRESHOLD_S:
            self.stalls += 1
            self._settles_at_s = now_s + SETTLE_DELAY_S
            log_event(Event.STALLED, late_s=round(late_s, 3))
        self.start()
