"""Writes log lines without blocking the event loop."""

import asyncio
import os
from collections import deque
from dataclasses import dataclass
from typing import Any

import orjson

MAX_PENDING_BYTES = 256 * 1024
MAX_LINES_PER_EVENT = 40
WINDOW_S = 1.0


@dataclass(kw_only=True, slots=True)
class _LineCount:
    """Counts the lines of one event and error kind within the current window."""

    window: int = 0
    lines: int = 0
    left_out: int = 0


class LogOutput:
    """An eliot destination that writes messages as JSON lines to a file descriptor.

    Lines are rate limited for each event and kind of error separately, so that a burst of refusals
    for one reason does not suppress those for another. Beyond `MAX_LINES_PER_EVENT` within
    `WINDOW_S`, lines are left out; the next line of the same event and kind that is written has
    their number as `left_out`. If the reader of the file descriptor stalls and more than
    `MAX_PENDING_BYTES` would be pending, lines are dropped; the next line of any kind that is
    written has their number as `dropped`.

    Args:
        fd: The file descriptor; it is set to non-blocking.

    Attributes:
        left_out: The number of lines left out.
        dropped: The number of lines dropped.
    """

    def __init__(self, *, fd: int) -> None:
        os.set_blocking(fd, False)
        self.left_out = 0
        self.dropped = 0
        self._fd = fd
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._unreported_drops = 0
        self._line_counts: dict[tuple[int, str], _LineCount] = {}
        self._has_writer = False

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message; eliot calls this."""
        count = self._count_line(message)
        if count is None:
            return
        if self._unreported_drops:
            message = {**message, "dropped": self._unreported_drops}
        if count.left_out:
            message = {**message, "left_out": count.left_out}
        line = orjson.dumps(message, default=repr, option=orjson.OPT_APPEND_NEWLINE)
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            self._unreported_drops += 1
            return
        self._unreported_drops = 0
        count.left_out = 0
        self._pending.append(line)
        self._pending_bytes += len(line)
        self._write()

    def _count_line(self, message: dict[str, Any]) -> _LineCount | None:
        """Return the count that a message belongs to; None if it has to be left out."""
        category = (message.get("number", 0), str(message.get("kind", "")))
        count = self._line_counts.get(category)
        if count is None:
            count = self._line_counts[category] = _LineCount()
        window = int(message.get("timestamp", 0.0) / WINDOW_S)
        if window != count.window:
            count.window = window
            count.lines = 0
        if count.lines >= MAX_LINES_PER_EVENT:
            count.left_out += 1
            self.left_out += 1
            return None
        count.lines += 1
        return count

    def _write(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                size = os.write(self._fd, line)
            except BlockingIOError:
                self._add_writer()
                return
            except OSError:
                # The log itself has failed, so the error can't be reported anywhere.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= size
            if size < len(line):
                self._pending[0] = line[size:]
            else:
                self._pending.popleft()
        self._remove_writer()

    def _add_writer(self) -> None:
        if self._has_writer:
            return
        try:
            asyncio.get_running_loop().add_writer(self._fd, self._write)
        except RuntimeError:
            # No event loop is running; the next message tries to write again.
            return
        self._has_writer = True

    def _remove_writer(self) -> None:
        if self._has_writer:
            self._has_writer = False
            asyncio.get_running_loop().remove_writer(self._fd)
