"""The settings of an entry that are the project's own."""

from dataclasses import dataclass, field

from ..kernel import above_zero, check_values
from ._weights import WorthWeights

MAX_PORT = 65_535


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """What the operators of an entry may choose.

    Attributes:
        metrics_port: Where the metrics are shown; 0 for nowhere.
        metrics_path: The path of the metrics.
        weights: How requests are weighed against each other.
        target_read_interval_s: How old the newest read of the targets' entries may get.
    """

    metrics_port: int = 0
    metrics_path: str = "/metrics"
    weights: WorthWeights = field(default_factory=WorthWeights)
    target_read_interval_s: float = 0.5

    def __post_init__(self) -> None:
        check_values(
            metrics_port="" if 0 <= self.metrics_port <= MAX_PORT else "must be a port or 0",
            metrics_path="" if self.metrics_path.startswith("/") else "must begin with a slash",
            target_read_interval_s=above_zero(self.target_read_interval_s),
        )
