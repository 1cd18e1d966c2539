"""One connection of a caller: reads requests, has them handled in order, writes answers."""

import asyncio
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


class IngressConnection(asyncio.Protocol):
    """The protocol of one connection.

    A task handles its requests one after the other. It is cancelled when the caller closes, so that
    the handler's clean-up runs at once.

    Args:
        handler: Handles each request.
        limits: Returns the limits in force.
        on_open: Takes the connection once it is open.
        on_close: Takes the connection once it is closed.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], IngressLimits],
        on_open: Callable[["IngressConnection"], None],
        on_close: Callable[["IngressConnection"], None],
    ) -> None:
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
        self._timer: asyncio.TimerHandle | None = None
        self._problem: BadRequestError | None = None
        self._draining = False
        self._at_end = False
        self.is_busy = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._on_open(self)
        self._task = self._loop.create_task(self._serve())
        self._watch_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """End everything that belongs to the connection."""
        self._stop_timer()
        self._at_end = True
        self._writable.set()
        if self._task is not None:
            self._task.cancel()
        self._on_close(self)

    def eof_received(self) -> bool:
        """Treat the end of the caller's bytes as its leaving."""
        return False

    def data_received(self, data: bytes) -> None:
        """Take bytes of the caller."""
        if self._problem is not None or self._at_end:
            return
        try:
            requests = self._parser.feed(data, self._loop.time())
        except BadRequestError as error:
            self._problem = error
            self._wake.set()
            return
        self._waiting.extend(requests)
        if requests:
            self._wake.set()
        if self._parser.wants_continue and not self.is_busy:
            self._parser.wants_continue = False
            self._write(CONTINUE)
        if len(self._waiting) >= MAX_WAITING_REQUESTS:
            self._pause()
        if not self.is_busy and not self._waiting:
            self._watch_request()

    def pause_writing(self) -> None:
        """Note that the caller reads too slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self._writable.set()

    def drain(self) -> None:
        """Close after the request in work, or at once if there is none."""
        self._draining = True
        if not self.is_busy and not self._waiting and not self._parser.is_within_request:
            self.close()

    def close(self) -> None:
        """Close once what was written has been sent."""
        self._at_end = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once; bytes that are not sent yet are lost."""
        self._at_end = True
        if self._transport is not None:
            self._transport.abort()

    async def _serve(self) -> None:
        while not self._at_end:
            if not self._waiting:
                if self._problem is not None:
                    await self._refuse(self._problem)
                    return
                self._wake.clear()
                await self._wake.wait()
                continue
            request = self._waiting.popleft()
            self._stop_timer()
            self.is_busy = True
            close = await self._handle(request)
            self.is_busy = False
            if close:
                self.close()
                return
            self._resume()
            self._parser.limits = self._limits()
            self._watch_request() if self._parser.is_within_request else self._watch_idle()

    async def _handle(self, request: Request) -> bool:
        """Have a request handled; return whether the connection must close."""
        responder = _Responder(connection=self, request=request)
        try:
            await self._handler(request, responder)
        except Exception as error:
            log_event(Event.TASK_FAILED, task="request", error=repr(error))
        if not responder.is_complete:
            self.abort()
            return True
        return responder.closes

    def closes_after(self, request: Request) -> bool:
        """Tell whether the connection closes after the answer to a request."""
        return not request.keep_alive or self._draining

    async def write(self, data: bytes) -> None:
        """Write bytes and wait until the caller keeps up."""
        self._write(data)
        await self._writable.wait()

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

    def _pause(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def _resume(self) -> None:
        if self._transport is not None and len(self._waiting) < MAX_WAITING_REQUESTS:
            self._transport.resume_reading()

    def _watch_idle(self) -> None:
        self._start_timer(self._limits().idle_timeout_s, self._end_idle)

    def _watch_request(self) -> None:
        if self._timer is not None and self._timer_is_for_request:
            return
        limits = self._limits()
        self._start_timer(limits.header_timeout_s, self._end_head)

    def _start_timer(self, delay_s: float, end: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer_is_for_request = end != self._end_idle
        self._timer = self._loop.call_later(delay_s, end)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end_idle(self) -> None:
        self._timer = None
        self.close()

    def _end_head(self) -> None:
        self._timer = None
        if self._parser.is_within_head:
            self._problem = BadRequestError(REQUEST_TIMEOUT, "the headers took too long")
            self._wake.set()
        elif self._parser.is_within_request:
            self._start_timer(BODY_TIMEOUT_S, self._end_body)

    def _end_body(self) -> None:
        self._timer = None
        self._problem = BadRequestError(REQUEST_TIMEOUT, "the body took too long")
        self._wake.set()


class _Responder:
    """Writes the answer to one request; see `Responder`."""

    def __init__(self, *, connection: IngressConnection, request: Request) -> None:
        self._connection = connection
        self._request = request
        self.has_begun = False
        self.is_complete = False
        self.closes = False

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
