"""One connection to a server: sends a request, reads its answer, one at a time."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from ..ingress import Header, find_header
from ._silence import SilenceTiming, watch_for_silence

READ_HIGH_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
WRITE_HIGH_BYTES = 256 * 1024

NOT_SWITCHED = 200
NO_CONTENT = 204
NOT_MODIFIED = 304


class EgressError(Exception):
    """An exchange did not end with a whole answer."""


class ConnectionLostError(EgressError):
    """The connection could not be opened, or ended before the whole answer."""


class AnswerBrokenError(EgressError):
    """The bytes that came are no answer in the protocol."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """The status and headers of an answer.

    Attributes:
        status: The status.
        headers: Names as sent and values, in order.
        has_length: Whether the body says where it ends; else it ends with the connection.
    """

    status: int
    headers: tuple[Header, ...]
    has_length: bool

    def find(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a lower-case name; None if there is none."""
        return find_header(self.headers, name)


class EgressConnection(asyncio.Protocol):
    """A connection that this process opened.

    The method names that begin with `on_` are those that `httptools` calls.

    Attributes:
        address: Where it leads to.
        is_open: Whether it may still be used.
        is_reused: Whether it has carried an exchange before.
        idle_since_s: When its last exchange ended, by the loop's time.
        received_s: When bytes came last, by the loop's time.
        keep_alive_s: How long the server keeps it while idle; None if the server did not say.
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
        self._is_paused = False
        self._is_complete = False
        self._may_reuse = False
        self._in_exchange = False
        self._error: EgressError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._has_head = False
        self._reads_until_close = False
        self._write_paused = False
        self._is_answer: Callable[[ResponseHead], bool] | None = None
        self._skips = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the server."""
        if not self._in_exchange or self._is_complete:
            # Nothing was asked for: these bytes belong to no request.
            self._fail(AnswerBrokenError("bytes came that belong to no request"))
            return
        self.received_s = self._loop.time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._is_complete:
                self._may_reuse = False
            else:
                self._fail(AnswerBrokenError(f"the answer can't be read: {error}"))

    def eof_received(self) -> bool:
        """Take the end of the server's bytes."""
        if self._reads_until_close and not self._is_complete:
            self._complete(may_reuse=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        reason = "it was closed" if exc is None else str(exc)
        self._fail(ConnectionLostError(f"connection to {self.address}: {reason}"))

    def pause_writing(self) -> None:
        """Note that the server reads slowly."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Note that the server has caught up."""
        self._write_paused = False

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._headers = []
        self._head_bytes = 0
        self._has_head = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header; trailers after the body are dropped."""
        if self._has_head:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise AnswerBrokenError("the headers are too long")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Make the head available."""
        status = self._parser.get_status_code()
        if status < NOT_SWITCHED:
            return
        self._has_head = True
        has_length = self._has_framing(status)
        self._reads_until_close = not has_length
        head = ResponseHead(status=status, headers=tuple(self._headers), has_length=has_length)
        self._note_keep_alive(head)
        # An answer to an earlier request may come late; it is dropped whole.
        self._skips = self._is_answer is not None and not self._is_answer(head)
        if not self._skips:
            self._heads.append(head)
            self._notify()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._is_complete:
            raise AnswerBrokenError("bytes came after the answer")
        if self._skips:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > READ_HIGH_BYTES and not self._is_paused:
            self._is_paused = True
            self._require_transport().pause_reading()
        self._notify()

    def on_message_complete(self) -> None:
        """Finish an answer."""
        if not self._has_head:
            return
        if self._is_complete:
            raise AnswerBrokenError("a second answer came")
        if self._skips:
            self._skips = False
            return
        self._complete(may_reuse=self._parser.should_keep_alive())

    def start(
        self, request: bytes, *, is_answer: Callable[[ResponseHead], bool] | None = None
    ) -> None:
        """Send a request.

        Args:
            request: The whole request.
            is_answer: Tells whether an answer belongs to it; others are dropped. None for any.

        Raises:
            ConnectionLostError: If the connection is gone.
        """
        if not self.is_open:
            raise self._error or ConnectionLostError(f"connection to {self.address} is closed")
        self._in_exchange = True
        self._is_answer = is_answer
        self._is_complete = False
        self._may_reuse = False
        self._reads_until_close = False
        self._require_transport().write(request)

    @property
    def has_news(self) -> bool:
        """Tell whether a read would return at once: with data, at the end, or with an error."""
        return bool(self._heads or self._body) or self._is_complete or self._error is not None

    async def read_head(self) -> ResponseHead:
        """Wait for the status and headers; raises `EgressError`."""
        while not self._heads:
            await self._wait()
        return self._heads.popleft()

    async def read_body(self) -> bytes:
        """Wait for the next part of the body; empty at its end. Raises `EgressError`."""
        while not self._body:
            if self._is_complete:
                return b""
            await self._wait()
        part = self._body.popleft()
        self._body_bytes -= len(part)
        if self._is_paused and self._body_bytes <= READ_HIGH_BYTES // 2:
            self._is_paused = False
            self._require_transport().resume_reading()
        return part

    async def read_whole_body(self, max_bytes: int) -> bytes:
        """Wait for the whole body.

        Raises:
            EgressError: If it breaks off or is longer than allowed.
        """
        parts: list[bytes] = []
        size_bytes = 0
        while part := await self.read_body():
            size_bytes += len(part)
            if size_bytes > max_bytes:
                raise AnswerBrokenError(f"the body is longer than {max_bytes} bytes")
            parts.append(part)
        return b"".join(parts)

    def finish(self) -> bool:
        """End the exchange; return whether the connection may carry another."""
        reusable = self.is_open and self._is_complete and self._may_reuse
        # A request that is not sent yet would be followed by bytes of the next one.
        if not reusable or self._body or self._heads or self._write_paused:
            self.close()
            return False
        self._in_exchange = False
        self.is_reused = True
        self.idle_since_s = self._loop.time()
        self._parser = httptools.HttpResponseParser(self)
        return True

    def close(self) -> None:
        """Close at once; the server sees that nobody waits any more."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _has_framing(self, status: int) -> bool:
        if status in (NO_CONTENT, NOT_MODIFIED):
            return True
        names = {name.lower() for name, _ in self._headers}
        return b"content-length" in names or b"transfer-encoding" in names

    def _note_keep_alive(self, head: ResponseHead) -> None:
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
    address: str, *, timeout_s: float, silence: SilenceTiming
) -> EgressConnection:
    """Open a connection to "host:port".

    Raises:
        ConnectionLostError: If it can't be opened in time; nothing was sent then.
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
        watch_for_silence(sock, silence)
    connection.idle_since_s = loop.time()
    return connection
