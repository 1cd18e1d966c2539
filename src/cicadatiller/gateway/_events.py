"""Splits the bytes of a stream into server-sent events."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024


class EventTooLongError(Exception):
    """An event is longer than `MAX_EVENT_BYTES`."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEvent:
    """One complete event.

    Attributes:
        event_id: Its id; empty if it has none.
        data: Its bytes, including the blank line that ends it.
    """

    event_id: bytes
    data: bytes


class EventSplitter:
    """Buffers the bytes of a stream and returns them as complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises:
            EventTooLongError: If the incomplete event is longer than `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        events = []
        while True:
            end = _event_end(self._buffer)
            if end < 0:
                break
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(StreamEvent(event_id=_find_id(event), data=event))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"stream event exceeds the limit of {MAX_EVENT_BYTES} bytes")
        return events


def _event_end(data: bytes) -> int:
    """Return the offset after the first event; -1 if no event is complete."""
    lf_index = data.find(b"\n\n")
    crlf_index = data.find(b"\r\n\r\n")
    if crlf_index >= 0 and (lf_index < 0 or crlf_index < lf_index):
        return crlf_index + 4
    return lf_index + 2 if lf_index >= 0 else -1


def _find_id(event: bytes) -> bytes:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return b""
