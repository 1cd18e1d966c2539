"""Splits a stream of server-sent events at their boundaries."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024


class EventTooLongError(Exception):
    """An event does not end within `MAX_EVENT_BYTES`."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEvent:
    """One whole event.

    Attributes:
        event_id: Its id; empty if it has none.
        data: Its bytes, the blank line at its end included.
    """

    event_id: bytes
    data: bytes


class EventSplitter:
    """Gathers bytes until they make whole events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Tell whether an event has begun and not ended."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes and return the events that they complete; raises `EventTooLongError`."""
        self._rest += data
        events = []
        while True:
            end = _event_end(self._rest)
            if end < 0:
                break
            event, self._rest = self._rest[:end], self._rest[end:]
            events.append(StreamEvent(event_id=_find_id(event), data=event))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events


def _event_end(data: bytes) -> int:
    """Return where the first event ends; -1 if none is whole."""
    plain = data.find(b"\n\n")
    with_returns = data.find(b"\r\n\r\n")
    if with_returns >= 0 and (plain < 0 or with_returns < plain):
        return with_returns + 4
    return plain + 2 if plain >= 0 else -1


def _find_id(event: bytes) -> bytes:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return b""
