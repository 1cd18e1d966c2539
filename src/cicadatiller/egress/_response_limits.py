"""Limits on what a server may send in one exchange."""

from ..ingress import LINE_OVERHEAD_BYTES, FramingCounter
from ._errors import MalformedResponseError

# Of a response with the interim ones before it.
MAX_HEAD_BYTES = 16 * 1024
# Many short headers take far more memory than their bytes.
MAX_HEADERS = 256
# Bodies of some kilobytes may have chunks of one byte; each chunk costs processor time.
FRAMING_PER_BODY_BYTE = 2
MAX_DISCARDED_BYTES = 64 * 1024
HEAD_TIMEOUT_S = 3.0


class ResponseLimits:
    """Checks the responses of one exchange while they are parsed.

    All methods raise `MalformedResponseError` when a limit is exceeded.
    """

    def __init__(self) -> None:
        self._framing = FramingCounter(per_body_byte=FRAMING_PER_BODY_BYTE)
        self._headers = 0
        self._discarded_bytes = 0
        self._head_began_s: float | None = None

    def begin_head(self, now_s: float) -> None:
        """Begin the head of a response, which may be an interim one."""
        self._headers = 0
        self._head_began_s = now_s

    def add_header(self, name: bytes, value: bytes) -> None:
        """Count a header."""
        self._headers += 1
        self._framing.add_header(len(name) + len(value) + LINE_OVERHEAD_BYTES)
        if self._framing.exceeds(MAX_HEAD_BYTES):
            raise MalformedResponseError(f"response headers exceed {MAX_HEAD_BYTES} bytes")
        if self._headers > MAX_HEADERS:
            raise MalformedResponseError(f"response has more than {MAX_HEADERS} headers")

    def end_head(self) -> None:
        """End the head of a response."""
        self._head_began_s = None

    def add_body(self, size_bytes: int) -> None:
        """Count a part of a body."""
        self._framing.add_body(size_bytes)

    def add_discarded(self, size_bytes: int) -> None:
        """Count a part of the body of a response to an earlier request."""
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            raise MalformedResponseError(
                f"responses to earlier requests exceed {MAX_DISCARDED_BYTES} bytes"
            )

    def add_data(self, size_bytes: int, now_s: float) -> None:
        """Count data after it was parsed, if it did not complete the response.

        Checks what the parser does not report: a header or a chunk's size line without an end,
        chunk extensions, trailers, and a head of which single bytes arrive.
        """
        self._framing.add_data(size_bytes)
        if self._framing.exceeds(MAX_HEAD_BYTES):
            raise MalformedResponseError(
                f"received more than {MAX_HEAD_BYTES} bytes outside of the response's body"
            )
        if self._head_began_s is not None and now_s - self._head_began_s > HEAD_TIMEOUT_S:
            raise MalformedResponseError(
                f"response head is incomplete after {HEAD_TIMEOUT_S:.0f} s"
            )
