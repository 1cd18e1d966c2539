"""The settings of an entry that this project defines, apart from the platform's."""

from dataclasses import dataclass, field

from ..ingress import MAX_CONNECTIONS
from ..kernel import above_zero, check_values, not_negative
from ._weights import WorthWeights

MAX_PORT = 65_535
DEFAULT_METRICS_PORT = 9464


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """The settings that operators choose for an entry.

    Attributes:
        metrics_port: The port of the metrics endpoint; 0 disables it.
        metrics_path: The path of the metrics endpoint; begins with a slash.
        weights: Weights that set the value of requests and their loss when late.
        target_read_interval_s: The age of the last read of the targets' registrations, by this
            entry or a peer, at which this entry reads them from the store again; 0 for a quarter of
            the time for which a leaving target may still receive requests.
        max_caller_connections: How many connections of callers may be open at once; further ones
            are closed unread.
    """

    metrics_port: int = DEFAULT_METRICS_PORT
    metrics_path: str = "/metrics"
    weights: WorthWeights = field(default_factory=WorthWeights)
    target_read_interval_s: float = 0.0
    max_caller_connections: int = MAX_CONNECTIONS

    def __post_init__(self) -> None:
        check_values(
            metrics_port="" if 0 <= self.metrics_port <= MAX_PORT else "must be a port or 0",
            metrics_path="" if self.metrics_path.startswith("/") else "must begin with a slash",
            target_read_interval_s=not_negative(self.target_read_interval_s),
            max_caller_connections=above_zero(self.max_caller_connections),
        )
