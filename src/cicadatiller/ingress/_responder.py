"""Writes the response to one request."""

from collections.abc import Iterable
from typing import Protocol

from ._request import Header, Request
from ._response import LAST_CHUNK, Response, render_chunk, render_response, render_stream_head


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


class ResponseWriter(Protocol):
    """The connection that a response is written to."""

    def closes_after(self, request: Request) -> bool:
        """Return whether the connection closes after the response to a request."""

    def set_reset_on_close(self, resets: bool) -> None:
        """Choose whether the system resets the connection however it closes, a kill included."""

    async def write(self, data: bytes) -> None:
        """Write data, and wait while the write buffer is full."""

    def abort(self) -> None:
        """Close at once, discarding unsent data."""


class ConnectionResponder:
    """Writes the response to one request; implements `Responder`.

    The end of the connection ends a body without chunks, so until it is whole any other end has to
    be a reset.
    """

    def __init__(self, *, connection: ResponseWriter, request: Request) -> None:
        self.has_begun = False
        self.is_complete = False
        self.closes = False
        self._connection = connection
        self._request = request
        self._is_head_request = request.method == b"HEAD"

    async def answer(self, answer: Response) -> None:
        """Write a complete response."""
        self._begin()
        self.is_complete = True
        await self._connection.write(
            render_response(answer, close=self.closes, is_head_request=self._is_head_request)
        )

    async def start_stream(self, status: int, headers: Iterable[Header]) -> None:
        """Write the head of a response whose body is sent in parts."""
        self._begin()
        is_chunked = self._request.accepts_chunks
        if not is_chunked:
            self.closes = True
            self._connection.set_reset_on_close(True)
        await self._connection.write(
            render_stream_head(status, headers, close=self.closes, is_chunked=is_chunked)
        )

    async def send(self, data: bytes) -> None:
        """Write a part of the body."""
        if not data or self._is_head_request:
            return
        await self._connection.write(render_chunk(data) if self._request.accepts_chunks else data)

    async def finish(self) -> None:
        """Write the end of the body."""
        self.is_complete = True
        if not self._request.accepts_chunks:
            self._connection.set_reset_on_close(False)
        elif not self._is_head_request:
            await self._connection.write(LAST_CHUNK)

    def abort(self) -> None:
        """Abort the connection."""
        self._connection.abort()

    def _begin(self) -> None:
        if self.has_begun:
            raise RuntimeError("the response to this request has begun already")
        self.has_begun = True
        self.closes = self._connection.closes_after(self._request)
