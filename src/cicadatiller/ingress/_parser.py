"""Parses requests with `httptools` and enforces size limits."""

import hashlib
from collections.abc import Callable
from typing import Any

import httptools

from ._framing import LINE_OVERHEAD_BYTES, FramingCounter
from ._limits import IngressLimits
from ._request import Header, Request

HTTP_VERSIONS = ("1.0", "1.1")
VERSION_WITHOUT_CHUNKS = "1.0"
# Chunks of one byte are allowed for any body.
FRAMING_PER_BODY_BYTE = 8
# What the objects of a header take in memory beside its bytes.
HEADER_OVERHEAD_BYTES = 200

BAD_REQUEST = 400
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
UNAVAILABLE = 503


class BadRequestError(Exception):
    """The caller sent a malformed request or exceeded a limit.

    Args:
        status: The status code of the response.
        message: The body of the response.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class RequestParser:
    """Parses the data of one connection into requests, which may be pipelined.

    `httptools` calls the methods whose names begin with `on_`.

    Args:
        limits: Returns the size limits in force; those at the begin of a request hold to its end.

    Attributes:
        error: The first parse error or exceeded limit; None if there is none. No data is parsed
            after an error.
        is_within_head: Whether a request has begun and its headers are incomplete.
        expects_continue: Whether the caller waits for a 100 response before it sends the body.
    """

    def __init__(self, *, limits: Callable[[], IngressLimits]) -> None:
        self._current_limits = limits
        self._limits = limits()
        self.error: BadRequestError | None = None
        self.is_within_head = False
        self.expects_continue = False
        self._parser: Any = httptools.HttpRequestParser(self)
        self._ready: list[Request] = []
        self._now_s = 0.0
        self._reset()

    @property
    def is_within_request(self) -> bool:
        """Return whether a request has begun and is incomplete."""
        return self._begun

    @property
    def held_bytes(self) -> int:
        """Return about what the incomplete request takes in memory."""
        return self._head_bytes + len(self._body)

    @property
    def declared_bytes(self) -> int:
        """Return the length that the incomplete request states for its body; 0 if none."""
        return self._declared_bytes if self._begun and not self.is_within_head else 0

    def refuse_for_room(self) -> None:
        """Refuse the incomplete request, as there is no room for it, and free what was read."""
        self._set_error(UNAVAILABLE, "too much is held for other requests; come back later")
        self._reset()

    def feed(self, data: bytes, now_s: float) -> list[Request]:
        """Parse data and return the requests that it completes.

        Malformed data or an exceeded limit sets `error`; the requests before it are returned.

        Args:
            data: The data that was read.
            now_s: The loop time.
        """
        if self.error is not None:
            return []
        self._now_s = now_s
        framing = self._framing
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._set_error(BAD_REQUEST, "protocol upgrades are not supported")
            if not self._begun:
                # The last request is the one that asks for the upgrade.
                del self._ready[-1:]
        except httptools.HttpParserError as error:
            self._set_error(BAD_REQUEST, str(error))
        if framing is self._framing:
            self._check_framing(len(data))
        if self.error is not None:
            self._body.clear()
        ready, self._ready = self._ready, []
        return ready

    def close(self) -> None:
        """Free what was read at once, as the parser's reference to this object is a cycle."""
        self._parser = None
        self._reset()

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self._limits = self._current_limits()
        self._begun = True
        self.is_within_head = True

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._target += url
        self._head_bytes += len(url)
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers after the body are ignored."""
        if not self.is_within_head:
            return
        self._count_head(len(name) + len(value) + LINE_OVERHEAD_BYTES)
        self._head_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the request before its body is read."""
        self.is_within_head = False
        self._check_version()
        hosts = 0
        for name, value in self._headers:
            key = name.lower()
            if key == b"host":
                hosts += 1
            elif key == b"content-length":
                self._declared_bytes = int(value)
            elif key == b"transfer-encoding" and value.strip().lower() != b"chunked":
                self._refuse(BAD_REQUEST, "the only supported transfer coding is chunked")
            elif key == b"expect":
                self.expects_continue = value.strip().lower() == b"100-continue"
        if hosts != 1:
            self._refuse(BAD_REQUEST, "a request needs exactly one Host header")
        if self._declared_bytes > self._limits.max_body_bytes:
            self._refuse(BODY_TOO_LARGE, "the body is too long")

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self.expects_continue = False
        self._framing.add_body(len(body))
        self._body += body
        # Here and not at the end, where a long body would hold up other requests.
        self._body_hash.update(body)
        if len(self._body) > self._limits.max_body_bytes:
            self._refuse(BODY_TOO_LARGE, "the body is too long")

    def on_message_complete(self) -> None:
        """Complete a request."""
        self.expects_continue = False
        self._begun = False
        self._ready.append(
            Request(
                method=self._parser.get_method(),
                target=bytes(self._target),
                headers=tuple(self._headers),
                body=bytes(self._body),
                keep_alive=self._parser.should_keep_alive(),
                read_at_s=self._now_s,
                accepts_chunks=self._parser.get_http_version() != VERSION_WITHOUT_CHUNKS,
                body_digest=self._body_hash.digest() if self._body else b"",
                held_bytes=self.held_bytes,
            )
        )
        # The request has its own copy.
        self._body.clear()
        self._headers.clear()
        self._head_bytes = 0

    def _reset(self) -> None:
        self._begun = False
        self._target = bytearray()
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._body: bytearray = bytearray()
        self._declared_bytes = 0
        self._body_hash: hashlib._Hash = hashlib.sha256()
        self._framing = FramingCounter(per_body_byte=FRAMING_PER_BODY_BYTE)

    def _count_head(self, size_bytes: int) -> None:
        self._framing.add_header(size_bytes)
        if self._framing.exceeds(self._limits.max_header_bytes):
            self._refuse(HEADERS_TOO_LARGE, "the request line and headers are too long")

    def _check_framing(self, size_bytes: int) -> None:
        """Check what has come of a request without an end, or between two requests.

        Data in which a request begins is not counted, as it may hold the end of another one.
        """
        self._framing.add_data(size_bytes)
        if not self._framing.exceeds(self._limits.max_header_bytes):
            return
        if self.is_within_head:
            self._set_error(HEADERS_TOO_LARGE, "the request line and headers are too long")
        else:
            self._set_error(BAD_REQUEST, "too many bytes outside of the request's body")

    def _check_version(self) -> None:
        version = self._parser.get_http_version()
        if version not in HTTP_VERSIONS:
            self._refuse(BAD_REQUEST, f"HTTP version {version} is not supported; use HTTP/1.1")

    def _set_error(self, status: int, message: str) -> None:
        if self.error is None:
            self.error = BadRequestError(status, message)

    def _refuse(self, status: int, message: str) -> None:
        # httptools replaces an exception of a callback by its own, so `error` keeps the original.
        self._set_error(status, message)
        raise BadRequestError(status, message)
