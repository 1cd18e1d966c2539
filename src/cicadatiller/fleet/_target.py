"""The registration of a target in the store."""

import enum
from dataclasses import dataclass, field


class TargetState(enum.Enum):
    """Whether a target accepts new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRecord:
    """The data that a target registers.

    Attributes:
        instance_id: The id of one run of the target's program.
        service: The name of the service that the target belongs to.
        address: The address on which the target listens, "host:port".
        data_centre: The name of the target's data centre.
        slots: The number of requests that the target processes concurrently.
        state: Whether the target accepts new work.
        slow_start_s: The remaining time for which the target is slow after its start.
        started_ms: The start time in Unix milliseconds; 0 if not reported. A later start under the
            same id is a new run without the state of the previous one.
        sequence: The number of this report of the run; registrations that differ only in it are
            equal.
    """

    instance_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: TargetState
    slow_start_s: float = 0.0
    started_ms: int = 0
    sequence: int = field(default=0, compare=False)

    @property
    def age_order(self) -> tuple[int, int]:
        """Return a key that is higher for later reports of the same instance id."""
        return self.started_ms, self.sequence
