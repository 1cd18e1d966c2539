"""Settings of an entry that the platform provides."""

from dataclasses import dataclass

from ..cold_start import ColdAllowance
from ..memory_budget import ProcessLimits


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Limits that the deployment requires an entry to keep.

    Attributes:
        shutdown_s: Time from the stop signal until the process is killed.
        target_drain_s: Time for which a leaving target may still receive requests.
        config_converge_s: Time within which a new configuration must be applied.
        evacuate_s: Time within which the evacuation of a data centre must be applied.
        retry_ratio: Retries per request of a service.
        retry_slack: Number of retries allowed in addition.
        retry_window_s: Length of the window in which requests and retries are counted.
        max_hold_s: Maximum time for which one order may reserve engine memory.
        hold_after_use_s: Maximum time for which memory may stay reserved after its last use.
        unused_hold_s: Maximum time for which memory may be reserved without any use.
        cold_allowance: What cold targets tolerate beyond their rate.
    """

    shutdown_s: float = 8.0
    target_drain_s: float = 2.0
    config_converge_s: float = 2.0
    evacuate_s: float = 2.0
    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    max_hold_s: float = 20.0
    hold_after_use_s: float = 4.0
    unused_hold_s: float = 9.0
    cold_allowance: ColdAllowance = ColdAllowance()


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Identity and addresses of an entry, and the limits of its deployment.

    Attributes:
        name: The instance's name.
        data_centre: The data centre of the instance.
        host: The instance's host address, without a port.
        caller_address: Address at which callers connect, "host:port".
        readiness_address: Address of the platform's readiness checks, "host:port".
        peer_port: Port for links of other entries, the same on all instances.
        store_address: Address of the platform's store, "host:port".
        limits: The memory and descriptors of the process.
        bounds: The limits of the deployment.
    """

    name: str
    data_centre: str
    host: str
    caller_address: str
    readiness_address: str
    peer_port: int
    store_address: str
    limits: ProcessLimits = ProcessLimits()
    bounds: Bounds = Bounds()

    @property
    def peer_address(self) -> str:
        """Return the address at which it accepts links of other entries, "host:port"."""
        return f"{self.host}:{self.peer_port}"
