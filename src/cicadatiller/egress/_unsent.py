"""Waits for the end of a request whose response has already ended with the connection."""

import asyncio
from collections.abc import Callable

from ..kernel import is_reset, unacknowledged_bytes
from ._request_writer import RequestWriter

CHECK_INTERVAL_S = 0.02
# For a server that reads on after its response; one that does not fails the exchange.
UNSENT_TIMEOUT_S = 5.0


class UnsentWatch:
    """Waits until the server's machine has all of a request.

    Without a length, a response ends with its connection. A server that answers before it has read
    the request may close only its sending side at first, and reset the connection later; then the
    response is no whole one.

    Args:
        transport: The connection.
        writer: Writes the request.
    """

    def __init__(self, *, transport: asyncio.Transport, writer: RequestWriter) -> None:
        self._transport = transport
        self._writer = writer
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_unsent(self) -> bool:
        """Return whether a part of the request has not reached the server's machine."""
        if self._writer.has_unsent or self._transport.get_write_buffer_size():
            return True
        sock = self._transport.get_extra_info("socket")
        return sock is not None and unacknowledged_bytes(sock) > 0

    def start(self, *, on_sent: Callable[[], None], on_failed: Callable[[str], None]) -> None:
        """Call `on_sent` once all is sent.

        Args:
            on_sent: The callback.
            on_failed: Called with the reason in its place if the connection is reset first, or is
                not read on within `UNSENT_TIMEOUT_S`.
        """
        self._check(self._loop.time() + UNSENT_TIMEOUT_S, on_sent, on_failed)

    def cancel(self) -> None:
        """Call nothing any more."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(
        self, until_s: float, on_sent: Callable[[], None], on_failed: Callable[[str], None]
    ) -> None:
        sock = self._transport.get_extra_info("socket")
        if sock is not None and is_reset(sock):
            on_failed("the connection was reset after the response, before the request's end")
        elif not self.is_unsent:
            on_sent()
        elif self._loop.time() >= until_s:
            on_failed("the response ended before the request, which is not read on")
        else:
            self._timer = self._loop.call_later(
                CHECK_INTERVAL_S, self._check, until_s, on_sent, on_failed
            )
