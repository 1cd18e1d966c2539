"""The interface to the request and response headers of a deployment."""

import math
from dataclasses import dataclass
from typing import Protocol

from ..egress import ResponseHead, ResponseMatcher
from ..ingress import Header, Request


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestFields:
    """The decoded headers of a caller's request.

    Attributes:
        request_id: The caller's id of this request; a retry has another one. Empty if missing.
        host: The host in lower case, without a port.
        remaining_s: The time until the caller's deadline; None if not stated.
        key: The workspace's key; None if missing.
        model: The name of the model; empty if not stated.
        prompt_tokens: The length of the prompt; 0 if the request has no prompt.
        max_output_tokens: The maximum length of the output.
        output_estimate_tokens: The caller's estimate of the output length; 0 if not stated.
        last_event_id: The id of the last event that the caller received; empty if none.
        prompt_parts: The ids of the parts of the prompt in order; requests share all but the last,
            which belongs to the request or its session. Empty if not stated.
    """

    request_id: str
    host: str
    remaining_s: float | None = None
    key: bytes | None = None
    model: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    output_estimate_tokens: int = 0
    last_event_id: bytes = b""
    prompt_parts: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetFields:
    """The fields that an entry adds to a request for a target.

    Attributes:
        instance_id: The run of the target's program that may run the request; others refuse it.
        remaining_s: The time until the request's deadline.
        workspace: The workspace's name; empty if there is none.
        last_event_id: The id of the event after which to resume a stream; empty for the start.
        helpers: Engines that prefill a part of the prompt, as "host:port" or "host:port/ticket".
    """

    instance_id: str
    remaining_s: float
    workspace: str = ""
    last_event_id: bytes = b""
    helpers: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetNotice:
    """What a target states about itself in a response head.

    Attributes:
        is_leaving: Whether it leaves and wants no new work.
        quiet_s: The time for which it wants no request from this entry; 0 if it states none.
        rate_per_s: The requests a second that it takes from all entries together; infinite if it
            states no limit, None if it states one that can't be read.
        cold_s: The time for which it stays cold; 0 if it states none.
    """

    is_leaving: bool = False
    quiet_s: float = 0.0
    rate_per_s: float | None = math.inf
    cold_s: float = 0.0

    @property
    def is_empty(self) -> bool:
        """Return whether the response states nothing."""
        has_limit = self.quiet_s > 0 or self.rate_per_s != math.inf or self.cold_s > 0
        return not self.is_leaving and not has_limit


class WireCodec(Protocol):
    """Decodes and encodes the headers that a deployment's callers and targets use."""

    def decode_request(self, request: Request) -> RequestFields:
        """Decode a caller's headers; unreadable fields get their defaults."""

    def encode_request(self, request: Request, fields: TargetFields) -> bytes:
        """Return the head of a request to a target."""

    def match_request(self, request_id: str) -> ResponseMatcher:
        """Return the matcher of a target's response to a request."""

    def says_not_run(self, head: ResponseHead) -> bool:
        """Return whether the target states that it did not run the request."""

    def decode_notice(self, head: ResponseHead) -> TargetNotice:
        """Decode what the target states about itself; unreadable fields get their defaults."""

    def blamed_address(self, head: ResponseHead) -> str:
        """Return the address of the target at fault for a refusal; empty if not stated."""

    def caller_headers(self, head: ResponseHead) -> tuple[Header, ...]:
        """Return the headers of a target's response that are forwarded to the caller."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> tuple[Header, ...]:
        """Return the headers of an error response made by the entry."""
