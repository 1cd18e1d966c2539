"""The head of a response."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from ..ingress import Header, find_header
from ._errors import MalformedResponseError

STATUSES_WITHOUT_BODY = (204, 304)
STATUSES = range(100, 600)
HEAD_START = b"HTTP/1."
STATUS_LINE_END = re.compile(rb"HTTP/1\.[01] [1-5]\d\d[^\r\n]{0,64}\Z")


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """The status and headers of a response.

    Attributes:
        status: The status code.
        headers: The header names as sent and their values, in order.
        has_length: Whether the headers, the status or the method define the end of the body;
            otherwise it ends when the server closes the connection.
    """

    status: int
    headers: tuple[Header, ...]
    has_length: bool

    def find(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a lower-case name, or None."""
        return find_header(self.headers, name)

    def find_all(self, name: bytes) -> tuple[bytes, ...]:
        """Return the values of all headers with a lower-case name, without blanks around them."""
        return tuple(value.strip() for found, value in self.headers if found.lower() == name)

    @property
    def has_status_line_in_header(self) -> bool:
        """Return whether a header ends with a status line, so that its end was cut off."""
        return any(
            HEAD_START in value and STATUS_LINE_END.search(value) for _, value in self.headers
        )

    @property
    def declared_bytes(self) -> int:
        """Return the length of the body by its Content-Length header; 0 if not stated."""
        value = self.find(b"content-length") or b""
        if self.status in STATUSES_WITHOUT_BODY or not value.isdigit():
            return 0
        return int(value)

    @property
    def states_absent_body(self) -> bool:
        """Return whether it states a body that its status excludes, and a server may still send."""
        if self.status not in STATUSES_WITHOUT_BODY:
            return False
        has_length = (self.find(b"content-length") or b"0").strip() != b"0"
        return has_length or self.find(b"transfer-encoding") is not None

    @property
    def media_type(self) -> bytes:
        """Return the Content-Type in lower case, without parameters; empty if not stated."""
        value = self.find(b"content-type") or b""
        return value.partition(b";")[0].strip().lower()

    @property
    def keep_alive_s(self) -> float | None:
        """Return the idle timeout of the Keep-Alive header; None if not stated."""
        timeout_s = None
        for part in (self.find(b"keep-alive") or b"").split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                timeout_s = float(seconds)
        return timeout_s


def check_status(status: int) -> int:
    """Return a status.

    Raises:
        MalformedResponseError: If it is none; the parser takes any number of three digits.
    """
    if status not in STATUSES:
        raise MalformedResponseError(f"{status:03} is no status of a response")
    return status


def build_head(
    status: int, headers: Iterable[Header], *, is_head_request: bool = False
) -> ResponseHead:
    """Return the head of a response from its parsed parts; the one to HEAD has no body."""
    headers = tuple(headers)
    names = {name.lower() for name, _ in headers}
    has_length = (
        is_head_request
        or status in STATUSES_WITHOUT_BODY
        or b"content-length" in names
        or b"transfer-encoding" in names
    )
    return ResponseHead(status=status, headers=headers, has_length=has_length)
