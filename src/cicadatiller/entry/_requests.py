"""The entry's types of requests and of the events of their answers."""

from collections.abc import Callable
from dataclasses import dataclass

from ..kernel import count_prompt_tokens
from ..peer import CallWork, GenerateWork


@dataclass(frozen=True, kw_only=True)
class WorkRequest:
    """A request of a caller, for a generation of a model or for a call to a plain service.

    Attributes:
        workspace: The caller's workspace.
        time_limit_s: Time limit of the caller for the whole request.
        model: The model; empty for a call.
        adapter: An adapter of the model; empty for none.
        version: Version of the model; if empty, the configured one or, during a rollout, one that
            targets serve.
        prompt: The prompt.
        max_output_tokens: Maximum length of the output.
        service: The plain service; empty for a generation.
        method: Method of the service.
        payload: Payload of the call.
        request_id: An id from OpenRequest; if empty, a sidecar issues one.
        idempotency_key: A key that the caller made; begins with the Unix time in ms at which it
            was made and a hyphen; empty for none.
        repeatable: Whether the request may run more than once.
    """

    workspace: str
    time_limit_s: float
    model: str = ""
    adapter: str = ""
    version: str = ""
    prompt: str = ""
    max_output_tokens: int = 0
    service: str = ""
    method: str = ""
    payload: bytes = b""
    request_id: str = ""
    idempotency_key: str = ""
    repeatable: bool = True

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the prompt, counted by `count_prompt_tokens`."""
        return count_prompt_tokens(self.prompt)


@dataclass(frozen=True, kw_only=True)
class RequestOpened:
    """The request has an id, under which its answer can be read again."""

    request_id: str


@dataclass(frozen=True, kw_only=True)
class AnswerTokens:
    """Output from `first_index` on; events are in order and without duplicates.

    Attributes:
        first_index: Index of the first text in the answer.
        texts: The text of each token.
    """

    first_index: int
    texts: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class AnswerDone:
    """The answer is complete; its checksum matched if the answer was read from its start.

    Attributes:
        token_count: Number of tokens of the complete answer.
        checksum: XXH3-64 of the complete answer, or of the payload of a call.
        payload: The response of a plain service.
    """

    token_count: int
    checksum: int
    payload: bytes = b""


AnswerEvent = RequestOpened | AnswerTokens | AnswerDone
Emit = Callable[[AnswerEvent], None]


def make_generation(request: WorkRequest, version: str) -> GenerateWork | None:
    """Return the generation for a request; None if it is a call."""
    if request.service:
        return None
    return GenerateWork(
        model=request.model,
        version=version,
        adapter=request.adapter,
        prompt=request.prompt,
        prompt_tokens=request.prompt_tokens,
        max_output_tokens=request.max_output_tokens,
    )


def make_call(request: WorkRequest) -> CallWork | None:
    """Return the call to a plain service for a request; None if it is a generation."""
    if not request.service:
        return None
    return CallWork(service=request.service, method=request.method, payload=request.payload)
