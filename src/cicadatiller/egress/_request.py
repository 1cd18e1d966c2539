"""Serializes HTTP/1.1 requests."""

from collections.abc import Iterable

from ..ingress import Header


def render_request(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes = b""
) -> bytes:
    """Return a request as bytes.

    Args:
        method: The method.
        target: The path and query.
        headers: As for `render_request_head`.
        body: The body.
    """
    return render_request_head(method, target, headers, len(body)) + body


def render_request_head(
    method: bytes, target: bytes, headers: Iterable[Header], body_bytes: int
) -> bytes:
    """Return the head of a request as bytes.

    Args:
        method: The method.
        target: The path and query.
        headers: The headers without Content-Length, which is added if the request has a body or
            is neither GET nor HEAD.
        body_bytes: The length of the body.
    """
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines.extend(b"%s: %s" % header for header in headers)
    if body_bytes or method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n"
