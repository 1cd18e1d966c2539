"""One connection from a caller, whose requests are handled in order."""

import asyncio
import enum
import random
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable

from ..kernel import Event, log_event
from ..memory_budget import MemoryBudget
from ._limits import IngressLimits
from ._parser import BadRequestError, RequestParser
from ._peer_close import has_peer_closed
from ._request import Header, Request
from ._responder import ConnectionResponder, Responder
from ._response import CONTINUE, Response, render_response

REQUEST_TIMEOUT = 408
UNAVAILABLE = 503
# A refusal for lack of room states this time to come back, and up to as much again, so that those
# who were refused together don't return together.
ROOM_RETRY_S = 1.0
# What a connection takes in memory without a request.
CONNECTION_BYTES = 12 * 1024
MAX_PENDING_REQUESTS = 8
MAX_PENDING_BODY_BYTES = 256 * 1024
WRITE_HIGH_WATER_BYTES = 64 * 1024
BODY_TIMEOUT_S = 10.0
# After a refusal, what the caller still sends is read and dropped until it pauses for so long, or
# until a longer time has passed.
LINGER_S = 0.2
MAX_LINGER_S = 2.0
# While a caller has not taken a response, it is checked in this interval whether it takes any of it.
OUTPUT_CHECK_INTERVAL_S = 1.0
# While reading is paused the end of a connection isn't read, and is looked for in this interval.
CLOSE_CHECK_INTERVAL_S = 0.2
# Values of SO_LINGER: whether it is on, and for how many seconds.
CLOSE_WITH_RESET = struct.pack("ii", 1, 0)
CLOSE_GRACEFULLY = struct.pack("ii", 0, 0)

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
        memory: Limits what the connections of the process hold together.
        send_timeout_s: The connection is closed if its caller takes nothing of a response for this
            time.

    Attributes:
        holding: What it holds.
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
        memory: MemoryBudget,
        send_timeout_s: float,
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
        self._memory = memory
        self._send_timeout_s = send_timeout_s
        self._written_bytes = 0
        self._taken_bytes = 0
        self.holding = memory.open(self._evict, self._loop.time())
        self._handled_bytes = 0
        self._received_s = 0.0
        self._output_check: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._wait: _Wait | None = None
        self._waiting_since_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._close_check: asyncio.TimerHandle | None = None
        self._is_draining = False
        self._has_ended = False

    @property
    def caller_host(self) -> str:
        """Return the host address of the caller; empty if it is unknown."""
        peer = self._transport.get_extra_info("peername") if self._transport is not None else None
        return str(peer[0]) if isinstance(peer, tuple) else ""

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
        if self._output_check is not None:
            self._output_check.cancel()
        self._memory.close(self.holding)
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
        self._received_s = self._loop.time()
        was_within_head = self._parser.is_within_head
        completed = self._parser.feed(data, self._received_s)
        self._pending.extend(completed)
        # A head is short, so one that comes in parts is no progress.
        if completed or not (was_within_head and self._parser.is_within_head):
            self.holding.progress_s = self._received_s
        self._update_input()
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
        """Close once all written data has been sent, or its caller takes nothing of it."""
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
        self.is_busy = self.holding.is_handled = True
        self._handled_bytes = request.held_bytes
        # Reading goes on while the request is handled, so that the caller's close is seen.
        self._update_reading()
        self._update_timer()
        responder = ConnectionResponder(connection=self, request=request)
        try:
            await self._handler(request, responder)
        except Exception as error:
            log_event(Event.TASK_FAILED, task="request", error=repr(error))
        self.is_busy = self.holding.is_handled = False
        self.holding.progress_s = self._loop.time()
        self._handled_bytes = 0
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
            self._update_input()
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
        if has_peer_closed(self._transport.get_extra_info("socket")):
            self.abort()
            return
        self._schedule_close_check()

    def _is_full(self) -> bool:
        """Return whether the requests sent ahead are as many, or as large, as allowed."""
        body_bytes = sum(len(request.body) for request in self._pending)
        return len(self._pending) >= MAX_PENDING_REQUESTS or body_bytes > MAX_PENDING_BODY_BYTES

    async def _refuse(self, error: BadRequestError) -> None:
        log_event(Event.CALLER_REFUSED, status=error.status, reason=str(error))
        headers: tuple[Header, ...] = ()
        if error.status == UNAVAILABLE:
            retry_s = ROOM_RETRY_S * random.uniform(1.0, 2.0)
            headers = ((b"Retry-After", b"%.3f" % retry_s),)
        answer = Response(status=error.status, headers=headers, body=str(error).encode() + b"\n")
        self._write(render_response(answer, close=True))
        # Closing with unread data would reset the connection before the caller reads the response.
        # One that was refused for lack of room did nothing wrong, and may send its whole body.
        linger_s = MAX_LINGER_S if error.status == UNAVAILABLE else LINGER_S
        until_s = self._loop.time() + linger_s
        while self._loop.time() < until_s:
            await asyncio.sleep(LINGER_S)
            if self._loop.time() - self._received_s >= LINGER_S:
                break
        self.close()

    def _write(self, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(data)
        self._written_bytes += len(data)
        output_bytes = self._transport.get_write_buffer_size()
        if output_bytes:
            self._hold_output(output_bytes)

    def _update_input(self) -> None:
        """Hold what has been read; refuse the last requests if there is no room for them."""
        self.holding.is_within_request = self._parser.is_within_request
        self.holding.is_full_ahead = len(self._pending) >= MAX_PENDING_REQUESTS
        now_s = self._loop.time()
        if not self._has_room_for_body(now_s):
            self._parser.refuse_for_room()
        while not self._memory.try_hold_input(self.holding, self._input_bytes, now_s):
            if self._parser.is_within_request:
                self._parser.refuse_for_room()
            elif self._pending:
                # Nothing is read after a refusal, so the requests before it keep their order.
                self._pending.pop()
                self._parser.refuse_for_room()
            else:
                break
        if self._parser.error is not None:
            self._wake.set()

    @property
    def _input_bytes(self) -> int:
        """Return what the requests of the connection take."""
        waiting_bytes = sum(request.held_bytes for request in self._pending)
        return CONNECTION_BYTES + self._handled_bytes + waiting_bytes + self._parser.held_bytes

    def _has_room_for_body(self, now_s: float) -> bool:
        """Return whether there is room for the rest of a body whose length is stated."""
        declared_bytes = self._parser.declared_bytes
        if not declared_bytes:
            return True
        missing_bytes = max(0, declared_bytes - self._parser.held_bytes)
        return self._memory.has_room(self.holding, self._input_bytes + missing_bytes, now_s)

    def _hold_output(self, output_bytes: int) -> None:
        """Hold what the caller has not taken, and check later whether it takes any of it."""
        now_s = self._loop.time()
        if not self.holding.output_bytes:
            self.holding.progress_s = now_s
        self._memory.set_output(self.holding, output_bytes, now_s)
        if self._output_check is None:
            self._output_check = self._loop.call_later(OUTPUT_CHECK_INTERVAL_S, self._check_output)

    def _check_output(self) -> None:
        """Close the connection if its caller has long taken nothing of a response."""
        self._output_check = None
        if self._transport is None:
            return
        now_s = self._loop.time()
        output_bytes = self._transport.get_write_buffer_size()
        taken_bytes = self._written_bytes - output_bytes
        if taken_bytes > self._taken_bytes:
            self._taken_bytes = taken_bytes
            self.holding.progress_s = now_s
        elif now_s - self.holding.progress_s >= self._send_timeout_s:
            log_event(Event.CONNECTION_EVICTED, held_bytes=output_bytes, reason="reads nothing")
            self.abort()
            return
        self._memory.set_output(self.holding, output_bytes, now_s)
        if output_bytes:
            self._output_check = self._loop.call_later(OUTPUT_CHECK_INTERVAL_S, self._check_output)

    def _evict(self) -> None:
        """Close the connection, as others need what it holds."""
        log_event(
            Event.CONNECTION_EVICTED, held_bytes=self.holding.held_bytes, reason="makes no progress"
        )
        self.abort()

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
