"""An HTTP/1.1 client that shows how an answer ended."""

import asyncio
from dataclasses import dataclass, field

import httptools


@dataclass(kw_only=True)
class Answer:
    """What came back for one request.

    Attributes:
        status: The status; 0 if none came.
        headers: The values by lower-case name.
        body: The body without its chunk framing, as far as it came.
        is_whole: Whether the answer is complete.
        closes: Whether it announced the close of the connection.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    closes: bool = False


class Connection(asyncio.Protocol):
    """A connection with one request at a time.

    Attributes:
        is_open: Whether the other side has not closed it.
        last_used_s: When its last answer was complete.
        stray: Bytes that came without a request or after its answer.
    """

    def __init__(self) -> None:
        self.is_open = False
        self.last_used_s = 0.0
        self.stray = b""
        self._transport: asyncio.Transport | None = None
        self._answer: Answer | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._ended = asyncio.Event()

    @classmethod
    async def open(cls, host: str, port: int) -> "Connection":
        """Open a connection.

        Raises:
            OSError: If it can't be opened.
        """
        _, connection = await asyncio.get_running_loop().create_connection(cls, host, port)
        return connection

    async def ask(self, request: bytes) -> Answer:
        """Send a request and return its answer, which is not whole if the connection closed.

        If this is cancelled, `answer` is what came until then.
        """
        self.start(request)
        await self.wait()
        return self.answer

    def start(self, request: bytes) -> None:
        """Send a request."""
        self._answer = Answer()
        self._parser = httptools.HttpResponseParser(self)
        self._ended.clear()
        if not self.is_open or self._transport is None:
            self._ended.set()
            return
        self._transport.write(request)

    async def wait(self) -> None:
        """Wait until the answer is complete or the connection closed."""
        await self._ended.wait()

    @property
    def answer(self) -> Answer:
        """Return what came for the last request."""
        assert self._answer is not None
        return self._answer

    def unused_s(self) -> float:
        """Return for how long it was unused since its last answer; 0 if it has had none."""
        if not self.last_used_s:
            return 0.0
        return asyncio.get_running_loop().time() - self.last_used_s

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.is_open = True

    def data_received(self, data: bytes) -> None:
        """Parse a part of the answer."""
        if self._parser is None or self._ended.is_set():
            self.stray += data
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.stray += data
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """End the wait for the answer."""
        self.is_open = False
        self._ended.set()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.answer.headers[name.lower().decode()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Keep the status."""
        if self._parser is not None:
            self.answer.status = self._parser.get_status_code()
        self.answer.closes = self.answer.headers.get("connection", "").lower() == "close"

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self.answer.body += body

    def on_message_complete(self) -> None:
        """End the wait for the answer."""
        self.answer.is_whole = True
        self.last_used_s = asyncio.get_running_loop().time()
        self._ended.set()
