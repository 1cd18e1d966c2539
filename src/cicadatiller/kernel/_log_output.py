"""Writes log lines without ever blocking the loop."""

import asyncio
import os
from collections import deque
from dataclasses import dataclass
from typing import Any

import orjson

MAX_WAITING_BYTES = 256 * 1024
MAX_LINES_PER_EVENT = 40
WINDOW_S = 1.0


@dataclass(kw_only=True, slots=True)
class _Budget:
    """How many lines of one sort were written within the present window."""

    window: int = 0
    lines: int = 0
    left_out: int = 0


class LogOutput:
    """Takes eliot's messages and writes them as JSON lines to a file descriptor.

    Lines of one event, and of one kind of error, beyond `MAX_LINES_PER_EVENT` within a second are
    left out; the next one that is written says how many in `left_out`. So a flood of refusals for
    one reason does not hide those for another. If the reader does not read, lines are dropped beyond
    `MAX_WAITING_BYTES`; the first line after that says how many in `dropped`.

    Args:
        fd: Where to write; it is set to non-blocking.

    Attributes:
        written_bytes: How much was written or waits to be.
        left_out: How many lines were left out.
        dropped: How many lines were dropped.
    """

    def __init__(self, *, fd: int) -> None:
        os.set_blocking(fd, False)
        self.written_bytes = 0
        self.left_out = 0
        self.dropped = 0
        self._fd = fd
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._unsaid_drops = 0
        self._budgets: dict[tuple[int, str], _Budget] = {}
        self._is_watched = False

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message; eliot calls this."""
        if not self._admit(message):
            return
        if self._unsaid_drops:
            message = {**message, "dropped": self._unsaid_drops}
        line = orjson.dumps(message, default=repr, option=orjson.OPT_APPEND_NEWLINE)
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            self._unsaid_drops += 1
            return
        self._unsaid_drops = 0
        self.written_bytes += len(line)
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        self._write()

    def _admit(self, message: dict[str, Any]) -> bool:
        sort = (message.get("number", 0), str(message.get("kind", "")))
        budget = self._budgets.get(sort)
        if budget is None:
            budget = self._budgets[sort] = _Budget()
        window = int(message.get("timestamp", 0.0) / WINDOW_S)
        if window != budget.window:
            budget.window = window
            budget.lines = 0
        if budget.lines >= MAX_LINES_PER_EVENT:
            budget.left_out += 1
            self.left_out += 1
            return False
        budget.lines += 1
        if budget.left_out:
            message["left_out"] = budget.left_out
            budget.left_out = 0
        return True

    def _write(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                size = os.write(self._fd, line)
            except BlockingIOError:
                self._watch()
                return
            except OSError:
                # Nobody can be told that the log is gone.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= size
            if size < len(line):
                self._waiting[0] = line[size:]
            else:
                self._waiting.popleft()
        self._unwatch()

    def _watch(self) -> None:
        if self._is_watched:
            return
        try:
            asyncio.get_running_loop().add_writer(self._fd, self._write)
        except RuntimeError:
            # No loop runs yet or any more; the next line tries again.
            return
        self._is_watched = True

    def _unwatch(self) -> None:
        if self._is_watched:
            self._is_watched = False
            asyncio.get_running_loop().remove_writer(self._fd)
