"""A request as it was read from a connection."""

from collections.abc import Iterable
from dataclasses import dataclass

Header = tuple[bytes, bytes]


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the first header with a lower-case name; None if there is none."""
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
        headers: Names as sent and values, in order; framing headers included.
        body: The whole body, without the framing of chunks.
        keep_alive: Whether the connection may carry another request.
        read_at_s: The loop's time at which the last byte was read.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    keep_alive: bool
    read_at_s: float

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b"?")[0]
