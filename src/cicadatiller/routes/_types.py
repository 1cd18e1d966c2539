"""The objects of a configuration."""

import enum
from dataclasses import dataclass


class RouteKind(enum.Enum):
    """Whether requests of a route may be repeated, and whether the response is a stream."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True, slots=True)
class Split:
    """A service that receives a share of a route's requests.

    Attributes:
        service: The service's name.
        weight: The share of the service relative to the weights of the route's other services.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """The services and limits for requests of one host and path prefix.

    Attributes:
        name: The route's name.
        host: The host, in lower case and without a port.
        path_prefix: The prefix of the paths; it begins and ends with a slash.
        kind: Whether requests may be repeated, and whether the response is a stream.
        splits: The services among which the requests are divided.
        timeout_s: The time limit for a request; callers may set a shorter one.
        target_latency_s: The time to the response, or to the first event, that callers want.
        max_gap_s: The longest event gap that callers want; None without streams.
        priority: The priority of the requests; 0 is the highest.
        max_attempts: The largest number of targets that one request may be sent to.
        allow_anonymous: Whether requests without a valid key are accepted.
        is_resumable: Whether an interrupted stream may be resumed at another target.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_s: float
    target_latency_s: float
    max_gap_s: float | None = None
    priority: int = 0
    max_attempts: int = 1
    allow_anonymous: bool = False
    is_resumable: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.is_resumable


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineModel:
    """The performance model of an engine.

    An engine works in passes of one or more steps. Each step generates one token for every
    decoding request and may prefill a chunk of waiting prompts.

    Attributes:
        slots: The number of requests that the engine processes at once.
        kv_capacity_tokens: The capacity of the KV cache.
        step_s: The base time of a step.
        step_per_sequence_s: Additional time of a step for each decoding request.
        step_per_context_token_s: Additional time of a step for each context token of the decoding
            requests.
        prefill_tokens_per_s: The prefill rate without the quadratic part in `prefill_pair_s`.
        prefill_pair_s: Additional prefill time for each pair of a prompt token and an earlier one.
        chunk_tokens: The largest number of prompt tokens that a step prefills.
        steps_per_pass: The number of steps in a pass during which any request decodes.
        report_lag_s: The age of the load figures that the engine reports.
        shared_step_s: Additional time of a step if the KV cache of a prompt is spread over several
            engines.
        mean_prompt_tokens: The usual length of a prompt.
        mean_output_tokens: The usual length of an output.
    """

    slots: int
    kv_capacity_tokens: int
    step_s: float = 0.001
    step_per_sequence_s: float = 0.0
    step_per_context_token_s: float = 0.0
    prefill_tokens_per_s: float = 100_000.0
    prefill_pair_s: float = 0.0
    chunk_tokens: int = 2048
    steps_per_pass: int = 1
    report_lag_s: float = 0.0
    shared_step_s: float = 0.0
    mean_prompt_tokens: float = 0.0
    mean_output_tokens: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A pool of targets.

    Attributes:
        name: The service's name.
        health_path: The path of the health check.
        max_connections: The number of connections that one target accepts from all clients.
        engine: The performance model of the engines; None if the targets are not engines.
        cold_start_s: The time for which a target is cold after its start.
        cold_rate_per_s: The requests a second that a cold target tolerates from all entries; 0 if
            it is not limited.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: EngineModel | None = None
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """The owner of one or more keys.

    Attributes:
        name: The workspace's name.
        priority: The priority of its requests in place of the route's; None to use the route's.
    """

    name: str
    priority: int | None = None
