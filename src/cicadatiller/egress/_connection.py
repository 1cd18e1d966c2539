"""One connection to a server, which carries one request at a time."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import httptools

from ..ingress import Header, find_header
from ._keepalive import TcpKeepalive, configure_keepalive

READ_HIGH_WATER_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
WRITE_HIGH_WATER_BYTES = 256 * 1024

FIRST_FINAL_STATUS = 200
NO_CONTENT = 204
NOT_MODIFIED = 304


class EgressError(Exception):
    """An exchange ended without a complete response."""


class ConnectionLostError(EgressError):
    """The connection could not be opened, or was lost before the response was complete."""


class MalformedResponseError(EgressError):
    """The server sent data that is not a valid response, or a response above a size limit."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """The status and headers of a response.

    Attributes:
        status: The status code.
        headers: The header names as sent and their values, in order.
        has_length: Whether the headers or the status define the end of the body; otherwise it
            ends when the server closes the connection.
    """

    status: int
    headers: tuple[Header, ...]
    has_length: bool

    def find(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a lower-case name, or None."""
        return find_header(self.headers, name)


class EgressConnection(asyncio.Protocol):
    """A connection that this process opened.

    `httptools` calls the methods whose names begin with `on_`.

    Attributes:
        address: The address of the server, "host:port".
        is_open: Whether requests can be sent.
        is_reused: Whether an exchange has been completed on the connection.
        idle_since_s: The loop time at which the last exchange ended or the connection was opened.
        received_s: The loop time at which data was last received.
        keep_alive_s: The idle timeout that the server announced in its Keep-Alive header; None if
            it announced none.
    """

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.is_open = True
        self.is_reused = False
        self.idle_since_s = 0.0
        self.received_s = 0.0
        self.keep_alive_s: float | None = None
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpResponseParser(self)
        self._heads: deque[ResponseHead] = deque()
        self._body: deque[bytes] = deque()
        self._body_bytes = 0
        self._read_paused = False
        self._is_complete = False
        self._may_reuse = False
        self._is_in_exchange = False
        self._error: EgressError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._has_head = False
        self._reads_until_close = False
        self._write_paused = False
        self._matches_request: Callable[[ResponseHead], bool] | None = None
        self._is_discarding = False
        self._refusal = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its write buffer limit."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)

    def data_received(self, data: bytes) -> None:
        """Parse data from the server."""
        if not self._is_in_exchange or self._is_complete:
            self._fail(
                MalformedResponseError(f"{self.address} sent data without a pending request")
            )
            return
        self.received_s = self._loop.time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._is_complete:
                self._may_reuse = False
            else:
                reason = self._refusal or f"cannot parse the response: {error}"
                self._fail(MalformedResponseError(f"{reason} (from {self.address})"))

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection."""
        if self._reads_until_close and not self._is_complete:
            self._complete(may_reuse=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a pending exchange."""
        reason = "it was closed" if exc is None else str(exc)
        self._fail(ConnectionLostError(f"connection to {self.address} lost: {reason}"))

    def pause_writing(self) -> None:
        """Record that the write buffer is above its limit."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Record that the write buffer has drained."""
        self._write_paused = False

    def on_message_begin(self) -> None:
        """Start a response."""
        self._headers = []
        self._head_bytes = 0
        self._has_head = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers after the body are ignored."""
        if self._has_head:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(f"response headers exceed {MAX_HEAD_BYTES} bytes")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Make the head of a final response available to `read_head`."""
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        self._has_head = True
        has_length = self._has_framing(status)
        self._reads_until_close = not has_length
        head = ResponseHead(status=status, headers=tuple(self._headers), has_length=has_length)
        self._read_keep_alive(head)
        # A late response to an earlier request is discarded with its body.
        self._is_discarding = self._matches_request is not None and not self._matches_request(head)
        if not self._is_discarding:
            self._heads.append(head)
            self._notify()

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body and pause reading while the buffer is full."""
        if self._is_complete:
            self._refuse("received data after the end of the response")
        if self._is_discarding:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > READ_HIGH_WATER_BYTES and not self._read_paused:
            self._read_paused = True
            self._require_transport().pause_reading()
        self._notify()

    def on_message_complete(self) -> None:
        """Complete a final response."""
        if not self._has_head:
            return
        if self._is_complete:
            self._refuse("received a second response to one request")
        if self._is_discarding:
            self._is_discarding = False
            return
        self._complete(may_reuse=self._parser.should_keep_alive())

    def _refuse(self, reason: str) -> None:
        # httptools replaces an exception of a callback by its own, so the reason is kept here.
        self._refusal = reason
        raise MalformedResponseError(reason)

    def start(
        self, request: bytes, *, matches_request: Callable[[ResponseHead], bool] | None = None
    ) -> None:
        """Send a request.

        Args:
            request: The request with its head and body.
            matches_request: Returns whether a response belongs to this request; other responses are
                discarded. None to accept any response.

        Raises:
            EgressError: If the connection is closed; the error that closed it, if any.
        """
        if not self.is_open:
            raise self._error or ConnectionLostError(f"connection to {self.address} is closed")
        self._is_in_exchange = True
        self._matches_request = matches_request
        self._is_complete = False
        self._may_reuse = False
        self._reads_until_close = False
        self._require_transport().write(request)

    @property
    def is_readable(self) -> bool:
        """Return whether a read would not block: data, the end or an error is available."""
        return bool(self._heads or self._body) or self._is_complete or self._error is not None

    async def wait_for_data(self) -> bool:
        """Wait until data or the end of the response can be read; return False on an error."""
        while not self.is_readable:
            with suppress(EgressError):
                await self._wait()
        return bool(self._heads or self._body) or self._is_complete

    async def read_head(self) -> ResponseHead:
        """Wait for the status and headers of the final response; raises `EgressError`."""
        while not self._heads:
            await self._wait()
        return self._heads.popleft()

    async def read_body(self) -> bytes:
        """Wait for the next part of the body, which is empty at the end; raises `EgressError`."""
        while not self._body:
            if self._is_complete:
                return b""
            await self._wait()
        part = self._body.popleft()
        self._body_bytes -= len(part)
        if self._read_paused and self._body_bytes <= READ_HIGH_WATER_BYTES // 2:
            self._read_paused = False
            self._require_transport().resume_reading()
        return part

    async def read_whole_body(self, max_bytes: int) -> bytes:
        """Wait for the complete body.

        Raises:
            EgressError: If the body is incomplete, malformed or longer than `max_bytes`.
        """
        parts: list[bytes] = []
        size_bytes = 0
        while part := await self.read_body():
            size_bytes += len(part)
            if size_bytes > max_bytes:
                raise MalformedResponseError(f"response body exceeds {max_bytes} bytes")
            parts.append(part)
        return b"".join(parts)

    def finish(self) -> bool:
        """End the exchange and return whether the connection is reusable; close it if not."""
        reusable = self.is_open and self._is_complete and self._may_reuse
        # While this request is partly unsent, the next one would be queued behind its remainder.
        if not reusable or self._body or self._heads or self._write_paused:
            self.close()
            return False
        self._is_in_exchange = False
        self.is_reused = True
        self.idle_since_s = self._loop.time()
        self._parser = httptools.HttpResponseParser(self)
        return True

    def close(self) -> None:
        """Abort the connection, by which the server detects that the request was abandoned."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _has_framing(self, status: int) -> bool:
        if status in (NO_CONTENT, NOT_MODIFIED):
            return True
        names = {name.lower() for name, _ in self._headers}
        return b"content-length" in names or b"transfer-encoding" in names

    def _read_keep_alive(self, head: ResponseHead) -> None:
        value = head.find(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.keep_alive_s = float(seconds)

    def _complete(self, *, may_reuse: bool) -> None:
        self._is_complete = True
        self._may_reuse = may_reuse
        self._notify()

    def _fail(self, error: EgressError) -> None:
        if self._error is None:
            self._error = error
        self.close()
        self._notify()

    def _notify(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        if self._error is not None:
            raise self._error
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _require_transport(self) -> asyncio.Transport:
        if self._transport is None:
            raise ConnectionLostError(f"connection to {self.address} is not open")
        return self._transport


async def open_connection(
    address: str, *, timeout_s: float, keepalive: TcpKeepalive
) -> EgressConnection:
    """Open a connection to "host:port".

    Raises:
        ConnectionLostError: If the connection can't be opened in time; no request was sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(
                lambda: EgressConnection(address=address), host, int(port)
            )
    except (OSError, ValueError) as error:
        raise ConnectionLostError(f"cannot connect to {address}: {error!r}") from error
    sock = transport.get_extra_info("socket")
    if sock is not None:
        configure_keepalive(sock, keepalive)
    connection.idle_since_s = loop.time()
    return connection
