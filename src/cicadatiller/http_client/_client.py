"""An asynchronous HTTP client that runs urllib3 in a bounded pool of threads."""

import asyncio
import contextlib
import threading
from collections import deque
from collections.abc import AsyncIterator, Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from http.client import HTTPException

import urllib3
from urllib3.exceptions import HeaderParsingError, HTTPError, NewConnectionError

from ..kernel import HttpTimeouts, StrayAction, StrayResponse, log_stray
from ._exchange import Exchange
from ._whole_response import MAX_RESPONSE_BYTES, REPORTED_BYTES, ResponseLimits

READ_BLOCK_BYTES = 65_536
MAX_LINE_BYTES = 16 * 1024 * 1024
# Of lines that wait to be read; the thread stops reading the response while there are more.
MAX_QUEUED_BYTES = 1024 * 1024
# Of a line in a queue beyond its bytes.
LINE_OVERHEAD_BYTES = 64
# Lines that are returned before other tasks get their turn.
MAX_TURN_LINES = 256
# A response must be complete within this many times the timeout of a read.
RESPONSE_READS = 10
# A malformed size of a chunk raises a ValueError.
RESPONSE_ERRORS = (HTTPError, HTTPException, OSError, ValueError)


class HttpUnreachableError(Exception):
    """A call ended without a complete response.

    Args:
        message: What failed.
        sent: Whether the request may have reached the server.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclass(frozen=True, kw_only=True)
class HttpReply:
    """A complete response.

    Attributes:
        status: The status code.
        body: The body; empty if the server confirms that `known_etag` is current.
        etag: The entity tag of the body; empty if the server sends none.
    """

    status: int
    body: bytes
    etag: str = ""


class HttpClient:
    """Makes calls to one server; never retries a request.

    Each call has a connection of its own. Responses bear no id, so on a connection that carried an
    earlier call a late copy of its response could be taken for the response to the next one.

    Args:
        url: The base URL, "http://host:port".
        timeouts: The timeouts of each call.
        threads: The limit on concurrent calls of `post`; further ones wait.
    """

    def __init__(self, *, url: str, timeouts: HttpTimeouts, threads: int) -> None:
        self._url = url.rstrip("/")
        self._timeouts = timeouts
        self._executor = ThreadPoolExecutor(max_workers=threads, thread_name_prefix="http")
        self._exchanges: set[Exchange] = set()

    async def post(
        self,
        path: str,
        body: bytes,
        *,
        wait_s: float = 0.0,
        known_etag: str = "",
    ) -> HttpReply:
        """Send a request and wait for the response.

        Args:
            path: The path, with its leading slash.
            body: The request body.
            wait_s: How long the server may hold the request before it responds; added to
                `read_s`.
            known_etag: The entity tag of the version that the client holds. If that is current,
                the server may respond with status 304 and without a body.

        Raises:
            HttpUnreachableError: If there is no complete response.
        """
        loop = asyncio.get_running_loop()
        exchange = Exchange(limits=self._response_limits(wait_s))
        self._exchanges.add(exchange)
        try:
            return await loop.run_in_executor(
                self._executor, self._post, exchange, path, body, wait_s, known_etag
            )
        except asyncio.CancelledError:
            exchange.abort()
            raise
        except HttpUnreachableError as error:
            if isinstance(error.__cause__, HeaderParsingError):
                self._log_stray(path, str(error).encode()[:REPORTED_BYTES], StrayAction.REFUSED)
            raise
        finally:
            self._exchanges.discard(exchange)
            if exchange.surplus:
                self._log_stray(path, exchange.surplus, StrayAction.CLOSED)

    async def lines(self, path: str) -> AsyncIterator[bytes]:
        """Yield the lines of a streamed response, which is read in a separate thread.

        Raises:
            HttpUnreachableError: If the response ends, or no whole line arrives for `read_s`.
        """
        exchange = Exchange(limits=None)
        self._exchanges.add(exchange)
        reader = _LineReader(
            loop=asyncio.get_running_loop(), open_response=self._response_opener(path, exchange)
        )
        reader.start()
        limit_s = self._timeouts.connect_s + self._timeouts.read_s
        try:
            while True:
                yield await reader.next_line(limit_s)
        finally:
            self._exchanges.discard(exchange)
            reader.stop()
            exchange.abort()

    async def close(self) -> None:
        """Abort the pending calls and close the connections."""
        self._executor.shutdown(wait=False, cancel_futures=True)
        for exchange in self._exchanges:
            exchange.abort()

    def _response_limits(self, wait_s: float) -> ResponseLimits:
        complete_s = RESPONSE_READS * self._timeouts.read_s + wait_s
        return ResponseLimits(complete_s=complete_s, max_bytes=MAX_RESPONSE_BYTES)

    def _log_stray(self, path: str, received: bytes, action: StrayAction) -> None:
        address = self._url.partition("://")[2]
        log_stray(StrayResponse(address=address, exchange=path, action=action, received=received))

    def _post(
        self, exchange: Exchange, path: str, body: bytes, wait_s: float, known_etag: str
    ) -> HttpReply:
        headers = {
            "Content-Type": "application/octet-stream",
            "Accept-Encoding": "gzip",
            "Connection": "close",
        }
        if known_etag:
            headers["If-None-Match"] = known_etag
        pool = exchange.open_pool(self._url)
        try:
            response = pool.request(
                "POST",
                path,
                body=body,
                headers=headers,
                timeout=self._timeout(wait_s),
            )
        except RESPONSE_ERRORS as error:
            raise _unreachable(error) from error
        finally:
            pool.close()
        etag = response.headers.get("ETag", "")
        return HttpReply(status=response.status, body=response.data, etag=etag)

    def _response_opener(
        self, path: str, exchange: Exchange
    ) -> "Callable[[], urllib3.BaseHTTPResponse]":
        def open_response() -> urllib3.BaseHTTPResponse:
            pool = exchange.open_pool(self._url)
            return pool.request("GET", path, timeout=self._timeout(0.0), preload_content=False)

        return open_response

    def _timeout(self, wait_s: float) -> urllib3.Timeout:
        return urllib3.Timeout(
            connect=self._timeouts.connect_s, read=self._timeouts.read_s + wait_s
        )


class _LineReader:
    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        open_response: "Callable[[], urllib3.BaseHTTPResponse]",
    ) -> None:
        self._loop = loop
        self._open_response = open_response
        # The lines of each block that was read, and then why no more come.
        self._blocks: asyncio.Queue[deque[bytes] | HttpUnreachableError] = asyncio.Queue()
        self._block: deque[bytes] = deque()
        self.queued_bytes = 0
        self._turn_lines = 0
        self._has_room = threading.Event()
        self._has_room.set()
        self._response: urllib3.BaseHTTPResponse | None = None
        self._lock = threading.Lock()
        self._stopped = False

    def start(self) -> None:
        threading.Thread(target=self._read, daemon=True, name="http lines").start()

    async def next_line(self, limit_s: float) -> bytes:
        self._turn_lines += 1
        if self._turn_lines >= MAX_TURN_LINES:
            self._turn_lines = 0
            await asyncio.sleep(0.0)
        while not self._block:
            self._block = await self._next_block(limit_s)
        line = self._block.popleft()
        self._count(-_size_of(line))
        return line

    async def _next_block(self, limit_s: float) -> deque[bytes]:
        try:
            async with asyncio.timeout(limit_s):
                block = await self._blocks.get()
        except TimeoutError as error:
            raise HttpUnreachableError(f"no line arrived for {limit_s:g} s", sent=True) from error
        if isinstance(block, HttpUnreachableError):
            raise block
        return block

    def _count(self, more_bytes: int) -> None:
        """Count what waits to be read; the thread reads on while there is room."""
        with self._lock:
            self.queued_bytes += more_bytes
            if self._stopped or self.queued_bytes < MAX_QUEUED_BYTES:
                self._has_room.set()
            else:
                self._has_room.clear()

    def stop(self) -> None:
        with self._lock:
            self._stopped = True
            self._has_room.set()
            if self._response is None:
                return
            # The response may end by itself at the same moment.
            with contextlib.suppress(OSError, RuntimeError, ValueError):
                self._response.shutdown()

    def _read(self) -> None:
        try:
            response = self._open_response()
        except RESPONSE_ERRORS as error:
            self._enqueue(_unreachable(error))
            return
        with self._lock:
            self._response = response
            if self._stopped:
                response.close()
                return
        try:
            self._read_lines(response)
        except RESPONSE_ERRORS as error:
            self._enqueue(HttpUnreachableError(f"the response was aborted: {error}", sent=True))
        finally:
            with self._lock:
                self._response = None
                response.close()

    def _read_lines(self, response: urllib3.BaseHTTPResponse) -> None:
        if response.status != 200:
            self._enqueue(HttpUnreachableError(f"unexpected status {response.status}", sent=True))
            return
        rest = b""
        while block := response.read1(READ_BLOCK_BYTES):
            *lines, rest = (rest + block).split(b"\n")
            if len(rest) > MAX_LINE_BYTES:
                raise HTTPException(f"a line is longer than {MAX_LINE_BYTES} bytes")
            if lines:
                self._count(sum(map(_size_of, lines)))
                self._enqueue(deque(lines))
            self._has_room.wait()
            if self._stopped:
                return
        self._enqueue(HttpUnreachableError("the server ended the response", sent=True))

    def _enqueue(self, block: deque[bytes] | HttpUnreachableError) -> None:
        if not self._stopped and not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._blocks.put_nowait, block)


def _size_of(line: bytes) -> int:
    return len(line) + LINE_OVERHEAD_BYTES


def _unreachable(error: Exception) -> HttpUnreachableError:
    return HttpUnreachableError(str(error), sent=not isinstance(error, NewConnectionError))
