"""Responses that are read as a whole or not at all."""

import io
import re
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from http.client import BadStatusLine, HTTPException, HTTPResponse, IncompleteRead
from typing import Any

from urllib3.exceptions import HeaderParsingError
from urllib3.util.response import assert_header_parsing

from ..kernel import is_reset, unacknowledged_bytes

REPORTED_BYTES = 128
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_HEAD_LINE_BYTES = 65_536
UNSENT_CHECK_INTERVAL_S = 0.02
# For a server that reads on after its response; one that does not fails the exchange.
UNSENT_TIMEOUT_S = 5.0
CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
STATUS_LINE = re.compile(rb"HTTP/1\.[01] +[1-5]\d\d\s")
STATUS_LINE_END = re.compile(r"HTTP/1\.[01] [1-5]\d\d[^\r\n]{0,64}\Z")


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseLimits:
    """The limits of one response.

    Attributes:
        complete_s: The time until it must be complete.
        max_bytes: Its largest size.
    """

    complete_s: float
    max_bytes: int


class WholeResponse(HTTPResponse):
    """A response whose head and chunks must be complete.

    The standard library takes the end of a connection for the end of the head or of a chunk's size,
    so that a truncated response may look like a whole one with a short body. It also ignores lines
    of the head that are no headers, and takes an interim response for the final one.

    Args:
        sock: The socket.
        on_surplus: Called with the first bytes that were received beyond the end of the response.
        limits: The limits of the response; None for none.
        is_request_cut: Returns whether the connection broke while the request was sent.
        *args: The further arguments of `HTTPResponse`.
        **options: Its options.
    """

    def __init__(
        self,
        sock: socket.socket,
        *args: Any,
        on_surplus: Callable[[bytes], None],
        limits: ResponseLimits | None,
        is_request_cut: Callable[[], bool] = lambda: False,
        **options: Any,
    ) -> None:
        super().__init__(sock, *args, **options)
        self._socket = sock
        self._is_request_cut = is_request_cut
        raw = _ReceivedBytes(self.fp.detach(), sock=sock, limits=limits)
        self._reader = _WholeLineReader(raw, on_surplus=on_surplus)
        self.fp = self._reader

    def begin(self) -> None:
        """Read the head.

        Raises:
            HTTPError: If it is malformed.
            HTTPException: If it is incomplete.
        """
        super().begin()
        assert_header_parsing(self.headers)
        for part in (self.reason, *self.headers.values()):
            # The head may have been cut within this line, with another response behind it.
            found = STATUS_LINE_END.search(part) or CONTROL_CHARACTER.search(part)
            if found is not None:
                raise HeaderParsingError([], found.string[found.start() :])

    def _read_status(self) -> tuple[str, int, str]:
        version, status, reason = self._read_status_line()
        while HTTPStatus.CONTINUE < status < HTTPStatus.OK:
            self._skip_head()
            version, status, reason = self._read_status_line()
        return version, status, reason

    def _read_status_line(self) -> tuple[str, int, str]:
        """Read a status line; the standard library takes a status for any number up to 999.

        Raises:
            BadStatusLine: If it has no status.
        """
        version, status, reason = super()._read_status()  # type: ignore[misc]
        if STATUS_LINE.match(self._reader.last_line) is None:
            raise BadStatusLine(repr(self._reader.last_line[:REPORTED_BYTES]))
        return version, status, reason

    def _skip_head(self) -> None:
        while self.fp.readline(MAX_HEAD_LINE_BYTES).strip():
            pass

    def _close_conn(self) -> None:
        """Handle the end of the response, which is that of the connection if it has no length."""
        has_ended = not self._reader.is_abandoned
        if has_ended and self.length is None and not self.chunked:
            self._check_request_sent()
        super()._close_conn()  # type: ignore[misc]

    def _check_request_sent(self) -> None:
        """Wait until the server's machine has all of the request.

        Until then the server may have broken off, and only closed its sending side so far.

        Raises:
            IncompleteRead: If the connection is reset, or the request is not read on.
        """
        until_s = time.monotonic() + UNSENT_TIMEOUT_S
        while not self._is_request_cut() and not is_reset(self._socket):
            if not unacknowledged_bytes(self._socket):
                return
            if time.monotonic() >= until_s:
                break
            time.sleep(UNSENT_CHECK_INTERVAL_S)
        raise IncompleteRead(b"")

    def close(self) -> None:
        """Close the response, also before its end."""
        self._reader.is_abandoned = True
        super().close()


class _ReceivedBytes(io.RawIOBase):
    """Receives the bytes of a response within its limits."""

    def __init__(
        self, raw: io.RawIOBase, *, sock: socket.socket, limits: ResponseLimits | None
    ) -> None:
        super().__init__()
        self._raw = raw
        self._socket = sock
        self._limits = limits
        self._started_s = time.monotonic()
        self._received_bytes = 0
        self.timeout_s = sock.gettimeout()

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any, /) -> int | None:
        self._socket.settimeout(self._timeout_s())
        size = self._raw.readinto(buffer)
        self._received_bytes += size or 0
        if self._limits is not None and self._received_bytes > self._limits.max_bytes:
            raise HTTPException(f"the response is longer than {self._limits.max_bytes} bytes")
        return size

    def close(self) -> None:
        self._raw.close()
        super().close()

    def _timeout_s(self) -> float | None:
        if self._limits is None or self.timeout_s is None:
            return self.timeout_s
        left_s = self._started_s + self._limits.complete_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError(f"the response was not complete in {self._limits.complete_s:g} s")
        return min(self.timeout_s, left_s)


class _WholeLineReader(io.BufferedReader):
    """Reads complete lines, and reports what follows the response when it is closed at its end."""

    def __init__(self, raw: _ReceivedBytes, *, on_surplus: Callable[[bytes], None]) -> None:
        super().__init__(raw)
        self._received = raw
        self._on_surplus = on_surplus
        self.is_abandoned = False
        self.last_line = b""

    def readline(self, size: int | None = -1, /) -> bytes:
        line = super().readline(size)
        is_limited = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not is_limited:
            raise IncompleteRead(line)
        self.last_line = line
        return line

    def close(self) -> None:
        if not self.closed and not self.is_abandoned:
            surplus = self._peek_received()
            if surplus:
                self._on_surplus(surplus)
        super().close()

    def _peek_received(self) -> bytes:
        """Return the first bytes that have been received but not read, without waiting."""
        try:
            # The connection carries no further exchange, so its timeout does not matter any more.
            self._received.timeout_s = 0.0
            return self.peek(1)[:REPORTED_BYTES]
        except (OSError, ValueError, HTTPException):
            return b""
