"""One connection to a server, which carries one request at a time."""

import asyncio
import copy
from collections import deque
from collections.abc import Callable
from typing import Any

import httptools

from ..ingress import Header
from ..kernel import StrayAction, StrayResponse, log_stray
from ._buffers import BufferBudget, BufferHold
from ._discard_timeout import DiscardPolicy, DiscardTimeout
from ._errors import (
    ConnectionLostError,
    EgressError,
    MalformedResponseError,
    describe_parse_failure,
)
from ._inner_head import InnerHeadSearch
from ._matcher import ExchangeHistory, ResponseMatch, ResponseMatcher
from ._request_writer import RequestWriter
from ._response import ResponseHead, build_head, check_status
from ._response_limits import ResponseLimits
from ._unsent import UnsentWatch

READ_HIGH_WATER_BYTES = 16 * 1024
# asyncio would read up to 256 KiB at once, beyond the high-water mark. Of a body in chunks of some
# bytes each one costs a call, and nothing else runs until a read is parsed.
READ_BYTES = 8 * 1024
# Bounds the events of one part, which take more memory than their bytes.
MAX_PART_BYTES = 4 * 1024
BODY_TIMEOUT_S = 5.0

FIRST_FINAL_STATUS = 200
# Of data that belongs to no exchange, what a log line repeats.
RECEIVED_START_BYTES = 24
# Bounds the history of a connection.
MAX_EXCHANGES = 256


# Shared by all connections, as each read is parsed before the next one begins.
_read_buffer = memoryview(bytearray(READ_BYTES))


class EgressConnection(asyncio.BufferedProtocol):
    """A connection that this process opened.

    `httptools` calls the methods whose names begin with `on_`.

    What a server sends beside the body is limited by `ResponseLimits`; the connection is closed
    as soon as a limit is exceeded.

    Args:
        address: The address of the server, "host:port".
        budget: Limits what bodies that are read whole hold together.
        on_stray: Called for each response that does not belong to the exchange that reads it.

    Attributes:
        address: The address of the server, "host:port".
        is_open: Whether requests can be sent.
        is_reused: Whether an exchange has been completed on the connection.
        idle_since_s: The loop time at which the last exchange ended or the connection was opened.
        received_s: The loop time at which data was last received.
        keep_alive_s: The idle timeout that the server announced in its Keep-Alive header; None if
            it announced none.
        history: The exchanges that it has carried.
        last_response_had_id: Whether the response to the last exchange bore the exchange's id; None
            if the exchange had none, or no response tells.
    """

    def __init__(
        self,
        *,
        address: str,
        budget: BufferBudget,
        on_stray: Callable[[StrayResponse], None] = log_stray,
    ) -> None:
        self.address = address
        self.is_open = True
        self.is_reused = False
        self.idle_since_s = 0.0
        self.received_s = 0.0
        self.keep_alive_s: float | None = None
        self.history = ExchangeHistory()
        self.last_response_had_id: bool | None = None
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpResponseParser(self)
        self._heads: deque[ResponseHead] = deque()
        self._body = bytearray()
        self._hold = BufferHold(budget=budget)
        self._read_paused = False
        self._is_complete = False
        self._may_reuse = False
        self._is_in_exchange = False
        self._error: EgressError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._headers: list[Header] = []
        self._limits = ResponseLimits()
        self._inner_head_search = InnerHeadSearch(header_names=())
        self._declared_bytes = 0
        self._has_head = False
        self._reads_until_close = False
        self._writer: RequestWriter | None = None
        self._unsent: UnsentWatch | None = None
        self._matcher: ResponseMatcher | None = None
        self._on_stray = on_stray
        self._has_strays = False
        self._is_safe_if_repeated = True
        self._is_discarding = False
        self._is_head_request = False
        self._states_absent_body = False
        self._discard_timeout = DiscardTimeout(policy=None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writer = RequestWriter(transport=transport)
        self._unsent = UnsentWatch(transport=transport, writer=self._writer)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle a read."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse data from the server."""
        if not self._is_in_exchange or self._is_complete:
            self._report_stray(data[:RECEIVED_START_BYTES], StrayAction.CLOSED)
            self._fail(
                MalformedResponseError(f"{self.address} sent data without a pending request")
            )
            return
        self.received_s = self._loop.time()
        self._inner_head_search.begin_read()
        try:
            self._parser.feed_data(data)
            if not self._is_complete:
                self._limits.add_data(len(data), self.received_s)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._is_complete:
                self._handle_surplus(data)
            else:
                self._fail(self._error_of(describe_parse_failure(error)))
        except MalformedResponseError as error:
            self._fail(self._error_of(str(error)))

    def eof_received(self) -> bool:
        """Complete a response that ends with the connection; stay open until the request is sent."""
        is_pending = not self._is_complete and self._error is None
        if not self._reads_until_close or not is_pending:
            return False
        if self._unsent is None or not self._unsent.is_unsent:
            self._complete(may_reuse=False)
            return False
        self._unsent.start(
            on_sent=lambda: self._complete(may_reuse=False),
            on_failed=lambda reason: self._fail(self._error_of(reason)),
        )
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a pending exchange."""
        reason = "it was closed" if exc is None else str(exc)
        self._fail(ConnectionLostError(f"connection to {self.address} lost: {reason}"))

    def pause_writing(self) -> None:
        """Write no more of the request, as the write buffer is above its limit."""
        if self._writer is not None:
            self._writer.pause()

    def resume_writing(self) -> None:
        """Write more of the request, as the write buffer has drained."""
        if self._writer is not None:
            self._writer.resume()

    def on_message_begin(self) -> None:
        """Start a response."""
        if self._is_complete:
            raise MalformedResponseError("received a second response to one request")
        self._headers = []
        self._limits.begin_head(self.received_s)
        self._has_head = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers after the body are ignored."""
        if self._has_head:
            return
        self._limits.add_header(name, value)
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Make the head of a final response available to `read_head`."""
        self._limits.end_head()
        status = check_status(self._parser.get_status_code())
        if status < FIRST_FINAL_STATUS:
            return
        self._has_head = True
        head = build_head(status, self._headers, is_head_request=self._is_head_request)
        self._reads_until_close = not head.has_length
        self._states_absent_body = head.states_absent_body
        self._declared_bytes = head.declared_bytes
        if head.keep_alive_s is not None:
            self.keep_alive_s = head.keep_alive_s
        self._is_discarding = not self._is_own(head)
        if self._is_discarding:
            return
        self._inner_head_search.begin_body()
        self._heads.append(head)
        self._notify()
        if self._is_head_request:
            # The parser expects the body that the head states, so it can't be used again.
            self._declared_bytes = 0
            self._complete(may_reuse=False)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body and pause reading while the buffer is full."""
        self._limits.add_body(len(body))
        if self._is_discarding:
            self._limits.add_discarded(len(body))
            return
        if self._inner_head_search.is_found_in(body):
            self._report_stray(b"", StrayAction.REFUSED)
            raise MalformedResponseError("another response begins within the body")
        self._body += body
        if len(self._body) > READ_HIGH_WATER_BYTES and not self._read_paused:
            self._read_paused = True
            self._require_transport().pause_reading()
        self._notify()

    def on_message_complete(self) -> None:
        """Complete a final response."""
        if not self._has_head:
            return
        if self._is_discarding:
            self._is_discarding = False
            return
        may_reuse = self._parser.should_keep_alive() and not self._states_absent_body
        self._complete(may_reuse=may_reuse)

    def start(
        self,
        request: bytes,
        *,
        matcher: ResponseMatcher,
        body: bytes = b"",
        is_head_request: bool = False,
        discard: DiscardPolicy | None = None,
    ) -> None:
        """Send a request.

        Args:
            request: The request with its head, and its body unless that is given apart.
            body: The body if it is not in `request`; it is not copied.
            matcher: Tells the response to this exchange from others. A response to another exchange
                is discarded; one that matches none fails this exchange.
            is_head_request: Whether the method is HEAD, so that the response ends with its head.
            discard: What to do if a response was discarded that may have been that to this exchange.

        Raises:
            EgressError: If the connection is closed; the error that closed it, if any.
            RuntimeError: If another exchange is pending on it.
        """
        if self._is_in_exchange:
            raise RuntimeError(f"the connection to {self.address} is in use by another exchange")
        if not self.is_open:
            raise self._copy_error()
        self._is_in_exchange = True
        self._matcher = matcher
        self._discard_timeout = DiscardTimeout(policy=discard)
        self.last_response_had_id = None
        matcher.record(self.history)
        self._has_strays = False
        self._is_head_request = is_head_request
        self._is_complete = False
        self._may_reuse = False
        self._reads_until_close = False
        self._limits = ResponseLimits()
        self._inner_head_search = InnerHeadSearch(header_names=matcher.inner_headers(self.history))
        assert self._writer is not None
        self._writer.write(request, body)

    @property
    def is_readable(self) -> bool:
        """Return whether a read would not block: data, the end or an error is available."""
        return bool(self._heads or self._body) or self._is_complete or self._error is not None

    async def wait_for_data(self) -> bool:
        """Wait until data or the end of the response can be read; return False on an error."""
        while not self.is_readable:
            try:
                await self._wait()
            except EgressError:
                return False
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
        part = bytes(self._body[:MAX_PART_BYTES])
        del self._body[:MAX_PART_BYTES]
        if self._read_paused and len(self._body) <= READ_HIGH_WATER_BYTES // 2:
            self._read_paused = False
            self._require_transport().resume_reading()
        return part

    async def read_whole_body(self, max_bytes: int) -> bytes:
        """Wait for the complete body, which counts as held in memory until the exchange ends.

        Raises:
            EgressError: If the body is incomplete, malformed or longer than `max_bytes`, if it
                still comes `BODY_TIMEOUT_S` after its beginning, or if the bodies of all
                connections hold too much.
        """
        body = bytearray()
        began_s = self._loop.time()
        if self._declared_bytes > max_bytes:
            raise self._error_of(f"response body exceeds {max_bytes} bytes")
        while part := await self.read_body():
            body += part
            if len(body) > max_bytes:
                raise self._error_of(f"response body exceeds {max_bytes} bytes")
            if not self._is_complete and self._loop.time() - began_s > BODY_TIMEOUT_S:
                raise self._error_of(f"response body is incomplete after {BODY_TIMEOUT_S:.0f} s")
            self._hold.grow(len(body))
        return bytes(body)

    def refuse_response(self, status: int) -> None:
        """Close the connection, as its response may not be that to the exchange."""
        self._report_stray(b"", StrayAction.REFUSED, status=status)
        self.close()

    def finish(self) -> bool:
        """End the exchange and return whether the connection is reusable; close it if not."""
        self._hold.release()
        self._discard_timeout.cancel()
        if not self._is_in_exchange:
            self.close()
            return False
        reusable = self.is_open and self._is_complete and self._may_reuse and self._may_carry_more
        # While this request is partly unsent, the next one would be queued behind its remainder.
        is_unsent = self._writer is not None and self._writer.is_paused
        if not reusable or self._body or self._heads or is_unsent:
            self.close()
            self._drop_buffers()
            return False
        self._is_in_exchange = False
        self.is_reused = True
        self.idle_since_s = self._loop.time()
        self._parser = httptools.HttpResponseParser(self)
        return True

    def close(self) -> None:
        """Abort the connection, by which the server detects that the request was abandoned."""
        self.is_open = False
        if self._writer is not None:
            self._writer.drop()
        if self._unsent is not None:
            self._unsent.cancel()
        if self._transport is not None:
            self._transport.abort()

    @property
    def _may_carry_more(self) -> bool:
        """Return whether the responses to later exchanges can be told from those until now."""
        if self._matcher is None or not self._matcher.keeps_connection or self._has_strays:
            return False
        if not self._is_safe_if_repeated:
            return False
        return len(self.history.ids) < MAX_EXCHANGES

    def _is_own(self, head: ResponseHead) -> bool:
        """Return whether a response belongs to the exchange, or to an earlier one.

        Raises:
            MalformedResponseError: If the response matches no exchange.
        """
        assert self._matcher is not None
        match = self._matcher.match(head, self.history)
        if match is ResponseMatch.OWN:
            self._record_own_response()
            self._is_safe_if_repeated = self._matcher.is_safe_if_repeated(head)
            return True
        action = StrayAction.DISCARDED if match is ResponseMatch.OTHER else StrayAction.REFUSED
        self._report_stray(b",".join(self._matcher.read_ids(head)), action, status=head.status)
        if match is ResponseMatch.UNMATCHED:
            raise MalformedResponseError(
                f"a response with status {head.status} does not match the {self._matcher.exchange}"
            )
        self._record_discarded(self._matcher, head)
        return False

    def _record_own_response(self) -> None:
        self._discard_timeout.cancel()
        if self._matcher is not None and self._matcher.exchange_id is not None:
            self.last_response_had_id = self.history.names_responses = True

    def _record_discarded(self, matcher: ResponseMatcher, head: ResponseHead) -> None:
        if matcher.exchange_id is None or matcher.is_surplus(head, self.history):
            return
        if not matcher.read_ids(head):
            self.last_response_had_id = False
        self._discard_timeout.start(self._fail_after_timeout)

    def _fail_after_timeout(self) -> None:
        self._fail(self._error_of("no response but one that does not match the request"))

    def _report_stray(self, received: bytes, action: StrayAction, *, status: int = 0) -> None:
        self._has_strays = True
        matcher = self._matcher if self._is_in_exchange else None
        self._on_stray(
            StrayResponse(
                address=self.address,
                exchange="" if matcher is None else matcher.exchange,
                expected=(matcher and matcher.exchange_id) or b"",
                received=received,
                status=status,
                action=action,
            )
        )

    def _error_of(self, reason: str) -> MalformedResponseError:
        return MalformedResponseError(f"{reason} (from {self.address})")

    def _handle_surplus(self, read: bytes) -> None:
        """Handle data behind a complete response: surplus, or the rest of a head within its body.

        Args:
            read: The data of the read in which the surplus came.
        """
        self._may_reuse = False
        if not self._declared_bytes or not self._inner_head_search.is_found_across_end(read):
            self._report_stray(b"", StrayAction.CLOSED)
            return
        self._report_stray(b"", StrayAction.REFUSED)
        self._is_complete = False
        self._fail(self._error_of("another response begins within the body"))

    def _complete(self, *, may_reuse: bool) -> None:
        self._is_complete = True
        self._may_reuse = may_reuse
        self._notify()

    def _fail(self, error: EgressError) -> None:
        if self._error is None:
            self._error = error
        self._discard_timeout.cancel()
        self.close()
        self._notify()

    def _copy_error(self) -> EgressError:
        """Return a copy of the error that closed the connection.

        The original would hold the frames that it is raised through, with what they have read.
        """
        closed = ConnectionLostError(f"connection to {self.address} is closed")
        return copy.copy(self._error or closed)

    def _drop_buffers(self) -> None:
        """Free what was read at once, as the parser's reference to this object is a cycle."""
        self._is_in_exchange = False
        self._parser = None
        self._body.clear()
        self._heads.clear()

    def _notify(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        if self._error is not None:
            raise self._copy_error()
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _require_transport(self) -> asyncio.Transport:
        if self._transport is None:
            raise ConnectionLostError(f"connection to {self.address} is not open")
        return self._transport
