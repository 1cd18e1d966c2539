"""The timeouts of calls to HTTP servers."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class HttpTimeouts:
    """The timeouts of one HTTP call.

    Attributes:
        connect_s: The timeout of opening a connection.
        read_s: The timeout of each read.
    """

    connect_s: float = 1.0
    read_s: float = 5.0

    def __post_init__(self) -> None:
        if self.connect_s <= 0 or self.read_s <= 0:
            raise ValueError("connect_s and read_s must be above zero")
