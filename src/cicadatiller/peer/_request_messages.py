"""Messages with which an entry opens, submits, reads and cancels requests at a sidecar."""

from dataclasses import dataclass

from ..channels import message
from ._bodies import FailureBody, WorkspaceUse
from ._exchanges import ExchangeMessage, ReplyWithLoad, RequestOrder


@dataclass(frozen=True, kw_only=True)
class GenerateWork:
    """A generation by a model.

    Attributes:
        model: The model's name.
        version: The model's version.
        adapter: The name of an adapter of the model; empty for none.
        prompt: The prompt.
        prompt_tokens: The length of the prompt.
        max_output_tokens: The maximum length of the output.
    """

    model: str
    version: str
    adapter: str
    prompt: str
    prompt_tokens: int
    max_output_tokens: int

    def __post_init__(self) -> None:
        if self.prompt_tokens < 0 or self.max_output_tokens < 0:
            raise ValueError(
                f"prompt_tokens ({self.prompt_tokens}) and max_output_tokens "
                f"({self.max_output_tokens}) must not be negative"
            )


@dataclass(frozen=True, kw_only=True)
class CallWork:
    """A call to a plain service.

    Attributes:
        service: The service's name.
        method: The method's name.
        payload: The input of the method.
    """

    service: str
    method: str
    payload: bytes


@message("open")
@dataclass(frozen=True, kw_only=True)
class Open(ExchangeMessage):
    """Requests a request id; the reply is `Opened`.

    Attributes:
        workspace: The workspace that the id is for.
    """

    workspace: str


@message("opened")
@dataclass(frozen=True, kw_only=True)
class Opened(ReplyWithLoad):
    """Returns a newly issued request id.

    Attributes:
        request_id: The id.
    """

    request_id: str


@message("submit")
@dataclass(frozen=True, kw_only=True)
class Submit(ExchangeMessage):
    """Runs a request; the replies are `Accepted`, `Tokens` and `Finished`, or `Failed`.

    Attributes:
        request_id: The request id; if empty, the sidecar issues one.
        attempt: The number of the attempt, from 1.
        workspace: The caller's workspace.
        deployment: The workspace's deployment.
        budget_s: The remaining time.
        generate: The generation; None for a call.
        invoke: The call to a plain service; None for a generation.
        repeatable: Whether the request may run more than once.
        next_index: The index of the first token to send.
        delivered: The texts of tokens that earlier attempts delivered.
    """

    request_id: str
    attempt: int
    workspace: str
    deployment: str
    budget_s: float
    generate: GenerateWork | None = None
    invoke: CallWork | None = None
    repeatable: bool = True
    next_index: int = 0
    delivered: tuple[str, ...] = ()


@message("attach")
@dataclass(frozen=True, kw_only=True)
class Attach(RequestOrder):
    """Reads the response to a known request from an index on; the replies are those to `Submit`.

    Attributes:
        next_index: The index of the first token to send.
        budget_s: The remaining time of the reader.
    """

    next_index: int
    budget_s: float


@message("cancel")
@dataclass(frozen=True, kw_only=True)
class Cancel(RequestOrder):
    """Cancels a request in any state; the reply is `StateReply`."""


@message("tombstone")
@dataclass(frozen=True, kw_only=True)
class Tombstone(RequestOrder):
    """Prevents a request that has not been sent to the target from being sent later.

    The reply is `StateReply`: the run state `NOT_RUN` confirms this, any other means refusal.
    """


@message("get_state")
@dataclass(frozen=True, kw_only=True)
class GetState(RequestOrder):
    """Requests the state of a request in the sidecar's ledger; the reply is `StateReply`."""


@message("state")
@dataclass(frozen=True, kw_only=True)
class StateReply(ReplyWithLoad):
    """The state of a request in the sidecar's ledger.

    Attributes:
        state: The name of a `RequestState`.
        run_state: The name of a `RunState`.
        token_count: The number of output tokens so far.
    """

    state: str
    run_state: str
    token_count: int = 0


@message("accepted")
@dataclass(frozen=True, kw_only=True)
class Accepted(ReplyWithLoad):
    """Confirms that the request is in the ledger, under the id `request_id`.

    Attributes:
        request_id: The request.
        attempt: The attempt whose output follows.
        use: The receiving entry's share of the workspace's use; None if not reported.
    """

    request_id: str
    attempt: int
    use: WorkspaceUse | None = None


@message("tokens")
@dataclass(frozen=True, kw_only=True)
class Tokens(ExchangeMessage):
    """Output tokens from `first_index` on.

    Attributes:
        attempt: The attempt that produced the tokens.
        first_index: The index of the first token in the output.
        texts: The text of each token; empty if the message is only about a run that ended.
        ended_run: The run of the target that probably ended, though the request is not given up yet;
            empty if none did.
        ended_age_s: How long ago that run ended.
        ended_address: The address of the sidecar whose target it was; empty if it is the sender's.
    """

    attempt: int
    first_index: int
    texts: tuple[str, ...]
    ended_run: str = ""
    ended_age_s: float = 0.0
    ended_address: str = ""


@message("finished")
@dataclass(frozen=True, kw_only=True)
class Finished(ReplyWithLoad):
    """The last frame of a response.

    Attributes:
        attempt: The attempt that completed the response.
        token_count: The number of tokens in the complete output.
        checksum: XXH3-64 of the complete output, or of the payload of a call.
        payload: The response of a plain service.
    """

    attempt: int
    token_count: int
    checksum: int
    payload: bytes = b""


@message("failed")
@dataclass(frozen=True, kw_only=True)
class Failed(ReplyWithLoad):
    """The last frame of an exchange that did not succeed.

    Attributes:
        attempt: The attempt that failed; zero if there was none.
        failure: The failure.
        request_id: The request; empty if it has no id.
        ended_run: The run of the target that ended while it ran the request; empty if it did not
            end, or that is not known.
        ended_age_s: How long ago that run ended.
        ended_address: The address of the sidecar whose target it was; empty if it is the sender's.
    """

    attempt: int
    failure: FailureBody
    request_id: str = ""
    ended_run: str = ""
    ended_age_s: float = 0.0
    ended_address: str = ""


@message("drain")
@dataclass(frozen=True, kw_only=True)
class Drain(ExchangeMessage):
    """Orders a sidecar to accept no new work; the reply is `Drained`."""


@message("drained")
@dataclass(frozen=True, kw_only=True)
class Drained(ReplyWithLoad):
    """Confirms that the sidecar accepts no new work."""
