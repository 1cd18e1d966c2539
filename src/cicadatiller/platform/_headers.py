"""The headers by which the platform's callers and targets say what they need.

Each name is decoded here, once, into fields of the project.
"""

from collections.abc import Iterable

from ..egress import ResponseHead, render_request
from ..gateway import RequestFields, TargetFields
from ..ingress import Header, Request

REQUEST_ID = b"attempt-id"
# How long the caller still waits, or how long the target may still work.
REMAINING_MS = b"deadline-remaining-ms"
AUTHORIZATION = b"authorization"
KEY_SCHEME = b"bearer "
# The workspace's name.
WORKSPACE = b"tenant"
EXPECTED_INSTANCE = b"expect-instance"
LAST_EVENT_ID = b"last-event-id"
# "prompt tokens, largest number of output tokens".
TOKEN_COUNTS = b"token-counts"
OUTPUT_ESTIMATE = b"length-hint"
# 0 is first, 9 is last.
URGENCY = b"request-urgency"
# Other targets that read a part of the prompt.
HELPERS = b"helpers"
EXPECTED_WEIGHTS = b"expect-version"
NOT_RUN = b"not-executed"
SIGNATURE = b"server-seal"
# "IP:PORT" of the target that is at fault, which may be a helper.
BLAMED_ADDRESS = b"at-server"
RETRY_AFTER = b"Retry-After"

_ONE_CONNECTION = frozenset(
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
_SET_BY_SYSTEM = frozenset(
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
# What a request is about; no caller can have these dropped.
_ALWAYS_FORWARDED = frozenset({REQUEST_ID, TOKEN_COUNTS, b"host", b"model", b"prompt-prefix"})


class PlatformHeaders:
    """Decodes and encodes the headers; see `WireCodec`."""

    def decode_request(self, request: Request) -> RequestFields:
        """Read what a caller's headers say; fields that can't be read are left out."""
        values = {name.lower(): value.strip() for name, value in request.headers}
        prompt_tokens, max_output_tokens = _token_counts(values.get(TOKEN_COUNTS, b""))
        remaining_ms = _number(values.get(REMAINING_MS, b""))
        return RequestFields(
            request_id=values.get(REQUEST_ID, b"").decode("latin-1"),
            host=_host_name(values.get(b"host", b"")),
            remaining_s=None if remaining_ms is None else remaining_ms / 1000,
            key=_key(values.get(AUTHORIZATION, b"")),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            output_estimate_tokens=int(_number(values.get(OUTPUT_ESTIMATE, b"")) or 0),
            last_event_id=values.get(LAST_EVENT_ID, b""),
        )

    def encode_request(self, request: Request, fields: TargetFields) -> bytes:
        """Return a request as a target gets it."""
        headers = list(_forwarded(request))
        headers.append((b"Deadline-Remaining-Ms", b"%d" % max(1, int(fields.remaining_s * 1000))))
        headers.append((b"Expect-Instance", fields.instance_id.encode()))
        if fields.workspace:
            headers.append((b"Tenant", fields.workspace.encode()))
        if fields.last_event_id:
            headers.append((b"Last-Event-Id", fields.last_event_id))
        if fields.urgency is not None:
            headers.append((b"Request-Urgency", b"%d" % fields.urgency))
        if fields.helpers:
            headers.append((b"Helpers", ",".join(fields.helpers).encode()))
        return render_request(request.method, request.target, headers, request.body)

    def answers_request(self, head: ResponseHead, request_id: str) -> bool:
        """Tell whether an answer belongs to a request; one without an id might."""
        value = head.find(REQUEST_ID)
        return value is None or value.decode("latin-1") == request_id

    def says_not_run(self, head: ResponseHead) -> bool:
        """Tell whether the target states that it did not run the request."""
        return head.status == 421 or head.find(NOT_RUN) is not None

    def has_signature(self, head: ResponseHead) -> bool:
        """Tell whether an answer is signed by a target."""
        return head.find(SIGNATURE) is not None

    def blamed_address(self, head: ResponseHead) -> str:
        """Return the address of the target that is at fault for a refusal; empty if unsaid."""
        return (head.find(BLAMED_ADDRESS) or b"").decode("latin-1")

    def caller_headers(self, head: ResponseHead) -> tuple[Header, ...]:
        """Return the headers of a target's answer that are passed on."""
        return tuple(header for header in head.headers if header[0].lower() not in _ONE_CONNECTION)

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> tuple[Header, ...]:
        """Return the headers of an answer of the system's own."""
        headers: list[Header] = []
        if request_id:
            headers.append((b"Attempt-Id", request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
        return tuple(headers)


def _forwarded(request: Request) -> Iterable[Header]:
    """Return the caller's headers that a target gets as they are."""
    dropped = _ONE_CONNECTION | _SET_BY_SYSTEM | (_named(request) - _ALWAYS_FORWARDED)
    return (header for header in request.headers if header[0].lower() not in dropped)


def _named(request: Request) -> frozenset[bytes]:
    """Return the headers that the caller declares to concern its connection only."""
    listed = (value for name, value in request.headers if name.lower() == b"connection")
    return frozenset(part.strip().lower() for value in listed for part in value.split(b","))


def _host_name(value: bytes) -> str:
    name = value.decode("latin-1").strip().lower()
    return name.rpartition(":")[0] if ":" in name else name


def _key(value: bytes) -> bytes | None:
    if value[: len(KEY_SCHEME)].lower() != KEY_SCHEME:
        return None
    return value[len(KEY_SCHEME) :].strip()


def _token_counts(value: bytes) -> tuple[int, int]:
    prompt, _, output = value.partition(b",")
    return int(_number(prompt) or 0), int(_number(output) or 0)


def _number(value: bytes) -> float | None:
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e15 else None
