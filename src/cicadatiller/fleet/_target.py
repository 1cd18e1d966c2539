"""What the store says of a target."""

import enum
from dataclasses import dataclass


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRecord:
    """A target as it registered itself.

    Attributes:
        instance_id: The id of one run of the target's program.
        service: The service that it belongs to.
        address: Where it listens, "host:port".
        data_centre: Where it is.
        slots: The requests that it works on at once.
        state: Whether it takes new work.
        slow_start_s: How much longer it is slow after its start.
        started_ms: When it started, in Unix milliseconds; 0 if it did not say. A later start under
            the same id is another run that knows nothing of the one before.
    """

    instance_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: TargetState
    slow_start_s: float = 0.0
    started_ms: int = 0
