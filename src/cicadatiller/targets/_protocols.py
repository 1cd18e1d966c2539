"""The interfaces that a sidecar uses to control its target: a model engine or a plain service."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from ..kernel import Registry


class TargetUnreachableError(Exception):
    """No complete and valid response was received; the call may have taken effect.

    Attributes:
        is_refused: Whether the target accepts no connections, as it is gone; if not, it may only
            be silent.
    """

    def __init__(self, message: str, *, is_refused: bool = False) -> None:
        super().__init__(message)
        self.is_refused = is_refused


class TargetRefusedError(Exception):
    """The target refused a call, or the call could not be sent; it took no effect.

    Args:
        reason: One of "memory", "unknown-model", "unknown-export", "unknown-stream",
            "stale-fence", "leaving", "invalid", "unreachable".
        message: The explanation.
    """

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(f"{reason}: {message}")
        self.reason = reason


@dataclass(frozen=True, kw_only=True)
class ModelRef:
    """Identifies a model, its version and an optional adapter.

    Attributes:
        model: The name of the model.
        version: The version of the model.
        adapter: The name of an adapter of the model; empty for none.
    """

    model: str
    version: str = ""
    adapter: str = ""

    def __str__(self) -> str:
        adapter = f"+{self.adapter}" if self.adapter else ""
        return f"{self.model}@{self.version}{adapter}"


@dataclass(frozen=True, kw_only=True)
class EngineInfo:
    """An engine's description of itself, read when the sidecar connects to it.

    Attributes:
        epoch: An id that changes each time the engine process starts.
        kv_capacity_tokens: The capacity of its KV cache.
        checks_fencing: Whether it refuses orders with a fencing number lower than `fence`.
        loaded: The models that are loaded.
        role: "mixed", "prefill" or "decode".
        fence: The highest fencing number that it has accepted; 0 if it does not check them.
        supports_gang: Whether it can run a stream whose KV is partly held by other engines.
        address: The "host:port" under which other engines read its exports.
    """

    epoch: str
    kv_capacity_tokens: int
    checks_fencing: bool
    loaded: tuple[ModelRef, ...]
    role: str = "mixed"
    fence: int = 0
    supports_gang: bool = True
    address: str = ""


@dataclass(frozen=True, kw_only=True)
class EngineLoad:
    """A load report, which lags behind the engine by a few hundred milliseconds.

    Attributes:
        kv_used_tokens: The KV cache held by streams and exports.
        running_streams: The number of streams that have started and not finished.
        waiting_prefill_tokens: The number of prompt tokens that await prefill.
        decode_tokens_per_s: The decode rate of one stream.
        prefill_tokens_per_s: The prefill rate of all streams together.
    """

    kv_used_tokens: int
    running_streams: int
    waiting_prefill_tokens: int
    decode_tokens_per_s: float
    prefill_tokens_per_s: float


@dataclass(frozen=True, kw_only=True)
class ExportRef:
    """Refers to an export: a range of KV cache that an engine holds under a lease.

    Attributes:
        engine_address: The "host:port" of the engine that holds the export.
        export_id: The id chosen by the owner of the export.
        first_token: The index of the first prompt token in the range.
        token_count: The length of the range.
    """

    engine_address: str
    export_id: str
    first_token: int
    token_count: int


@dataclass(frozen=True, kw_only=True)
class StreamSpec:
    """A stream to run on an engine.

    Submitting is idempotent by `stream_id`.

    Attributes:
        stream_id: The id chosen by the sidecar; starts with the sidecar's incarnation.
        model: The model to run.
        prompt: The complete prompt.
        prompt_tokens: The length of the prompt.
        max_output_tokens: The maximum length of the output.
        priority: The scheduling priority; streams with a lower number run first.
        prefill_chunk_tokens: The maximum number of prompt tokens that are prefilled between two
            decode steps; 0 leaves the choice to the engine.
        delivered: The output that the caller already has; the stream continues after it.
        remote_segments: The exports of other engines for this prompt, in order of position.
        export_id: If set, the stream only prefills the tokens from `first_token` on and keeps
            their KV as an export with this id; it has no output.
        first_token: The index of the first prompt token whose KV this engine holds itself.
        lease_s: The duration of the lease on the export.
    """

    stream_id: str
    model: ModelRef
    prompt: str
    prompt_tokens: int
    max_output_tokens: int
    priority: int = 0
    prefill_chunk_tokens: int = 0
    delivered: tuple[str, ...] = ()
    remote_segments: tuple[ExportRef, ...] = ()
    export_id: str = ""
    first_token: int = 0
    lease_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class StreamOutput:
    """New output of one stream.

    Attributes:
        stream_id: The id of the stream.
        first_index: The index of the first of `texts` in the complete output.
        texts: The texts of the new tokens.
        finished: Whether the stream has ended.
        error: The reason why the stream ended early; empty if it did not.
    """

    stream_id: str
    first_index: int
    texts: tuple[str, ...]
    finished: bool = False
    error: str = ""


@dataclass(frozen=True, kw_only=True)
class StreamStatus:
    """The state of one stream on an engine.

    Attributes:
        stream_id: The id of the stream.
        kv_tokens: The KV cache held by the stream.
        finished: Whether the stream has ended.
    """

    stream_id: str
    kv_tokens: int
    finished: bool


@dataclass(frozen=True, kw_only=True)
class ExportStatus:
    """The state of one export on an engine.

    Attributes:
        export_id: The id of the export.
        kv_tokens: The KV cache held by the export.
        lease_left_s: The time until the lease expires.
    """

    export_id: str
    kv_tokens: int
    lease_left_s: float


@dataclass(frozen=True, kw_only=True)
class CacheEvent:
    """Reports that a prompt prefix was stored in an engine's cache or evicted from it.

    Attributes:
        sequence: The sequence number of the event; a gap means lost events.
        prefix_hash: The hash of the prefix.
        stored: True if the prefix was stored, false if it was evicted.
    """

    sequence: int
    prefix_hash: str
    stored: bool


@dataclass(frozen=True, kw_only=True)
class CacheEvents:
    """A batch of cache events.

    Attributes:
        events: The events in order of `sequence`; they may arrive late and have gaps.
        next_sequence: The sequence number at which the next read starts.
        snapshot: Whether `events` lists the complete content of the cache instead of changes.
    """

    events: tuple[CacheEvent, ...]
    next_sequence: int
    snapshot: bool


@dataclass(frozen=True, kw_only=True)
class EngineOrder:
    """The complete desired state of an engine; orders are absolute, never deltas.

    Attributes:
        models: The models to serve.
        role: "mixed", "prefill" or "decode".
        fence: The fencing number of the sender.
    """

    models: tuple[ModelRef, ...]
    role: str
    fence: int


class Engine(Protocol):
    """The interface of a model engine to its sidecar.

    Every method raises `TargetUnreachableError` if there is no complete and valid response, and
    `TargetRefusedError` if the engine refuses the call.
    """

    async def describe(self) -> EngineInfo:
        """Return the engine's description."""

    async def load(self) -> EngineLoad:
        """Return the newest load report."""

    async def submit(self, spec: StreamSpec) -> None:
        """Start a stream; does nothing if a stream with this id exists."""

    def outputs(self) -> AsyncIterator[tuple[StreamOutput, ...]]:
        """Yield the new output of all streams after each step, until the connection fails.

        Earlier output is not repeated; use `resume` to read it.
        """

    async def resume(self, stream_id: str, next_index: int) -> StreamOutput:
        """Return the output of a stream, starting at a token index.

        Raises:
            TargetRefusedError: "unknown-stream" if the engine has no such stream.
        """

    async def cancel(self, stream_id: str) -> bool:
        """End a stream and free its memory; return whether it existed. Idempotent."""

    async def list_streams(self) -> tuple[StreamStatus, ...]:
        """Return all streams."""

    async def list_exports(self) -> tuple[ExportStatus, ...]:
        """Return all exports."""

    async def renew_export(self, export_id: str, lease_s: float) -> None:
        """Extend the lease on an export."""

    async def release_export(self, export_id: str) -> bool:
        """Free an export; return whether it existed. Idempotent."""

    async def order(self, order: EngineOrder) -> None:
        """Set the models and the role of the engine; return once they are in effect."""

    async def cache_events(self, next_sequence: int) -> CacheEvents:
        """Return the cache events from a sequence number on, or a snapshot if it is too old."""

    async def close(self) -> None:
        """Close the connections."""


@dataclass(frozen=True, kw_only=True)
class ServiceCall:
    """A call to a plain service.

    Attributes:
        call_id: The id chosen by the sidecar; the service may log it, but need not deduplicate
            calls by it.
        method: The name of the method.
        payload: The request body.
        timeout_s: The time that the service has to respond.
    """

    call_id: str
    method: str
    payload: bytes
    timeout_s: float


class PlainService(Protocol):
    """The interface of a plain service, which runs no model.

    Some of its calls must not be repeated.

    Methods raise `TargetUnreachableError` and `TargetRefusedError` as for `Engine`.
    """

    async def describe(self) -> str:
        """Return the service's epoch, which changes each time it starts."""

    async def call(self, call: ServiceCall) -> bytes:
        """Make one call and return the response body."""

    async def close(self) -> None:
        """Close the connections."""


engine_registry: Registry[Engine] = Registry("engine client")
service_registry: Registry[PlainService] = Registry("service client")
