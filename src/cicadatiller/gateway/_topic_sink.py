"""Interface of the sinks that apply the records of a topic."""

from collections.abc import Mapping
from typing import Protocol

from ..fleet import KeyedPage, KeyedRecord


class TopicSink(Protocol):
    """Applies the records of a topic."""

    def apply(self, record: KeyedRecord, *, grace_s: float) -> None:
        """Apply one record.

        Args:
            record: The record.
            grace_s: Time for which a removal may still be undone by a new record of the same key;
                see `REMOVAL_GRACE_S`.
        """

    def replace(self, page: KeyedPage, *, grace_s: float) -> None:
        """Apply a page with the newest record of each key; keys not in it are removed.

        Args:
            page: The page.
            grace_s: As for `apply`.
        """

    def merge(self, page: KeyedPage, *, before: Mapping[str, KeyedRecord]) -> None:
        """Apply the newest record of each key of a store that came back from an older copy.

        Records of earlier eras that are newer than those of the copy stay in force.

        Args:
            page: The page, the first of its era.
            before: The newest record of each key in the era before.
        """

    def held(self) -> tuple[KeyedRecord, ...]:
        """Return the records of earlier eras that are in force against the store's own."""

    def apply_held(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply records that a peer holds against those of the store."""
