"""Splits the bytes of a stream into server-sent events."""

import re
from dataclasses import dataclass

from ..egress import MalformedResponseError

# Of an event with what comes before it that is none.
MAX_EVENT_BYTES = 64 * 1024
# Of what is no event, between two events; each block costs processor time, however short it is.
MAX_BLOCKS_WITHOUT_EVENT = 1024
# Blocks that are returned at once.
MAX_TURN_BLOCKS = 32
# An event is sent at once, so one of which single bytes arrive for so long has no end.
EVENT_TIMEOUT_S = 3.0

EVENT_END = re.compile(rb"\n\r?\n")
MAX_END_BYTES = 3
# Of comments, which begin with a colon, empty lines and reconnection times.
_CONTROL_NAMES = frozenset({b"", b"retry"})


class EventTooLongError(Exception):
    """An event, or what comes before it, is longer than `MAX_EVENT_BYTES` or has too many blocks."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEvent:
    """One complete block of a stream, which ends with a blank line.

    Attributes:
        event_id: Its id; empty if it has none.
        data: Its bytes, including the blank line that ends it.
        is_control: Whether it consists of comments and reconnection times only, so that it is no
            event to a caller.
        is_progress: Whether it has data or a number as its id. Of other blocks a stream may have
            only few between two of these.
    """

    event_id: bytes
    data: bytes
    is_control: bool = False
    is_progress: bool = True


class EventSplitter:
    """Buffers the bytes of a stream and returns them as complete blocks, a few at a time."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        # How much of the buffer was searched without finding the end of a block.
        self._searched_bytes = 0
        self._partial_since_s: float | None = None
        self._bytes_without_event = 0
        self._blocks_without_event = 0
        self._is_behind = False

    @property
    def is_behind(self) -> bool:
        """Return whether the buffer may hold complete blocks that were not returned yet."""
        return self._is_behind

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes, now_s: float = 0.0) -> list[StreamEvent]:
        """Add bytes and return the next blocks that are complete, `MAX_TURN_BLOCKS` at most.

        Args:
            data: The bytes; empty to get further blocks while `is_behind`.
            now_s: The loop time.

        Raises:
            EventTooLongError: If the incomplete event is longer than `MAX_EVENT_BYTES`, with what
                comes before it that is none, or that has more than `MAX_BLOCKS_WITHOUT_EVENT`.
            MalformedResponseError: If bytes of an incomplete event still arrive `EVENT_TIMEOUT_S`
                after the first ones.
        """
        self._buffer += data
        events: list[StreamEvent] = []
        while len(events) < MAX_TURN_BLOCKS and (end := self._find_end()) >= 0:
            events.append(self._parse(bytes(self._buffer[:end])))
            del self._buffer[:end]
            self._searched_bytes = 0
            self._partial_since_s = None
        self._is_behind = len(events) == MAX_TURN_BLOCKS
        if not self._is_behind:
            self._searched_bytes = len(self._buffer)
            self._check_partial_event(now_s)
        self._check_without_event()
        return events

    def _find_end(self) -> int:
        """Return the offset after the first block; -1 if no block is complete."""
        # The end may have begun before what was searched.
        match = EVENT_END.search(self._buffer, max(0, self._searched_bytes - MAX_END_BYTES + 1))
        return match.end() if match else -1

    def _parse(self, block: bytes) -> StreamEvent:
        fields = [line.partition(b":") for line in block.splitlines()]
        event_ids = (value.strip() for name, _, value in fields if name == b"id")
        event_id = next(event_ids, b"")
        is_progress = event_id.isdigit() or any(name == b"data" for name, _, _ in fields)
        self._count(block, is_progress=is_progress)
        return StreamEvent(
            event_id=event_id,
            data=block,
            is_control=all(name in _CONTROL_NAMES for name, _, _ in fields),
            is_progress=is_progress,
        )

    def _count(self, block: bytes, *, is_progress: bool) -> None:
        if is_progress:
            self._bytes_without_event = self._blocks_without_event = 0
            return
        self._bytes_without_event += len(block)
        self._blocks_without_event += 1

    def _check_without_event(self) -> None:
        partial_bytes = 0 if self._is_behind else len(self._buffer)
        if self._bytes_without_event + partial_bytes > MAX_EVENT_BYTES:
            raise EventTooLongError(f"stream event exceeds the limit of {MAX_EVENT_BYTES} bytes")
        if self._blocks_without_event > MAX_BLOCKS_WITHOUT_EVENT:
            raise EventTooLongError(f"{MAX_BLOCKS_WITHOUT_EVENT} blocks of a stream are no event")

    def _check_partial_event(self, now_s: float) -> None:
        if not self._buffer:
            return
        if self._partial_since_s is None:
            self._partial_since_s = now_s
        if now_s - self._partial_since_s > EVENT_TIMEOUT_S:
            raise MalformedResponseError(
                f"a stream event is incomplete after {EVENT_TIMEOUT_S:.0f} s"
            )
