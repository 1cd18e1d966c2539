"""The open attempts of one request: the current one, and those whose targets are silent."""

import asyncio
from collections.abc import Collection
from typing import Any

from ._attempt import Attempt


async def cancel_all(tasks: Collection[asyncio.Future[Any]]) -> None:
    """Cancel tasks and wait until they have ended; a connection has one reader at a time."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class OpenAttempts:
    """Owns the attempts of one request.

    A silent attempt stays open until another one forwards an event or the request ends, since the
    other may fail where the silent target would have answered.
    """

    def __init__(self) -> None:
        self._open: list[Attempt] = []
        self._silent: list[Attempt] = []

    @property
    def has_silent(self) -> bool:
        """Return whether an attempt is kept although its target is silent."""
        return bool(self._silent)

    def add(self, attempt: Attempt) -> None:
        """Add the current attempt."""
        self._open.append(attempt)

    def keep_silent(self, attempt: Attempt) -> None:
        """Keep an attempt whose target is silent."""
        self._silent.append(attempt)

    async def take_readable(self) -> Attempt:
        """Wait until a silent target sends data or its connection ends, and return its attempt.

        The attempt no longer counts as silent.
        """
        waits = {
            asyncio.ensure_future(attempt.wait_readable()): attempt for attempt in self._silent
        }
        try:
            done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            await cancel_all(waits)
        attempt = next(waits[wait] for wait in waits if wait in done)
        self._silent.remove(attempt)
        return attempt

    def close(self, attempt: Attempt) -> None:
        """Close an attempt that has ended."""
        self._open.remove(attempt)
        attempt.close()

    def close_others(self, current: Attempt) -> None:
        """Close all attempts but one, which has forwarded an event."""
        for attempt in [attempt for attempt in self._open if attempt is not current]:
            self.close(attempt)
        self._silent.clear()

    def close_all(self) -> None:
        """Close all attempts, as the request has ended."""
        while self._open:
            self._open.pop().close()
