"""Finds the head of another response in a body that was cut and is continued by that response."""

import functools
import itertools
import re

from ._response import HEAD_START

MAX_STATUS_LINE_BYTES = 80
# A longer line without an end does not count as a header.
MAX_HEADER_LINE_BYTES = 4096
# Of blank lines before a body in its read: those of interim and surplus responses and its head.
MAX_POSSIBLE_ENDS = 8
BLANK_LINE = re.compile(rb"\r\n\r\n")
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d[^\r\n]{0,64}\r\n")
HEADER_NAME = rb"[!-9;-~]{1,64}"
PARTIAL_HEADER_LINE = re.compile(rb"(?:" + HEADER_NAME + rb"(?::[^\r\n]*+\r?)?)?\Z")


class InnerHeadSearch:
    """Searches one body for a response head with one of some headers.

    Each byte is searched once, but for the last line of a part, which may go on in the next one.

    Args:
        header_names: The lower-case names of headers that only responses of targets have; the
            search finds nothing if there are none.
    """

    def __init__(self, *, header_names: tuple[bytes, ...]) -> None:
        self._patterns = _compile_patterns(header_names) if header_names else None
        # The last line of what was searched, if it may belong to a head.
        self._line = b""
        # Whether the lines before it are a status line and headers.
        self._is_in_head = False
        self._has_begun = False
        self._read_begins_with_body = False
        self._read_bytes = 0
        self._last_part = b""

    def begin_body(self) -> None:
        """Handle the begin of the body."""
        self._has_begun = True

    def begin_read(self) -> None:
        """Handle the begin of a read from the connection."""
        self._read_begins_with_body = self._has_begun
        self._read_bytes = 0

    def is_found_in(self, part: bytes) -> bool:
        """Return whether another head is found once the next part of the body is searched."""
        self._read_bytes += len(part)
        self._last_part = part
        searched = self._line + part
        if not self._is_in_head and HEAD_START not in searched:
            self._line = searched[-MAX_STATUS_LINE_BYTES:]
            return False
        return self._search(searched)

    def is_found_across_end(self, read: bytes) -> bool:
        """Return whether another head began in a body with a length and goes on behind its end.

        Args:
            read: The data of the read in which the body ended, with what came behind it.
        """
        if self._patterns is None or not self._read_bytes:
            return False
        return any(self._goes_on_in(read[end:]) for end in self._possible_ends(read))

    def _search(self, searched: bytes) -> bool:
        """Search the last line and a new part, and keep what may go on in the next part."""
        if self._patterns is None:
            return False
        other_headers, own_header = self._patterns
        position = 0
        while True:
            if not self._is_in_head:
                status_line = STATUS_LINE.search(searched, position)
                if status_line is None:
                    self._line = searched[max(position, len(searched) - MAX_STATUS_LINE_BYTES) :]
                    return False
                position = status_line.end()
            position = _end_of_match(other_headers, searched, position)
            if own_header.match(searched, position):
                return True
            size_bytes = len(searched) - position
            is_partial = PARTIAL_HEADER_LINE.match(searched, position) is not None
            self._is_in_head = is_partial and size_bytes <= MAX_HEADER_LINE_BYTES
            if self._is_in_head:
                self._line = searched[position:]
                return False

    def _goes_on_in(self, rest: bytes) -> bool:
        """Return whether a head that began in the body goes on in what came behind its end."""
        if self._patterns is None or STATUS_LINE.match(rest.lstrip(b"\r\n")):
            return False
        other_headers, own_header = self._patterns
        searched, position = self._line + rest, 0
        if not self._is_in_head:
            status_line = STATUS_LINE.search(searched)
            if status_line is None or status_line.start() >= len(self._line):
                return False
            position = status_line.end()
        position = _end_of_match(other_headers, searched, position)
        return own_header.match(searched, position) is not None

    def _possible_ends(self, read: bytes) -> list[int]:
        """Return the offsets within a read at which the body may have ended."""
        if self._read_begins_with_body:
            return [self._read_bytes]
        part = self._last_part
        begins = (line.end() for line in BLANK_LINE.finditer(read))
        ends = (begin + len(part) for begin in begins if read.startswith(part, begin))
        return list(itertools.islice(ends, MAX_POSSIBLE_ENDS))


def _end_of_match(pattern: re.Pattern[bytes], data: bytes, position: int) -> int:
    found = pattern.match(data, position)
    return position if found is None else found.end()


@functools.cache
def _compile_patterns(
    header_names: tuple[bytes, ...],
) -> tuple[re.Pattern[bytes], re.Pattern[bytes]]:
    """Return patterns of lines with other headers, and of the start of one with such a name."""
    own = rb"(?i:" + rb"|".join(re.escape(name) for name in header_names) + rb"):"
    other = rb"(?!" + own + rb")" + HEADER_NAME + rb":[^\r\n]*+\r\n"
    return re.compile(rb"(?:" + other + rb")*+"), re.compile(own)
