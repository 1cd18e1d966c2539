"""The time limits of open requests, which a shutdown brings forward."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

from ..kernel import ErrorKind, fail


class OpenRequests:
    """Ends each request at its deadline, and all that are open when the entry shuts down.

    Attributes:
        ends_at_s: The loop time at which requests end at the latest; infinite unless the entry shuts
            down.
    """

    def __init__(self) -> None:
        self.ends_at_s = math.inf
        self._timeouts: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def limit(self, deadline_s: float) -> AsyncIterator[None]:
        """Cancel the body at a request's deadline, or at the end of a shutdown.

        Raises:
            TimeoutError: At the deadline.
            FailureError: STOPPING, at the end of a shutdown. Its run state is that of a request that
                did not run; the caller of this function knows whether it was sent.
        """
        try:
            async with asyncio.timeout_at(min(deadline_s, self.ends_at_s)) as timeout:
                self._timeouts.add(timeout)
                try:
                    yield
                finally:
                    self._timeouts.discard(timeout)
        except TimeoutError:
            if asyncio.get_running_loop().time() >= deadline_s:
                raise
            message = "the entry shut down before the response was complete"
            raise fail(ErrorKind.STOPPING, message) from None

    def end_all_at(self, ends_at_s: float) -> None:
        """Let all requests end by a loop time, those that are open and those to come."""
        self.ends_at_s = ends_at_s
        for timeout in self._timeouts:
            due_s = timeout.when()
            if due_s is not None and due_s > ends_at_s and not timeout.expired():
                timeout.reschedule(ends_at_s)
