"""Serializes HTTP/1.1 responses."""

from collections.abc import Iterable
from dataclasses import dataclass

from ._request import Header

REASON_PHRASES = {
    100: b"Continue",
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"

_FRAMING_HEADERS = frozenset(
    {b"connection", b"content-length", b"keep-alive", b"transfer-encoding"}
)
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A complete response.

    Attributes:
        status: The status code.
        headers: The header names and values. `render_response` omits those that concern framing
            or the connection.
        body: The body.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


def render_head(status: int, headers: Iterable[Header]) -> bytes:
    """Return the status line and headers without framing headers and without a final CRLF."""
    lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES.get(status, b"Status"))]
    for name, value in headers:
        if name.lower() not in _FRAMING_HEADERS:
            lines.append(b"%s: %s" % (name, value))
    return b"\r\n".join(lines)


def render_response(answer: Response, *, close: bool, is_head_request: bool = False) -> bytes:
    """Return a response as bytes.

    Args:
        answer: The response.
        close: Whether the connection closes after the response.
        is_head_request: Whether the request method was HEAD; the body is then omitted but its
            length is stated, if there is one.
    """
    parts = [render_head(answer.status, answer.headers)]
    has_length = bool(answer.body) or not is_head_request
    if has_length and answer.status not in _STATUSES_WITHOUT_BODY:
        parts.append(b"Content-Length: %d" % len(answer.body))
    if close:
        parts.append(b"Connection: close")
    head = b"\r\n".join(parts) + b"\r\n\r\n"
    return (
        head if is_head_request or answer.status in _STATUSES_WITHOUT_BODY else head + answer.body
    )


def render_stream_head(
    status: int, headers: Iterable[Header], *, close: bool, is_chunked: bool
) -> bytes:
    """Return the head of a response whose body ends with the last chunk or the connection."""
    parts = [render_head(status, headers)]
    if is_chunked:
        parts.append(b"Transfer-Encoding: chunked")
    if close:
        parts.append(b"Connection: close")
    return b"\r\n".join(parts) + b"\r\n\r\n"


def render_chunk(data: bytes) -> bytes:
    """Return a part of a body as one chunk; `data` must not be empty, as that ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
