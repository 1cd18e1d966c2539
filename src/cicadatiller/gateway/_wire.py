"""What an entry needs of the headers that callers and targets use."""

from dataclasses import dataclass
from typing import Protocol

from ..egress import ResponseHead
from ..ingress import Header, Request


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestFields:
    """What a caller says of its request.

    Attributes:
        request_id: The caller's id of this request; a retry has another one. Empty if missing.
        host: The host in lower case, without a port.
        remaining_s: How long the caller still waits; None if it did not say.
        key: The workspace's key; None if there is none.
        prompt_tokens: The length of the prompt; 0 if it is not a prompt.
        max_output_tokens: The longest output.
        output_estimate_tokens: The caller's estimate of the output; 0 if it did not say.
        last_event_id: The last event that the caller has of a stream; empty if none.
    """

    request_id: str
    host: str
    remaining_s: float | None = None
    key: bytes | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    output_estimate_tokens: int = 0
    last_event_id: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetFields:
    """What the system tells a target with a request.

    Attributes:
        instance_id: The run of the target's program that may take the request; others refuse it.
        remaining_s: How long the target may work.
        workspace: The workspace's name; empty if there is none.
        last_event_id: The event after which a stream goes on; empty from the start.
        urgency: The rank in the target's queue, 0 to 9, where 0 is first; None for the usual one.
        helpers: Other engines that read a part of the prompt, "host:port" or "host:port/ticket".
    """

    instance_id: str
    remaining_s: float
    workspace: str = ""
    last_event_id: bytes = b""
    urgency: int | None = None
    helpers: tuple[str, ...] = ()


class WireCodec(Protocol):
    """Decodes and encodes the headers of a deployment."""

    def decode_request(self, request: Request) -> RequestFields:
        """Read what a caller's headers say; fields that can't be read are left out."""

    def encode_request(self, request: Request, fields: TargetFields) -> bytes:
        """Return a request as a target gets it."""

    def answers_request(self, head: ResponseHead, request_id: str) -> bool:
        """Tell whether an answer belongs to a request; one without an id might."""

    def says_not_run(self, head: ResponseHead) -> bool:
        """Tell whether the target states that it did not run the request."""

    def has_signature(self, head: ResponseHead) -> bool:
        """Tell whether an answer is signed by a target."""

    def blamed_address(self, head: ResponseHead) -> str:
        """Return the address of the target that is at fault for a refusal; empty if unsaid."""

    def caller_headers(self, head: ResponseHead) -> tuple[Header, ...]:
        """Return the headers of a target's answer that are passed on."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> tuple[Header, ...]:
        """Return the headers of an answer of the system's own."""
