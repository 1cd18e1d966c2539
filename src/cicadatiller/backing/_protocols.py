"""What the system needs of the platform: the log, the instance list and the weight store."""

import enum
from dataclasses import dataclass
from typing import Protocol

from ..kernel import Registry


class PlatformUnavailableError(Exception):
    """The platform did not answer; an append may have taken effect all the same."""


class OffsetTrimmedError(Exception):
    """The wanted offset is older than the log's retention.

    Args:
        first_offset: The oldest offset that the stream still has.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"the stream begins at offset {first_offset} now")
        self.first_offset = first_offset


@dataclass(frozen=True, kw_only=True)
class LogRecord:
    """One record of a stream. Offsets start at 1 and grow by 1 in each stream."""

    offset: int
    time_ms: int
    payload: bytes


@dataclass(frozen=True, kw_only=True)
class LogPage:
    """Records that were read.

    Attributes:
        records: In order of offset.
        next_offset: Where the next read starts.
        end_offset: The offset that the next append to the stream will get.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    end_offset: int


class LogClient(Protocol):
    """The append-only log service. Methods raise `PlatformUnavailableError`."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset."""

    async def read(
        self, stream: str, from_offset: int, *, limit: int = 1000, wait_s: float = 0.0
    ) -> LogPage:
        """Read records from an offset on, waiting up to `wait_s` for the first.

        Raises:
            OffsetTrimmedError: If the offset is older than the retention.
        """

    async def close(self) -> None:
        """Release the connections."""


class InstanceKind(enum.Enum):
    """What runs on an instance."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class InstanceState(enum.Enum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class Instance:
    """One row of the instance list.

    Attributes:
        name: The platform's name for the instance.
        kind: What runs on it.
        data_centre: Where it is.
        deployment: The deployment that it belongs to; empty for an entry.
        address: The peer address, "host:port", of the sidecar or entry on it.
        service: The plain service's name; empty for others.
        state: Live or leaving.
    """

    name: str
    kind: InstanceKind
    data_centre: str
    deployment: str
    address: str
    service: str = ""
    state: InstanceState = InstanceState.LIVE


class InstanceList(Protocol):
    """The lagging list of instances. Methods raise `PlatformUnavailableError`."""

    async def list_instances(self) -> tuple[Instance, ...]:
        """Return the list as the platform has it now."""

    async def close(self) -> None:
        """Release the connections."""


class WeightStore(Protocol):
    """The rate-limited store of model weights. Methods raise `PlatformUnavailableError`."""

    async def acquire(self, model: str, version: str) -> float:
        """Ask for leave to load weights.

        Returns:
            Zero if the load may start now, else the seconds to wait before asking again.
        """

    async def close(self) -> None:
        """Release the connections."""


log_registry: Registry[LogClient] = Registry("log client")
instance_list_registry: Registry[InstanceList] = Registry("instance list client")
weight_store_registry: Registry[WeightStore] = Registry("weight store client")
