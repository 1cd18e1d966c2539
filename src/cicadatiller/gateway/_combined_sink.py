"""A sink that hands the records of one topic to the sinks of their kinds."""

from collections.abc import Mapping, Sequence

from ..fleet import KeyedPage, KeyedRecord
from ._topic_sink import TopicSink


class CombinedSink:
    """Applies the records of one topic to several sinks, of which each ignores foreign keys.

    Args:
        sinks: The sinks, in the order in which they get each record.
    """

    def __init__(self, *, sinks: Sequence[TopicSink]) -> None:
        self._sinks = tuple(sinks)

    def apply(self, record: KeyedRecord, *, grace_s: float) -> None:
        """Apply one record."""
        for sink in self._sinks:
            sink.apply(record, grace_s=grace_s)

    def replace(self, page: KeyedPage, *, grace_s: float) -> None:
        """Apply a page with the newest record of each key."""
        for sink in self._sinks:
            sink.replace(page, grace_s=grace_s)

    def merge(self, page: KeyedPage, *, before: Mapping[str, KeyedRecord]) -> None:
        """Apply the first page of a new era."""
        for sink in self._sinks:
            sink.merge(page, before=before)

    def held(self) -> tuple[KeyedRecord, ...]:
        """Return the records of earlier eras that are in force against the store's own."""
        return tuple(record for sink in self._sinks for record in sink.held())

    def apply_held(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply records that a peer holds against those of the store."""
        for sink in self._sinks:
            sink.apply_held(records)
