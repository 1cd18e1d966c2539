"""Messages with which an entry opens, submits, reads and cancels requests at a sidecar."""

from dataclasses import dataclass, field

from ..channels import message
from ._bodies import FailureBody, LoadReport, WorkspaceUse


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
class Open:
    """Requests a request id; the reply is `Opened`.

    Attributes:
        call: The number of the exchange on this connection.
        workspace: The workspace that the id is for.
    """

    call: int
    workspace: str


@message("opened")
@dataclass(frozen=True, kw_only=True)
class Opened:
    """Returns a newly issued request id.

    Attributes:
        call: The number of the exchange on this connection.
        request_id: The id.
        load: The load of the sender's target.
    """

    call: int
    request_id: str
    load: LoadReport = field(default_factory=LoadReport)


@message("submit")
@dataclass(frozen=True, kw_only=True)
class Submit:
    """Runs a request; the replies are `Accepted`, `Tokens` and `Finished`, or `Failed`.

    Attributes:
        call: The number of the exchange on this connection.
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

    call: int
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
class Attach:
    """Reads the response to a known request from an index on; the replies are those to `Submit`.

    Attributes:
        call: The number of the exchange on this connection.
        request_id: The request.
        workspace: The workspace that the request belongs to.
        next_index: The index of the first token to send.
        budget_s: The remaining time of the reader.
    """

    call: int
    request_id: str
    workspace: str
    next_index: int
    budget_s: float


@message("cancel")
@dataclass(frozen=True, kw_only=True)
class Cancel:
    """Cancels a request in any state; the reply is `StateReply`.

    Attributes:
        call: The number of the exchange on this connection.
        request_id: The request.
        workspace: The workspace that the request belongs to.
    """

    call: int
    request_id: str
    workspace: str


@message("tombstone")
@dataclass(frozen=True, kw_only=True)
class Tombstone:
    """Prevents a request that has not been sent to the target from being sent later.

    The reply is `StateReply`: the run state `NOT_RUN` confirms this, any other means refusal.

    Attributes:
        call: The number of the exchange on this connection.
        request_id: The request.
        workspace: The workspace that the request belongs to.
    """

    call: int
    request_id: str
    workspace: str


@message("get_state")
@dataclass(frozen=True, kw_only=True)
class GetState:
    """Requests the state of a request in the sidecar's ledger; the reply is `StateReply`.

    Attributes:
        call: The number of the exchange on this connection.
        request_id: The request.
        workspace: The workspace that the request belongs to.
    """

    call: int
    request_id: str
    workspace: str


@message("state")
@dataclass(frozen=True, kw_only=True)
class StateReply:
    """The state of a request in the sidecar's ledger.

    Attributes:
        call: The number of the exchange on this connection.
        state: The name of a `RequestState`.
        run_state: The name of a `RunState`.
        token_count: The number of output tokens so far.
        load: The load of the sender's target.
    """

    call: int
    state: str
    run_state: str
    token_count: int = 0
    load: LoadReport = field(default_factory=LoadReport)


@message("accepted")
@dataclass(frozen=True, kw_only=True)
class Accepted:
    """Confirms that the request is in the ledger, under the id `request_id`.

    Attributes:
        call: The number of the exchange on this connection.
        request_id: The request.
        attempt: The attempt whose output follows.
        load: The load of the sender's target.
        use: The receiving entry's share of the workspace's use; None if not reported.
    """

    call: int
    request_id: str
    attempt: int
    load: LoadReport = field(default_factory=LoadReport)
    use: WorkspaceUse | None = None


@message("tokens")
@dataclass(frozen=True, kw_only=True)
class Tokens:
    """Output tokens from `first_index` on.

    Attributes:
        call: The number of the exchange on this connection.
        attempt: The attempt that produced the tokens.
        first_index: The index of the first token in the output.
        texts: The text of each token.
    """

    call: int
    attempt: int
    first_index: int
    texts: tuple[str, ...]


@message("finished")
@dataclass(frozen=True, kw_only=True)
class Finished:
    """The last frame of a response.

    Attributes:
        call: The number of the exchange on this connection.
        attempt: The attempt that completed the response.
        token_count: The number of tokens in the complete output.
        checksum: XXH3-64 of the complete output, or of the payload of a call.
        payload: The response of a plain service.
        load: The load of the sender's target.
    """

    call: int
    attempt: int
    token_count: int
    checksum: int
    payload: bytes = b""
    load: LoadReport = field(default_factory=LoadReport)


@message("failed")
@dataclass(frozen=True, kw_only=True)
class Failed:
    """The last frame of an exchange that did not succeed.

    Attributes:
        call: The number of the exchange on this connection.
        attempt: The attempt that failed; zero if there was none.
        failure: The failure.
        request_id: The request; empty if it has no id.
        load: The load of the sender's target.
    """

    call: int
    attempt: int
    failure: FailureBody
    request_id: str = ""
    load: LoadReport = field(default_factory=LoadReport)


@message("drain")
@dataclass(frozen=True, kw_only=True)
class Drain:
    """Orders a sidecar to accept no new work; the reply is `Drained`."""

    call: int


@message("drained")
@dataclass(frozen=True, kw_only=True)
class Drained:
    """Confirms that the sidecar accepts no new work.

    Attributes:
        call: The number of the exchange on this connection.
        load: The load of the sender's target.
    """

    call: int
    load: LoadReport = field(default_factory=LoadReport)
