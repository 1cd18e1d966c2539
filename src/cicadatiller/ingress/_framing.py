"""Counts the bytes of an HTTP message that are not part of its body."""

# What httptools does not report of each header: the colon, a space and the line end.
LINE_OVERHEAD_BYTES = 4
# Covers what the headers' own count leaves out: the start line's end, the last chunk, blank lines.
FRAMING_SLACK_BYTES = 64


class FramingCounter:
    """Counts a message's head, chunk framing and trailers.

    httptools reports a header only once it is complete, and chunk extensions never, so a count of
    what it reports would miss a part without an end. This one also compares the data that was
    parsed with the body that came out of it.

    Args:
        per_body_byte: The bytes of framing that each byte of the body may take. A chunk of one
            byte takes five at least.
    """

    def __init__(self, *, per_body_byte: int) -> None:
        self._per_body_byte = per_body_byte
        self._header_bytes = 0
        self._framing_bytes = 0
        self._body_bytes = 0
        self._new_body_bytes = 0

    def add_header(self, size_bytes: int) -> None:
        """Count a part of the head that the parser reported."""
        self._header_bytes += size_bytes

    def add_body(self, size_bytes: int) -> None:
        """Count a part of the body that the parser reported."""
        self._new_body_bytes += size_bytes

    def add_data(self, size_bytes: int) -> None:
        """Count data after it was parsed and all of its body was counted."""
        self._framing_bytes += max(0, size_bytes - self._new_body_bytes)
        self._body_bytes += self._new_body_bytes
        self._new_body_bytes = 0

    def exceeds(self, max_bytes: int) -> bool:
        """Return whether the head, or all that is not body, is longer than the message may need.

        Args:
            max_bytes: The limit on the head. The body's framing may take some bytes more for each
                byte of the body.
        """
        allowance_bytes = FRAMING_SLACK_BYTES + self._per_body_byte * self._body_bytes
        return self._header_bytes > max_bytes or self._framing_bytes > max_bytes + allowance_bytes
