"""One connection from a caller, whose requests are handled in order."""

import asyncio
import enum
import select
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from ..kernel import Event, log_event
from ._limits import IngressLimits
from ._parser import BadRequestError, RequestParser
from ._request import Header, Request
from ._response import (
    CONTINUE,
    LAST_CHUNK,
    Response,
    render_chunk,
    render_response,
    render_stream_head,
)

REQUEST_TIMEOUT = 408
MAX_PENDING_REQUESTS = 8
MAX_PENDING_BODY_BYTES = 256 * 1024
WRITE_HIGH_WATER_BYTES = 64 * 1024
BODY_TIMEOUT_S = 10.0
LINGER_S = 0.2
# While reading is paused the end of a connection isn't read, and is looked for in this interval.
CLOSE_CHECK_INTERVAL_S = 0.2
# Values of SO_LINGER: whether it is on, and for how many seconds.
CLOSE_WITH_RESET = struct.pack("ii", 1, 0)
CLOSE_GRACEFULLY = struct.pack("ii", 0, 0)


class Responder(Protocol):
    """Writes the response to one request."""

    @property
    def has_begun(self) -> bool:
        """Return whether writing the response has begun."""

    async def answer(self, answer: Response) -> None:
        """Write a complete response.

        Raises:
            RuntimeError: If a response has begun already.
        """

    async def start_stream(self, status: int, headers: Iterable[Header]) -> None:
        """Write the head of a response whose body is sent in parts.

        Raises:
            RuntimeError: If a response has begun already.
        """

    async def send(self, data: bytes) -> None:
        """Write a part of the body; waits while the write buffer is full."""

    async def finish(self) -> None:
        """Write the end of the body."""

    def abort(self) -> None:
        """Abort the connection, so that the response can't be mistaken for a complete one."""


Handler = Callable[[Request, Responder], Awaitable[None]]


class _Wait(enum.Enum):
    """What a connection waits for with a timeout; the values are part of error responses."""

    REQUEST = "the next request"
    HEAD = "the rest of the headers"
    BODY = "the rest of the body"


class IngressConnection(asyncio.Protocol):
    """The protocol of one connection.

    A task handles the requests one after another. It is cancelled when the caller closes the
    connection, so that the handler cleans up at once.

    Args:
        handler: Handles each request.
        limits: Returns the current limits.
        on_open: Called with the connection once it is open; returns whether it may stay open.
        on_close: Called with the connection once it is closed.

    Attributes:
        is_busy: Whether a request is being handled.
        was_idle_too_long: Whether the connection was closed because no request came in time.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], IngressLimits],
        on_open: Callable[["IngressConnection"], bool],
        on_close: Callable[["IngressConnection"], None],
    ) -> None:
        self.is_busy = False
        self.was_idle_too_long = False
        self._handler = handler
        self._limits = limits
        self._on_open = on_open
        self._on_close = on_close
        self._loop = asyncio.get_running_loop()
        self._parser = RequestParser(limits=limits)
        self._pending: deque[Request] = deque()
        self._wake = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._wait: _Wait | None = None
        self._waiting_since_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._close_check: asyncio.TimerHandle | None = None
        self._is_draining = False
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that handles requests, or close if there are too many connections."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._on_open(self):
            self.abort()
            return
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._task = self._loop.create_task(self._serve())
        self._update_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer and the task that handles requests."""
        self._has_ended = True
        self._update_timer()
        self._end_close_check()
        self._parser.close()
        self._pending.clear()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()
        self._on_close(self)

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse data from the caller and queue the complete requests."""
        if self._has_ended:
            return
        self._pending.extend(self._parser.feed(data, self._loop.time()))
        if self._pending or self._parser.error is not None:
            self._wake.set()
        self._continue_if_due()
        self._update_reading()
        self._update_timer()

    def pause_writing(self) -> None:
        """Block `write` while the write buffer is above its limit."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock `write` after the write buffer has drained."""
        self._writable.set()

    def announce_close(self) -> None:
        """Send `Connection: close` with the next response."""
        self._is_draining = True

    def drain(self) -> None:
        """Close after the current request, or at once if there is none."""
        self._is_draining = True
        if not self.is_busy and not self._pending and not self._parser.is_within_request:
            self.close()

    def close(self) -> None:
        """Close once all written data has been sent."""
        self._has_ended = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once, discarding unsent data."""
        self._has_ended = True
        if self._transport is not None:
            self._transport.abort()

    def closes_after(self, request: Request) -> bool:
        """Return whether the connection closes after the response to a request."""
        return not request.keep_alive or (self._is_draining and not self._pending)

    def set_reset_on_close(self, resets: bool) -> None:
        """Choose whether the system resets the connection however it closes, a kill included."""
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        if sock is not None:
            linger = CLOSE_WITH_RESET if resets else CLOSE_GRACEFULLY
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def write(self, data: bytes) -> None:
        """Write data, and wait while the write buffer is full."""
        self._write(data)
        await self._writable.wait()

    async def _serve(self) -> None:
        while not self._has_ended:
            if self._pending:
                await self._serve_next()
            elif self._parser.error is not None:
                await self._refuse(self._parser.error)
            else:
                self._wake.clear()
                await self._wake.wait()

    async def _serve_next(self) -> None:
        request = self._pending.popleft()
        self.is_busy = True
        # Reading goes on while the request is handled, so that the caller's close is seen.
        self._update_reading()
        self._update_timer()
        responder = _Responder(connection=self, request=request)
        try:
            await self._handler(request, responder)
        except Exception as error:
            log_event(Event.TASK_FAILED, task="request", error=repr(error))
        self.is_busy = False
        if not responder.is_complete:
            log_event(
                Event.RESPONSE_CUT,
                path=request.path.decode("latin-1"),
                has_begun=responder.has_begun,
                age_s=round(self._loop.time() - request.read_at_s, 3),
            )
            self.abort()
        elif responder.closes or (self._is_draining and not self._pending):
            self.close()
        else:
            self._continue_if_due()
            self._update_timer()

    def _continue_if_due(self) -> None:
        """Send the interim response that a caller awaits, unless earlier responses are due."""
        if self._parser.expects_continue and not self.is_busy and not self._pending:
            self._parser.expects_continue = False
            self._write(CONTINUE)

    def _update_reading(self) -> None:
        """Pause reading while the requests that wait are as many, or as large, as allowed."""
        if self._transport is None or self._has_ended:
            return
        if self._is_full():
            self._transport.pause_reading()
            self._schedule_close_check()
        else:
            self._end_close_check()
            self._transport.resume_reading()

    def _schedule_close_check(self) -> None:
        if self._close_check is None:
            self._close_check = self._loop.call_later(
                CLOSE_CHECK_INTERVAL_S, self._close_if_caller_closed
            )

    def _end_close_check(self) -> None:
        if self._close_check is not None:
            self._close_check.cancel()
            self._close_check = None

    def _close_if_caller_closed(self) -> None:
        self._close_check = None
        if self._has_ended or self._transport is None:
            return
        if _has_peer_closed(self._transport.get_extra_info("socket")):
            self.abort()
            return
        self._schedule_close_check()

    def _is_full(self) -> bool:
        """Return whether the requests sent ahead are as many, or as large, as allowed."""
        body_bytes = sum(len(request.body) for request in self._pending)
        return len(self._pending) >= MAX_PENDING_REQUESTS or body_bytes > MAX_PENDING_BODY_BYTES

    async def _refuse(self, error: BadRequestError) -> None:
        log_event(Event.CALLER_REFUSED, status=error.status, reason=str(error))
        answer = Response(status=error.status, body=str(error).encode() + b"\n")
        self._write(render_response(answer, close=True))
        # Closing with unread data would reset the connection before the caller reads the response.
        await asyncio.sleep(LINGER_S)
        self.close()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _update_timer(self) -> None:
        """Restart the timer if the connection waits for something else than before."""
        wait = self._current_wait()
        if wait is self._wait:
            return
        self._wait = wait
        self._waiting_since_s = self._loop.time()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wait is not None:
            self._start_timer(wait)

    def _start_timer(self, wait: _Wait) -> None:
        due_s = self._waiting_since_s + self._timeout_s(wait)
        self._timer = self._loop.call_at(due_s, self._on_timeout, wait, due_s)

    def _current_wait(self) -> _Wait | None:
        if self._has_ended or self.is_busy or self._pending or self._parser.error is not None:
            return None
        if self._parser.is_within_head:
            return _Wait.HEAD
        return _Wait.BODY if self._parser.is_within_request else _Wait.REQUEST

    def _timeout_s(self, wait: _Wait) -> float:
        if wait is _Wait.HEAD:
            return self._limits().header_timeout_s
        return BODY_TIMEOUT_S if wait is _Wait.BODY else self._limits().idle_timeout_s

    def _on_timeout(self, wait: _Wait, due_s: float) -> None:
        self._timer = None
        # New limits may have lengthened the timeout since the timer was started.
        if self._waiting_since_s + self._timeout_s(wait) > due_s:
            self._start_timer(wait)
            return
        if wait is _Wait.REQUEST:
            self.was_idle_too_long = True
            self.close()
            return
        self._parser.error = BadRequestError(REQUEST_TIMEOUT, f"{wait.value} took too long")
        self._wake.set()


def _has_peer_closed(sock: socket.socket | None) -> bool:
    """Return whether the other side has closed, though bytes that it sent before are unread."""
    if sock is None:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


class _Responder:
    """Writes the response to one request; implements `Responder`.

    The end of the connection ends a body without chunks, so until it is whole any other end has to
    be a reset.
    """

    def __init__(self, *, connection: IngressConnection, request: Request) -> None:
        self.has_begun = False
        self.is_complete = False
        self.closes = False
        self._connection = connection
        self._request = request
        self._is_head_request = request.method == b"HEAD"

    async def answer(self, answer: Response) -> None:
        self._begin()
        self.is_complete = True
        await self._connection.write(
            render_response(answer, close=self.closes, is_head_request=self._is_head_request)
        )

    async def start_stream(self, status: int, headers: Iterable[Header]) -> None:
        self._begin()
        is_chunked = self._request.accepts_chunks
        if not is_chunked:
            self.closes = True
            self._connection.set_reset_on_close(True)
        await self._connection.write(
            render_stream_head(status, headers, close=self.closes, is_chunked=is_chunked)
        )

    async def send(self, data: bytes) -> None:
        if not data or self._is_head_request:
            return
        await self._connection.write(render_chunk(data) if self._request.accepts_chunks else data)

    async def finish(self) -> None:
        self.is_complete = True
        if not self._request.accepts_chunks:
            self._connection.set_reset_on_close(False)
        elif not self._is_head_request:
            await self._connection.write(LAST_CHUNK)

    def abort(self) -> None:
        self._connection.abort()

    def _begin(self) -> None:
        if self.has_begun:
            raise RuntimeError("the response to this request has begun already")
        self.has_begun = True
        self.closes = self._connection.closes_after(self._request)
