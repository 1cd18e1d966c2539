"""One connection of a caller: reads requests, has them handled in order, writes answers."""

import asyncio
import enum
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from ..kernel import Event, log_event
from ._limits import IngressLimits
from ._parser import BadRequestError, RequestParser
from ._request import Header, Request
from ._writing import (
    CONTINUE,
    LAST_CHUNK,
    Answer,
    render_answer,
    render_chunk,
    render_stream_head,
)

REQUEST_TIMEOUT = 408
MAX_WAITING_REQUESTS = 8
WRITE_HIGH_BYTES = 64 * 1024
BODY_TIMEOUT_S = 10.0
LINGER_S = 0.2


class Responder(Protocol):
    """Takes the answer to one request."""

    @property
    def has_begun(self) -> bool:
        """Tell whether any byte of the answer was written."""

    async def answer(self, answer: Answer) -> None:
        """Write a whole answer."""

    async def start_stream(self, status: int, headers: Iterable[Header]) -> None:
        """Write the head of an answer that comes in parts."""

    async def send(self, data: bytes) -> None:
        """Write a part of the body; waits while the caller does not read."""

    async def finish(self) -> None:
        """Mark the body as complete."""

    def abort(self) -> None:
        """Close the connection so that the answer can't look complete."""


Handler = Callable[[Request, Responder], Awaitable[None]]


class _Wait(enum.Enum):
    """What a connection waits for within a time limit."""

    REQUEST = "the next request"
    HEAD = "the rest of the headers"
    BODY = "the rest of the body"


class IngressConnection(asyncio.Protocol):
    """The protocol of one connection.

    A task handles its requests one after the other. It is cancelled when the caller closes, so that
    the handler's clean-up runs at once.

    Args:
        handler: Handles each request.
        limits: Returns the limits in force.
        on_open: Takes the connection once it is open.
        on_close: Takes the connection once it is closed.

    Attributes:
        is_busy: Whether a request is in work.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], IngressLimits],
        on_open: Callable[["IngressConnection"], None],
        on_close: Callable[["IngressConnection"], None],
    ) -> None:
        self.is_busy = False
        self._handler = handler
        self._limits = limits
        self._on_open = on_open
        self._on_close = on_close
        self._loop = asyncio.get_running_loop()
        self._parser = RequestParser(limits=limits())
        self._waiting: deque[Request] = deque()
        self._wake = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._wait: _Wait | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_draining = False
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._on_open(self)
        self._task = self._loop.create_task(self._serve())
        self._watch()

    def connection_lost(self, exc: Exception | None) -> None:
        """End everything that belongs to the connection."""
        self._has_ended = True
        self._watch()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()
        self._on_close(self)

    def eof_received(self) -> bool:
        """Treat the end of the caller's bytes as its leaving."""
        return False

    def data_received(self, data: bytes) -> None:
        """Take bytes of the caller."""
        if self._has_ended:
            return
        self._waiting.extend(self._parser.feed(data, self._loop.time()))
        if self._waiting or self._parser.problem is not None:
            self._wake.set()
        if self._parser.wants_continue and not self.is_busy:
            self._parser.wants_continue = False
            self._write(CONTINUE)
        if len(self._waiting) >= MAX_WAITING_REQUESTS and self._transport is not None:
            self._transport.pause_reading()
        self._watch()

    def pause_writing(self) -> None:
        """Note that the caller reads too slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self._writable.set()

    def announce_close(self) -> None:
        """Tell the caller with its next answer that the connection closes."""
        self._is_draining = True

    def drain(self) -> None:
        """Close after the request in work, or at once if there is none."""
        self._is_draining = True
        if not self.is_busy and not self._waiting and not self._parser.is_within_request:
            self.close()

    def close(self) -> None:
        """Close once what was written has been sent."""
        self._has_ended = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once; bytes that are not sent yet are lost."""
        self._has_ended = True
        if self._transport is not None:
            self._transport.abort()

    def closes_after(self, request: Request) -> bool:
        """Tell whether the connection closes after the answer to a request."""
        return not request.keep_alive or self._is_draining

    async def write(self, data: bytes) -> None:
        """Write bytes and wait until the caller keeps up."""
        self._write(data)
        await self._writable.wait()

    async def _serve(self) -> None:
        while not self._has_ended:
            if self._waiting:
                await self._serve_next()
            elif self._parser.problem is not None:
                await self._refuse(self._parser.problem)
            else:
                self._wake.clear()
                await self._wake.wait()

    async def _serve_next(self) -> None:
        request = self._waiting.popleft()
        self.is_busy = True
        self._watch()
        responder = _Responder(connection=self, request=request)
        try:
            await self._handler(request, responder)
        except Exception as error:
            log_event(Event.TASK_FAILED, task="request", error=repr(error))
        self.is_busy = False
        if not responder.is_complete:
            self.abort()
        elif responder.closes or (self._is_draining and not self._waiting):
            self.close()
        else:
            self._read_on()

    def _read_on(self) -> None:
        self._parser.limits = self._limits()
        if self._transport is not None and not self._has_ended:
            self._transport.resume_reading()
        self._watch()

    async def _refuse(self, error: BadRequestError) -> None:
        log_event(Event.CALLER_REFUSED, status=error.status, reason=str(error))
        answer = Answer(status=error.status, body=str(error).encode() + b"\n")
        self._write(render_answer(answer, close=True))
        # Closing with unread bytes would reset the connection before the answer is read.
        await asyncio.sleep(LINGER_S)
        self.close()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _watch(self) -> None:
        """Have the timer match what the connection waits for."""
        wait = self._awaited()
        if wait is self._wait:
            return
        self._wait = wait
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wait is not None:
            self._timer = self._loop.call_later(self._time_limit_s(wait), self._time_out)

    def _awaited(self) -> _Wait | None:
        if self._has_ended or self.is_busy or self._waiting or self._parser.problem is not None:
            return None
        if self._parser.is_within_head:
            return _Wait.HEAD
        return _Wait.BODY if self._parser.is_within_request else _Wait.REQUEST

    def _time_limit_s(self, wait: _Wait) -> float:
        if wait is _Wait.HEAD:
            return self._limits().header_timeout_s
        return BODY_TIMEOUT_S if wait is _Wait.BODY else self._limits().idle_timeout_s

    def _time_out(self) -> None:
        self._timer = None
        if self._wait is _Wait.REQUEST or self._wait is None:
            self.close()
            return
        self._parser.problem = BadRequestError(REQUEST_TIMEOUT, f"{self._wait.value} took too long")
        self._wake.set()


class _Responder:
    """Writes the answer to one request; see `Responder`."""

    def __init__(self, *, connection: IngressConnection, request: Request) -> None:
        self.has_begun = False
        self.is_complete = False
        self.closes = False
        self._connection = connection
        self._request = request

    async def answer(self, answer: Answer) -> None:
        self._begin()
        is_head_request = self._request.method == b"HEAD"
        self.is_complete = True
        await self._connection.write(
            render_answer(answer, close=self.closes, is_head_request=is_head_request)
        )

    async def start_stream(self, status: int, headers: Iterable[Header]) -> None:
        self._begin()
        await self._connection.write(render_stream_head(status, headers, close=self.closes))

    async def send(self, data: bytes) -> None:
        if data:
            await self._connection.write(render_chunk(data))

    async def finish(self) -> None:
        self.is_complete = True
        await self._connection.write(LAST_CHUNK)

    def abort(self) -> None:
        self._connection.abort()

    def _begin(self) -> None:
        if self.has_begun:
            raise RuntimeError("a request can be answered only once")
        self.has_begun = True
        self.closes = self._connection.closes_after(self._request)
