"""Settings of the load generator: the mix of requests to send."""

from dataclasses import dataclass

MAX_RATE_PER_S = 10_000.0
MAX_DURATION_S = 3600.0


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise ValueError(message)


@dataclass(frozen=True, kw_only=True)
class LengthBand:
    """A class of prompts whose lengths are log-uniformly distributed.

    Attributes:
        weight: The band's share, relative to the other bands.
        min_tokens: The shortest prompt.
        max_tokens: The longest prompt.
        min_output_tokens: The shortest output.
        max_output_tokens: The longest output.
        time_limit_s: The time limit of each request.
    """

    weight: float
    min_tokens: int
    max_tokens: int
    min_output_tokens: int = 16
    max_output_tokens: int = 128
    time_limit_s: float = 60.0

    def __post_init__(self) -> None:
        _require(self.weight > 0, "weight must be above zero")
        _require(0 < self.min_tokens <= self.max_tokens, "min_tokens must be in 1..max_tokens")
        _require(
            0 < self.min_output_tokens <= self.max_output_tokens,
            "min_output_tokens must be in 1..max_output_tokens",
        )
        _require(self.time_limit_s > 0, "time_limit_s must be above zero")


@dataclass(frozen=True, kw_only=True)
class WorkspaceShare:
    """A workspace that sends requests.

    Attributes:
        name: The name; also the start of the workspace's shared prompt prefix.
        key: The key that its requests carry.
        weight: The share of the requests, relative to the other workspaces.
    """

    name: str
    key: str
    weight: float = 1.0

    def __post_init__(self) -> None:
        _require(self.weight > 0, "weight must be above zero")


@dataclass(frozen=True, kw_only=True)
class Mix:
    """The requests to send, the entries to send them to, and the duration.

    Attributes:
        entries: The base URLs of the entries, used round-robin.
        model: The model that generates.
        workspaces: The workspaces that send requests.
        lengths: The classes of prompt lengths.
        requests_per_s: The mean arrival rate.
        duration_s: The time during which requests arrive.
        arrivals: The arrival process, "poisson" or "constant".
        seed: The seed of the random number generator; a seed always gives the same requests.
        service: The plain service to call; empty for none.
        call_share: The share of requests that are calls to `service`, marked not repeatable.
        shared_prefix_share: The share of prompts that begin with their workspace's prefix.
        shared_prefix_tokens: The length of that prefix; at most half of the prompt is prefix.
        max_in_flight: The maximum number of requests in flight; further ones are counted as
            unsent, never queued.
        check_standin_answers: Whether responses are compared with the stand-ins' expected output.
        warm_up_s: Requests that arrive earlier than this are sent but not measured.
        retries: The maximum number of retries of a request that was refused as not run.
        longest_prompt_tokens: Requests with longer prompts are left out of the plan; zero for no
            limit.
    """

    entries: tuple[str, ...]
    model: str
    workspaces: tuple[WorkspaceShare, ...]
    lengths: tuple[LengthBand, ...]
    requests_per_s: float
    duration_s: float
    arrivals: str = "poisson"
    seed: int = 1
    service: str = ""
    call_share: float = 0.0
    shared_prefix_share: float = 0.0
    shared_prefix_tokens: int = 1024
    max_in_flight: int = 2000
    check_standin_answers: bool = False
    warm_up_s: float = 0.0
    retries: int = 0
    longest_prompt_tokens: int = 0

    def __post_init__(self) -> None:
        _require(bool(self.entries), "entries must name at least one base URL")
        _require(bool(self.workspaces), "workspaces must not be empty")
        _require(bool(self.lengths), "lengths must not be empty")
        _require(
            0 < self.requests_per_s <= MAX_RATE_PER_S,
            f"requests_per_s must be above zero and at most {MAX_RATE_PER_S:g}",
        )
        _require(
            0 < self.duration_s <= MAX_DURATION_S,
            f"duration_s must be above zero and at most {MAX_DURATION_S:g}",
        )
        _require(self.arrivals in ("poisson", "constant"), "arrivals must be poisson or constant")
        _require(0 <= self.call_share <= 1, "call_share must be from 0 to 1")
        _require(0 <= self.shared_prefix_share <= 1, "shared_prefix_share must be from 0 to 1")
        _require(not self.call_share or bool(self.service), "call_share above 0 requires service")
        _require(self.max_in_flight > 0, "max_in_flight must be above zero")
        _require(0 <= self.warm_up_s < self.duration_s, "warm_up_s must be below duration_s")
        _require(0 <= self.retries <= 10, "retries must be from 0 to 10")
        _require(self.longest_prompt_tokens >= 0, "longest_prompt_tokens must not be negative")
