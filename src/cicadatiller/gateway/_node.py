"""What an entry is told of itself and of the promises it has to keep."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """The promises of a deployment.

    Attributes:
        shutdown_s: From the signal to stop until the process is killed.
        target_drain_s: How long a target that leaves may still be sent requests.
        config_converge_s: Until a new configuration must be in force.
        retry_ratio: The share of a service's requests that may be sent once more.
        retry_slack: How many may be sent once more beyond that share.
        retry_window_s: The span over which both are counted.
        max_hold_s: The longest that engine memory may be reserved at a time.
        hold_after_use_s: How long memory may stay reserved after its last use.
        unused_hold_s: How long memory may be reserved without any use.
    """

    shutdown_s: float = 8.0
    target_drain_s: float = 2.0
    config_converge_s: float = 2.0
    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    max_hold_s: float = 20.0
    hold_after_use_s: float = 4.0
    unused_hold_s: float = 9.0


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Where an entry runs.

    Attributes:
        name: The instance's name.
        data_centre: Where it is.
        host: Its address, without a port.
        caller_address: Where callers connect, "host:port".
        readiness_address: Where the platform asks for readiness, "host:port".
        peer_port: The port for other entries, the same on all instances.
        store_address: Where the platform's store listens, "host:port".
        bounds: The promises of the deployment.
    """

    name: str
    data_centre: str
    host: str
    caller_address: str
    readiness_address: str
    peer_port: int
    store_address: str
    bounds: Bounds = Bounds()

    @property
    def peer_address(self) -> str:
        """Return where it accepts links of other entries, "host:port"."""
        return f"{self.host}:{self.peer_port}"
