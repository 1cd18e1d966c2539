"""The records of a topic that an entry knows, and the pages for entries that are behind."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..fleet import KeyedPage, KeyedRecord, StorePosition

# The removals that are kept for peers that are behind.
MAX_REMOVALS = 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class CatchUpPage:
    """Records for an entry that is behind.

    Attributes:
        page: The newest record of each key that changed, or of every key, and removals.
        is_complete: Whether `page` has the newest record of every key.
    """

    page: KeyedPage
    is_complete: bool


class KnownRecords:
    """The newest record of each key, and the newest removals.

    Attributes:
        position: The first position that is not known; None until a page was applied.
    """

    def __init__(self) -> None:
        self.position: StorePosition | None = None
        self._newest: dict[str, KeyedRecord] = {}
        self._removals: dict[str, KeyedRecord] = {}
        # Removals before this offset of the position's era are no longer known.
        self._removals_from_offset = 0

    @property
    def newest(self) -> Mapping[str, KeyedRecord]:
        """Return the newest record of each key."""
        return self._newest

    def add(self, page: KeyedPage) -> list[KeyedRecord]:
        """Add a page and return the newest of its records of each key, without known ones.

        Args:
            page: A page of the position's era, or the first page.
        """
        known = self.position or StorePosition(era=page.era)
        added = {record.key: record for record in page.records if record.offset >= known.offset}
        for record in added.values():
            self._add(record)
        self.position = max(known, page.end)
        return list(added.values())

    def replace(self, page: KeyedPage) -> None:
        """Keep only the records of a page that has the newest of every key, at a new position."""
        self._newest = {record.key: record for record in page.records if record.value is not None}
        self._removals.clear()
        self._removals_from_offset = page.next_offset
        self.position = page.end

    def forget_removals_before(self, offset: int) -> None:
        """Note that removals before an offset are not known."""
        self._removals_from_offset = offset

    def page_since(
        self, position: StorePosition, *, complete_until: int, max_bytes: int
    ) -> CatchUpPage | None:
        """Return what an entry lacks that has read up to a position; None if it lacks nothing.

        Args:
            position: The entry's position; its offset is 0 if the entry has read nothing.
            complete_until: The offset, in the era of `position`, up to which it knows all removals;
                0 if it had no records before the first page.
            max_bytes: The size of the values after which a page ends, unless it is complete.
        """
        if self.position is None or position >= self.position:
            return None
        is_of_earlier_era = position.offset > 0 and position.era < self.position.era
        if is_of_earlier_era or 0 < complete_until < self._removals_from_offset:
            return CatchUpPage(page=self._page(self._newest.values()), is_complete=True)
        offset = position.offset
        changed = [r for r in self._newest.values() if r.offset >= offset]
        changed += [r for r in self._removals.values() if r.offset >= offset]
        changed.sort(key=lambda record: record.offset)
        size_bytes = 0
        for count, record in enumerate(changed, 1):
            size_bytes += len(record.value or b"")
            if size_bytes >= max_bytes and count < len(changed):
                part = KeyedPage(
                    records=tuple(changed[:count]),
                    next_offset=record.offset + 1,
                    era=self.position.era,
                )
                return CatchUpPage(page=part, is_complete=False)
        return CatchUpPage(page=self._page(changed), is_complete=False)

    def _add(self, record: KeyedRecord) -> None:
        self._removals.pop(record.key, None)
        if record.value is not None:
            self._newest[record.key] = record
            return
        self._newest.pop(record.key, None)
        self._removals[record.key] = record
        if len(self._removals) > MAX_REMOVALS:
            oldest = self._removals.pop(next(iter(self._removals)))
            self._removals_from_offset = max(self._removals_from_offset, oldest.offset + 1)

    def _page(self, records: Iterable[KeyedRecord]) -> KeyedPage:
        ordered = sorted(records, key=lambda record: record.offset)
        end = self.position or StorePosition()
        return KeyedPage(records=tuple(ordered), next_offset=end.offset, era=end.era)
