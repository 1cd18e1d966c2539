"""Responses that belong to another exchange than the one that reads them, or to none."""

import enum
from dataclasses import dataclass

from ._events import Event, log_event


class StrayAction(enum.Enum):
    """What was done with a stray response."""

    DISCARDED = "discarded"
    """It was read and dropped, and the exchange goes on."""

    REFUSED = "refused"
    """It matches no exchange; the exchange that read it failed."""

    CLOSED = "closed"
    """No response was pending; the connection is closed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StrayResponse:
    """A response, or data, that does not belong to the exchange that reads it.

    Attributes:
        address: The address of the server, "host:port".
        exchange: What is exchanged; empty if no exchange was pending.
        action: What was done with it.
        received: The id that the response bears, empty if none; without an exchange the first
            bytes of the data.
        expected: The id of the exchange; empty if it has none.
        status: The status of the response; 0 if no head was read.
    """

    address: str
    exchange: str
    action: StrayAction
    received: bytes = b""
    expected: bytes = b""
    status: int = 0


def log_stray(stray: StrayResponse) -> None:
    """Write a log line that names the server."""
    log_event(
        Event.RESPONSE_STRAY,
        target=stray.address,
        exchange=stray.exchange,
        expected=stray.expected.decode("latin-1"),
        received=stray.received.decode("latin-1"),
        status=stray.status,
        action=stray.action.value,
    )
