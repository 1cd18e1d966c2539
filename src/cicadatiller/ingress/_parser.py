"""Reads requests off a connection by `httptools`, with limits on what is accepted."""

from typing import Any

import httptools

from ._limits import IngressLimits
from ._request import Header, Request

HTTP_VERSIONS = ("1.0", "1.1")
LINE_OVERHEAD_BYTES = 4

BAD_REQUEST = 400
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431


class BadRequestError(Exception):
    """The caller sent something that is not an acceptable request.

    Args:
        status: The status to answer with.
        message: What was wrong.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class RequestParser:
    """Turns bytes into requests; pipelined requests come out in order.

    The method names that begin with `on_` are those that `httptools` calls.

    Args:
        limits: What is accepted. They may be replaced between requests.

    Attributes:
        limits: What is accepted.
        problem: What made the bytes unacceptable; None while all is well. Nothing is read after it.
        is_within_head: Whether a request has begun and its headers are not complete.
        wants_continue: Whether the caller waits for an interim answer before it sends the body.
    """

    def __init__(self, *, limits: IngressLimits) -> None:
        self.limits = limits
        self.problem: BadRequestError | None = None
        self.is_within_head = False
        self.wants_continue = False
        self._parser: Any = httptools.HttpRequestParser(self)
        self._ready: list[Request] = []
        self._now_s = 0.0
        self._clear()

    @property
    def is_within_request(self) -> bool:
        """Tell whether a request has begun and is not complete."""
        return self._begun

    def feed(self, data: bytes, now_s: float) -> list[Request]:
        """Take bytes and return the requests that they complete.

        Bytes that break the protocol or a limit set `problem`; requests before them are returned.

        Args:
            data: What was read.
            now_s: The loop's time.
        """
        if self.problem is not None:
            return []
        self._now_s = now_s
        began_within_head = self.is_within_head
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._note(BAD_REQUEST, "protocol upgrades are not served")
            self._ready.clear()
        except httptools.HttpParserError as error:
            self._note(BAD_REQUEST, str(error))
        if began_within_head and self.is_within_head:
            self._check_unfinished_head(len(data))
        ready, self._ready = self._ready, []
        return ready

    def on_message_begin(self) -> None:
        """Start a request."""
        self._clear()
        self._begun = True
        self.is_within_head = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the request line."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header; trailers after the body are dropped."""
        if not self.is_within_head:
            return
        self._count_head(len(name) + len(value) + LINE_OVERHEAD_BYTES)
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the request before its body is read."""
        self.is_within_head = False
        self._check_version()
        declared_bytes = 0
        hosts = 0
        for name, value in self._headers:
            key = name.lower()
            if key == b"host":
                hosts += 1
            elif key == b"content-length":
                declared_bytes = int(value)
            elif key == b"transfer-encoding" and value.strip().lower() != b"chunked":
                self._refuse(BAD_REQUEST, "the only transfer coding that is served is chunked")
            elif key == b"expect":
                self.wants_continue = value.strip().lower() == b"100-continue"
        if hosts != 1:
            self._refuse(BAD_REQUEST, "a request needs exactly one Host header")
        if declared_bytes > self.limits.max_body_bytes:
            self._refuse(BODY_TOO_LARGE, "the body is too long")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self.wants_continue = False
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self.limits.max_body_bytes:
            self._refuse(BODY_TOO_LARGE, "the body is too long")

    def on_message_complete(self) -> None:
        """Finish a request."""
        self.wants_continue = False
        self._begun = False
        self._ready.append(
            Request(
                method=self._parser.get_method(),
                target=bytes(self._target),
                headers=tuple(self._headers),
                body=b"".join(self._body),
                keep_alive=self._parser.should_keep_alive(),
                read_at_s=self._now_s,
            )
        )

    def _clear(self) -> None:
        self._begun = False
        self._target = bytearray()
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._unfinished_head_bytes = 0

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > self.limits.max_header_bytes:
            self._refuse(HEADERS_TOO_LARGE, "the request line and headers are too long")

    def _check_unfinished_head(self, size_bytes: int) -> None:
        # httptools keeps a header until it is complete, so one without an end is counted here.
        self._unfinished_head_bytes += size_bytes
        if self._unfinished_head_bytes > self.limits.max_header_bytes:
            self._note(HEADERS_TOO_LARGE, "the request line and headers are too long")

    def _check_version(self) -> None:
        version = self._parser.get_http_version()
        if version not in HTTP_VERSIONS:
            self._refuse(BAD_REQUEST, f"HTTP version {version} is not served")

    def _note(self, status: int, message: str) -> None:
        if self.problem is None:
            self.problem = BadRequestError(status, message)

    def _refuse(self, status: int, message: str) -> None:
        # httptools turns an error of a callback into its own, so the first one is kept aside.
        self._note(status, message)
        raise BadRequestError(status, message)
