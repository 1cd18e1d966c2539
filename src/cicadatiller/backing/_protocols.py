"""The interfaces of the platform's services: the log, the instance list and the weight store."""

import enum
from dataclasses import dataclass
from typing import Protocol

from ..kernel import Registry


class PlatformUnavailableError(Exception):
    """The platform sent no valid response; an append may still have taken effect."""


class OffsetTrimmedError(Exception):
    """The requested offset is lower than the first one that the log retains.

    Args:
        first_offset: The lowest offset that the stream still has.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"the stream begins at offset {first_offset} now")
        self.first_offset = first_offset


@dataclass(frozen=True, kw_only=True)
class LogRecord:
    """One record of a stream. In each stream, offsets start at 1 and increase by 1."""

    offset: int
    time_ms: int
    payload: bytes


@dataclass(frozen=True, kw_only=True)
class LogPage:
    """The records that one read returned.

    Attributes:
        records: The records in order of offset.
        next_offset: The offset at which the next read starts.
        end_offset: The offset of the next record to be appended to the stream.
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
        """Read records, starting at an offset; wait up to `wait_s` for the first one.

        Raises:
            OffsetTrimmedError: If the offset is lower than the first one that the log retains.
        """

    async def close(self) -> None:
        """Close the connections."""


class InstanceKind(enum.Enum):
    """The program on an instance."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class InstanceState(enum.Enum):
    """The state of an instance according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class Instance:
    """One row of the instance list.

    Attributes:
        name: The platform's name for the instance.
        kind: The program that runs on the instance.
        data_centre: The data centre in which it runs.
        deployment: The deployment that it belongs to; empty for an entry.
        address: The peer address, "host:port", of the sidecar or entry on the instance.
        service: The name of the plain service; empty for other kinds.
        state: Whether the instance is live or leaving.
    """

    name: str
    kind: InstanceKind
    data_centre: str
    deployment: str
    address: str
    service: str = ""
    state: InstanceState = InstanceState.LIVE


class InstanceList(Protocol):
    """The platform's list of instances, which may be out of date.

    Methods raise `PlatformUnavailableError`.
    """

    async def list_instances(self) -> tuple[Instance, ...]:
        """Return the current list."""

    async def close(self) -> None:
        """Close the connections."""


class WeightStore(Protocol):
    """The rate-limited store of model weights. Methods raise `PlatformUnavailableError`."""

    async def acquire(self, model: str, version: str) -> float:
        """Request permission to load weights.

        Returns:
            0 if the load may start now, else the time in seconds until the next attempt.
        """

    async def close(self) -> None:
        """Close the connections."""


log_registry: Registry[LogClient] = Registry("log client")
instance_list_registry: Registry[InstanceList] = Registry("instance list client")
weight_store_registry: Registry[WeightStore] = Registry("weight store client")
