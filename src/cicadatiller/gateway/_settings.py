"""The settings of an entry that this project defines, apart from the platform's."""

from dataclasses import dataclass, field

from ..ingress import MAX_CONNECTIONS, SEND_TIMEOUT_S
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
            are closed unread, unless others make no progress. A fifth of the process's
            sockets at most.
        max_connections_per_host: How many of them may come from one host address; 0 for no limit,
            as a load balancer may stand in front.
        max_held_bytes: How much connections may hold together, in requests and in responses that
            callers have not taken; 0 to derive it from the process's memory.
        send_timeout_s: A connection is closed if its caller takes nothing of a response for this
            time.
    """

    metrics_port: int = DEFAULT_METRICS_PORT
    metrics_path: str = "/metrics"
    weights: WorthWeights = field(default_factory=WorthWeights)
    target_read_interval_s: float = 0.0
    max_caller_connections: int = MAX_CONNECTIONS
    max_connections_per_host: int = 0
    max_held_bytes: float = 0.0
    send_timeout_s: float = SEND_TIMEOUT_S

    def __post_init__(self) -> None:
        check_values(
            metrics_port="" if 0 <= self.metrics_port <= MAX_PORT else "must be a port or 0",
            metrics_path="" if self.metrics_path.startswith("/") else "must begin with a slash",
            target_read_interval_s=not_negative(self.target_read_interval_s),
            max_caller_connections=above_zero(self.max_caller_connections),
            max_connections_per_host=not_negative(self.max_connections_per_host),
            max_held_bytes=not_negative(self.max_held_bytes),
            send_timeout_s=above_zero(self.send_timeout_s),
        )
