"""An event loop whose clock moves only when nothing else can happen."""

import asyncio
import selectors
import unittest


class DeadlockError(Exception):
    """Every task waits and no timer is set."""


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
    """A loop that jumps to the next timer at once."""

    def __init__(self) -> None:
        selector = _PausedSelector()
        self._now_s = 1000.0
        super().__init__(selector)
        selector.loop = self

    def time(self) -> float:
        """Return the paused time."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the clock."""
        self._now_s += seconds


class PausedCase(unittest.TestCase):
    """A test case whose `run_paused` runs a coroutine on a fresh paused loop."""

    loop_type = PausedLoop

    def run_paused(self, coroutine):
        """Run a coroutine to its end and return its result."""
        loop = self.loop_type()
        try:
            asyncio.set_event_loop(loop)
            return loop.run_until_complete(coroutine)
        finally:
            asyncio.set_event_loop(None)
            loop.close()
