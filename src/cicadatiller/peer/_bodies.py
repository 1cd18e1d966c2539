"""Data classes that several messages contain."""

from dataclasses import dataclass

from ..kernel import ErrorKind, Failure, RunState


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """The load and state of a sidecar's target; most replies contain one.

    Attributes:
        sequence: Increases with each report of an incarnation.
        leaving: Whether the target accepts no new work.
        loaded: The loaded models, as `str(ModelRef)`.
        queued: Number of requests in the sidecar's queue.
        queued_prompt_tokens: Prompt tokens of the queued requests.
        prefilling_prompt_tokens: Prompt tokens at the engine whose prefill has not ended.
        prefilling_long_tokens: The part of `prefilling_prompt_tokens` from long prompts.
        running: Number of requests at the engine.
        kv_used_tokens: KV memory in use or reserved, in tokens.
        kv_capacity_tokens: Capacity of the KV memory, in tokens.
        prefill_tokens_per_s: The observed prefill rate; zero if unknown.
        prefill_sample_tokens: The prompt length at which the prefill rate was observed.
        decode_tokens_per_s: The observed decode rate of one stream; zero if unknown.
        config_offset: The offset of the sidecar's current configuration.
        order_error: Why the last order failed; empty if it succeeded.
        supports_gang: Whether the engine can be a member of a gang.
        target_run: The run of the target; empty if it is not known.
    """

    sequence: int = 0
    leaving: bool = False
    loaded: tuple[str, ...] = ()
    queued: int = 0
    queued_prompt_tokens: int = 0
    prefilling_prompt_tokens: int = 0
    prefilling_long_tokens: int = 0
    running: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
    prefill_tokens_per_s: float = 0.0
    prefill_sample_tokens: int = 0
    decode_tokens_per_s: float = 0.0
    config_offset: int = 0
    order_error: str = ""
    supports_gang: bool = False
    target_run: str = ""


@dataclass(frozen=True, kw_only=True)
class WorkspaceUse:
    """The receiving entry's share of a workspace's recent use of one sidecar.

    Attributes:
        workspace: The workspace's name.
        share: The share, from 0 to 1; the rest came from other entries.
        entries: The number of entries that are connected to the sidecar.
    """

    workspace: str
    share: float
    entries: int = 1


@dataclass(frozen=True, kw_only=True)
class FailureBody:
    """A `Failure` on the wire.

    Attributes:
        kind: The name of an `ErrorKind`.
        message: What failed and what to do, for a person.
        run_state: The name of a `RunState`.
        retry_after_s: The delay before a retry; zero if a retry would not help.
    """

    kind: str
    message: str
    run_state: str
    retry_after_s: float = 0.0

    @classmethod
    def of(cls, failure: Failure) -> "FailureBody":
        """Return the wire form of a failure."""
        return cls(
            kind=failure.kind.value,
            message=failure.message,
            run_state=failure.run_state.value,
            retry_after_s=failure.retry_after_s,
        )

    def to_failure(self) -> Failure:
        """Return the failure; a kind that this version does not know becomes INTERNAL."""
        known = {kind.value for kind in ErrorKind}
        return Failure(
            kind=ErrorKind(self.kind) if self.kind in known else ErrorKind.INTERNAL,
            message=self.message,
            run_state=RunState(self.run_state),
            retry_after_s=self.retry_after_s,
        )
