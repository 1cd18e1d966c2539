"""Messages that distribute the configuration between peers."""

from dataclasses import dataclass

from ..channels import message
from ._bodies import LoadReport


@dataclass(frozen=True, kw_only=True)
class ConfigRecord:
    """One record of the configuration stream.

    Attributes:
        offset: The record's offset in the stream.
        time_ms: When the log appended the record, in Unix milliseconds.
        payload: The encoded record, as in the log.
    """

    offset: int
    time_ms: int
    payload: bytes


@message("config")
@dataclass(frozen=True, kw_only=True)
class ConfigRecords:
    """Sends records that the receiver does not have yet."""

    records: tuple[ConfigRecord, ...]


@message("follow")
@dataclass(frozen=True, kw_only=True)
class FollowConfig:
    """Starts or stops following: the receiver sends each change of the configuration at once.

    Attributes:
        load: The load of the sidecar's target, with the offset of its configuration.
        wanted: Whether to start following (true) or to stop.
    """

    load: LoadReport
    wanted: bool = True
