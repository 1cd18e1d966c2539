"""What callers may send, and how long they may take."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class IngressLimits:
    """The limits on one connection.

    Attributes:
        max_header_bytes: The request line and all headers.
        max_body_bytes: The body without the framing of chunks.
        header_timeout_s: From the first byte of a request to the end of its headers.
        idle_timeout_s: How long a connection may wait for its next request.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
