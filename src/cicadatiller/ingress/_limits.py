"""Size and time limits on requests."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class IngressLimits:
    """The limits on one connection.

    Attributes:
        max_header_bytes: The size limit for the request line and headers together.
        max_body_bytes: The size limit for a body without its chunk framing.
        header_timeout_s: The time limit from the first byte of a request to the end of its
            headers.
        idle_timeout_s: How long a connection may stay open without a request.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
