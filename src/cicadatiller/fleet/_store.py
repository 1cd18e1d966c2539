"""Interface of the store that holds the shared state of the fleet."""

import enum
from dataclasses import dataclass
from typing import Protocol


class StoreUnavailableError(Exception):
    """The store returned no valid response; a write may have taken effect nevertheless."""


class HistoryLostError(Exception):
    """Records after the requested offset are no longer retained; use `read_newest` instead."""


class Topic(enum.Enum):
    """A topic of a keyed log."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    MEMBERS = "members"


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyedRecord:
    """One record of a topic.

    Attributes:
        offset: The record's position in the topic.
        key: The key that the record sets or removes.
        value: The new value; None if the record removes the key.
    """

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyedPage:
    """The result of one read.

    Attributes:
        records: The records in order of offset.
        next_offset: The offset at which to continue reading.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int


class KeyedLog(Protocol):
    """A compacted log that keeps the newest record of each key.

    All methods raise `StoreUnavailableError` if the store gives no valid response.
    """

    async def read_newest(self, topic: Topic) -> KeyedPage:
        """Return the newest record of each key."""

    async def read(self, topic: Topic, from_offset: int, *, wait_s: float = 0.0) -> KeyedPage:
        """Return the records from an offset on, waiting up to `wait_s` for the first.

        Raises:
            HistoryLostError: If some of these records are no longer retained.
        """

    async def put(self, topic: Topic, key: str, value: bytes | None) -> int:
        """Append a record and return its offset; a value of None removes the key."""
