"""Interface of the store that holds the shared state of the fleet."""

import enum
from dataclasses import dataclass
from typing import Protocol

# The era of responses that state none.
UNSTATED_ERA = 0


class StoreUnavailableError(Exception):
    """The store returned no valid response; a write may have taken effect nevertheless."""


class HistoryLostError(Exception):
    """The store does not have the records from the requested offset on; use `read_newest` instead.

    Args:
        message: What was requested.
        era: The era of the response; None if unknown.
    """

    def __init__(self, message: str, *, era: int | None = None) -> None:
        super().__init__(message)
        self.era = era


class Topic(enum.Enum):
    """A topic of a keyed log."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    MEMBERS = "members"
    EVIDENCE = "evidence"


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class StorePosition:
    """A position in a topic; all positions of an era come after those of earlier eras.

    Attributes:
        era: The number of the era. It rises by one each time the store comes back from an older
            copy, after which offsets are given out again.
        offset: The offset within the era.
    """

    era: int = UNSTATED_ERA
    offset: int = 0


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
        era: The era of all offsets of the page.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    era: int = UNSTATED_ERA

    @property
    def end(self) -> StorePosition:
        """Return the position at which to continue reading."""
        return StorePosition(era=self.era, offset=self.next_offset)


class KeyedLog(Protocol):
    """A compacted log that keeps the newest record of each key.

    All methods raise `StoreUnavailableError` if the store gives no valid response.
    """

    async def read_newest(self, topic: Topic) -> KeyedPage:
        """Return the newest record of each key."""

    async def read(self, topic: Topic, from_offset: int, *, wait_s: float = 0.0) -> KeyedPage:
        """Return the records from an offset on, waiting up to `wait_s` for the first.

        Raises:
            HistoryLostError: If the store does not have all of these records, because it dropped
                them or came back from a copy that lacks them.
        """

    async def put(self, topic: Topic, key: str, value: bytes | None) -> StorePosition:
        """Append a record and return its position; a value of None removes the key."""
