"""An event loop with a virtual clock, which advances only when no callback is ready."""

import asyncio
import selectors
import unittest


class DeadlockError(Exception):
    """Every task waits and no timer is set, so that the loop would block for ever."""


class _PausedSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.loop: PausedLoop | None = None

    def select(self, timeout=None):
        events = super().select(0)
        if events or timeout == 0 or self.loop is None:
            return events
        if timeout is None:
            raise DeadlockError("every task waits and no timer is set")
        self.loop.advance(timeout)
        return []


class PausedLoop(asyncio.SelectorEventLoop):
    """A loop that advances its virtual clock to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        selector = _PausedSelector()
        self._now_s = 1000.0
        super().__init__(selector)
        selector.loop = self

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advance the virtual clock."""
        self._now_s += seconds


class PausedCase(unittest.TestCase):
    """A test case whose `run_paused` runs a coroutine on a new `PausedLoop`."""

    loop_type = PausedLoop

    def run_paused(self, coroutine):
        """Run a coroutine until it completes, and return its result."""
        loop = self.loop_type()
        try:
            asyncio.set_event_loop(loop)
            return loop.run_until_complete(coroutine)
        finally:
            asyncio.set_event_loop(None)
            loop.close()
