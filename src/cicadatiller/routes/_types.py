"""The objects of a configuration."""

import enum
from dataclasses import dataclass


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True, slots=True)
class Split:
    """A service that gets a share of a route's requests.

    Attributes:
        service: The service's name.
        weight: Its share, in relation to the weights of the others.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        name: The route's name.
        host: The host, in lower case and without a port.
        path_prefix: The beginning of the paths; begins and ends with a slash.
        kind: What may be repeated.
        splits: The services.
        timeout_s: The longest time that a request may be kept waiting.
        target_latency_s: The time to the answer, or to the first event, that callers want.
        max_gap_s: The longest pause between events that callers want; None without streams.
        priority: The rank; 0 is the highest.
        max_attempts: The most targets that one request may be sent to.
        allow_anonymous: Whether requests need no key.
        is_resumable: Whether a stream may go on at another target.
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
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.is_resumable


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineModel:
    """How fast an engine works.

    An engine works in passes. A step of a pass makes one token for each request that is being
    written and may read a chunk of prompts.

    Attributes:
        slots: The requests that are in work at once.
        kv_capacity_tokens: The memory.
        step_s: The time of a step.
        step_per_sequence_s: More time of a step for each request that is being written.
        step_per_context_token_s: More time of a step for each token of their contexts.
        prefill_tokens_per_s: The rate of reading.
        prefill_pair_s: More time for each pair of a token and an earlier one.
        chunk_tokens: The most tokens read in a step.
        steps_per_pass: The steps of a pass in which anything is written.
        report_lag_s: How old the engine's report of its load is.
        shared_step_s: More time of a step if a prompt lies in several engines.
        mean_prompt_tokens: The usual prompt.
        mean_output_tokens: The usual output.
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
        max_connections: The connections that one target accepts from all callers.
        engine: How fast its engines work; None for a plain service.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: EngineModel | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """Who a key belongs to.

    Attributes:
        name: The workspace's name.
        priority: The rank that goes before the route's; None if it has none.
    """

    name: str
    priority: int | None = None
