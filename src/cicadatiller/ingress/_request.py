"""A request that was read from a connection."""

from collections.abc import Iterable
from dataclasses import dataclass

Header = tuple[bytes, bytes]


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the first header with a lower-case name, or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A complete request.

    Attributes:
        method: The method.
        target: The path and query as the caller sent them.
        headers: The header names as sent and their values, in order, including framing headers.
        body: The complete body without its chunk framing.
        keep_alive: Whether the caller allows further requests on the connection.
        accepts_chunks: Whether the caller's HTTP version has chunked bodies.
        read_at_s: The loop time at which the last byte was read.
        body_digest: The SHA-256 digest of the body; empty if the body is.
        held_bytes: About what it takes in memory.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    keep_alive: bool
    read_at_s: float
    accepts_chunks: bool = True
    body_digest: bytes = b""
    held_bytes: int = 0

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b"?")[0]
