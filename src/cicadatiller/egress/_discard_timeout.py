"""Limits the wait for the response to an exchange after another one was discarded."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass


def _ignore() -> None:
    """Do nothing."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DiscardPolicy:
    """What to do if a response was discarded that may have been that to the exchange.

    Attributes:
        timeout_s: The time from the discarded response after which the exchange fails unless its
            own response has begun.
        on_discard: Called when such a response is discarded.
    """

    timeout_s: float
    on_discard: Callable[[], None] = _ignore


class DiscardTimeout:
    """Fails an exchange whose response does not begin in time after another one was discarded.

    Args:
        policy: What to do; None to wait without a limit.
    """

    def __init__(self, *, policy: DiscardPolicy | None) -> None:
        self._policy = policy
        self._timer: asyncio.TimerHandle | None = None

    def start(self, on_expired: Callable[[], None]) -> None:
        """Start the timeout, unless it runs, and report the discarded response.

        Args:
            on_expired: Called when the timeout expires.
        """
        if self._policy is None or self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._policy.timeout_s, on_expired)
        self._policy.on_discard()

    def cancel(self) -> None:
        """Cancel the timeout, as the response has begun or the exchange has ended."""
        # An idle connection must not keep its last request in memory.
        self._policy = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
