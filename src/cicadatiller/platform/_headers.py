"""Decodes and encodes the HTTP headers of the platform's callers and targets.

This module maps the platform's header names to fields of the project.
"""

import math
import re
from collections.abc import Iterable

from ..egress import ResponseHead, ResponseMatcher, render_request_head
from ..gateway import RequestFields, TargetFields, TargetNotice
from ..ingress import Header, Request

REQUEST_ID = b"attempt-id"
# In a caller's request: how long the caller still waits. In a request to a target: how long the
# target may work on it.
REMAINING_MS = b"deadline-remaining-ms"
AUTHORIZATION = b"authorization"
KEY_SCHEME = b"bearer "
# The workspace's name.
WORKSPACE = b"tenant"
EXPECTED_INSTANCE = b"expect-instance"
LAST_EVENT_ID = b"last-event-id"
MODEL = b"model"
# "PROMPT,OUTPUT": the prompt's length and the limit on the output, in tokens.
TOKEN_COUNTS = b"token-counts"
OUTPUT_ESTIMATE = b"length-hint"
# "ID:TOKENS,...": the parts of the prompt.
PROMPT_PARTS = b"prompt-prefix"
# 0 (served first) to 9 (served last).
URGENCY = b"request-urgency"
# The targets that prefill a part of the prompt.
HELPERS = b"helpers"
EXPECTED_WEIGHTS = b"expect-version"
NOT_RUN = b"not-executed"
SIGNATURE = b"server-seal"
# "IP:PORT" of the target at fault for a refusal, which may be a helper.
BLAMED_ADDRESS = b"at-server"
# "1" if the target leaves.
LEAVING = b"server-leaving"
LEAVING_VALUE = b"1"
# The requests a second that the target takes from all entries together, while it says so.
LIMIT = b"server-limit"
COLD_MS = b"cold-ms"
RETRY_AFTER = b"Retry-After"
# In a target's response, only seconds count: a date depends on the clocks of two instances.
DECIMAL_PATTERN = re.compile(rb"\d+(\.\d+)?")
UNAVAILABLE = 503
# Headers that hold for a time only; a target's notice that it leaves is final.
TRANSIENT_HEADERS = frozenset({RETRY_AFTER.lower(), LIMIT})

_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_HEADERS_SET_BY_SYSTEM = frozenset(
    {
        AUTHORIZATION,
        EXPECTED_INSTANCE,
        EXPECTED_WEIGHTS,
        HELPERS,
        LAST_EVENT_ID,
        REMAINING_MS,
        URGENCY,
        WORKSPACE,
    }
)
# These describe the request itself, so they are forwarded even if the caller lists them in its
# Connection header.
_ALWAYS_FORWARDED = frozenset({REQUEST_ID, TOKEN_COUNTS, b"host", MODEL, PROMPT_PARTS})


class PlatformHeaders:
    """Implements `WireCodec` for the platform's headers."""

    def decode_request(self, request: Request) -> RequestFields:
        """Decode a caller's headers; unreadable fields get their defaults."""
        values = {name.lower(): value.strip() for name, value in request.headers}
        prompt_tokens, max_output_tokens = _parse_token_counts(values.get(TOKEN_COUNTS, b""))
        remaining_ms = _parse_number(values.get(REMAINING_MS, b""))
        return RequestFields(
            request_id=values.get(REQUEST_ID, b"").decode("latin-1"),
            host=_parse_host_name(values.get(b"host", b"")),
            remaining_s=None if remaining_ms is None else remaining_ms / 1000,
            key=_parse_bearer_key(values.get(AUTHORIZATION, b"")),
            model=values.get(MODEL, b"").decode("latin-1"),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            output_estimate_tokens=int(_parse_number(values.get(OUTPUT_ESTIMATE, b"")) or 0),
            last_event_id=values.get(LAST_EVENT_ID, b""),
            prompt_parts=_parse_prompt_parts(values.get(PROMPT_PARTS, b"")),
        )

    def encode_request(self, request: Request, fields: TargetFields) -> bytes:
        """Return the head of a request to a target."""
        headers = list(_forwarded_headers(request))
        headers.append((b"Deadline-Remaining-Ms", b"%d" % max(1, int(fields.remaining_s * 1000))))
        headers.append((b"Expect-Instance", fields.instance_id.encode()))
        if fields.workspace:
            headers.append((b"Tenant", fields.workspace.encode()))
        if fields.last_event_id:
            headers.append((b"Last-Event-Id", fields.last_event_id))
        if fields.helpers:
            headers.append((b"Helpers", ",".join(fields.helpers).encode()))
        return render_request_head(request.method, request.target, headers, len(request.body))

    def match_request(self, request_id: str) -> ResponseMatcher:
        """Return the matcher of a target's response to a request: it repeats the request's id."""
        return ResponseMatcher(
            exchange="request",
            id_header=REQUEST_ID,
            exchange_id=request_id.encode("latin-1") or None,
            signature_header=SIGNATURE,
            transient_headers=TRANSIENT_HEADERS,
        )

    def says_not_run(self, head: ResponseHead) -> bool:
        """Return whether the target states that it did not run the request."""
        return head.status == 421 or head.find(NOT_RUN) is not None

    def decode_notice(self, head: ResponseHead) -> TargetNotice:
        """Decode what the target states about itself; unreadable fields get their defaults."""
        return TargetNotice(
            is_leaving=(head.find(LEAVING) or b"").strip() == LEAVING_VALUE,
            quiet_s=_parse_quiet_s(head),
            rate_per_s=_parse_rate(head),
            cold_s=(_parse_number(head.find(COLD_MS) or b"") or 0.0) / 1000,
        )

    def blamed_address(self, head: ResponseHead) -> str:
        """Return the address of the target at fault for a refusal; empty if not stated."""
        return (head.find(BLAMED_ADDRESS) or b"").decode("latin-1")

    def caller_headers(self, head: ResponseHead) -> tuple[Header, ...]:
        """Return the headers of a target's response that are forwarded to the caller."""
        return tuple(
            header for header in head.headers if header[0].lower() not in _HOP_BY_HOP_HEADERS
        )

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> tuple[Header, ...]:
        """Return the headers of an error response made by the entry."""
        headers: list[Header] = []
        if request_id:
            headers.append((b"Attempt-Id", request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
        return tuple(headers)


def _forwarded_headers(request: Request) -> Iterable[Header]:
    """Return the caller's headers that are forwarded to a target unchanged."""
    dropped = (
        _HOP_BY_HOP_HEADERS
        | _HEADERS_SET_BY_SYSTEM
        | (_connection_options(request) - _ALWAYS_FORWARDED)
    )
    return (header for header in request.headers if header[0].lower() not in dropped)


def _connection_options(request: Request) -> frozenset[bytes]:
    """Return the names in the caller's Connection header, which apply to that connection only."""
    listed = (value for name, value in request.headers if name.lower() == b"connection")
    return frozenset(part.strip().lower() for value in listed for part in value.split(b","))


def _parse_quiet_s(head: ResponseHead) -> float:
    """Return the seconds of Retry-After in a 503; 0 if it is missing or no plain number."""
    value = (head.find(RETRY_AFTER.lower()) or b"").strip()
    if head.status != UNAVAILABLE or DECIMAL_PATTERN.fullmatch(value) is None:
        return 0.0
    return float(value)


def _parse_rate(head: ResponseHead) -> float | None:
    """Return the stated rate; infinite if there is none, None if it is no plain number."""
    value = head.find(LIMIT)
    if value is None:
        return math.inf
    value = value.strip()
    return float(value) if DECIMAL_PATTERN.fullmatch(value) else None


def _parse_host_name(value: bytes) -> str:
    name = value.decode("latin-1").strip().lower()
    return name.rpartition(":")[0] if ":" in name else name


def _parse_bearer_key(value: bytes) -> bytes | None:
    if value[: len(KEY_SCHEME)].lower() != KEY_SCHEME:
        return None
    return value[len(KEY_SCHEME) :].strip()


def _parse_token_counts(value: bytes) -> tuple[int, int]:
    prompt, _, output = value.partition(b",")
    return int(_parse_number(prompt) or 0), int(_parse_number(output) or 0)


def _parse_prompt_parts(value: bytes) -> tuple[str, ...]:
    """Return the ids of the parts; none if one is malformed, as then the last one is unknown."""
    if not value:
        return ()
    parts = [part.partition(b":")[0].strip().lower() for part in value.split(b",")]
    if not all(part.isalnum() for part in parts):
        return ()
    return tuple(part.decode("latin-1") for part in parts)


def _parse_number(value: bytes) -> float | None:
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e15 else None
