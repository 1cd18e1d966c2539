"""The records of a topic that an entry knows, and the pages for entries that are behind."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..fleet import KeyedPage, KeyedRecord

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
        next_offset: First offset that is not known; None until a page was applied.
    """

    def __init__(self) -> None:
        self.next_offset: int | None = None
        self._newest: dict[str, KeyedRecord] = {}
        self._removals: dict[str, KeyedRecord] = {}
        # Removals before this offset are no longer known.
        self._removals_from_offset = 0

    def add(self, page: KeyedPage) -> list[KeyedRecord]:
        """Add a page and return the newest of its records of each key, without known ones."""
        known = self.next_offset or 0
        added = {record.key: record for record in page.records if record.offset >= known}
        for record in added.values():
            self._add(record)
        self.next_offset = max(known, page.next_offset)
        return list(added.values())

    def replace(self, page: KeyedPage) -> None:
        """Keep only the records of a page that has the newest of every key."""
        self._newest = {record.key: record for record in page.records if record.value is not None}
        self._removals.clear()
        self._removals_from_offset = page.next_offset
        self.next_offset = max(self.next_offset or 0, page.next_offset)

    def forget_removals_before(self, offset: int) -> None:
        """Note that removals before an offset are not known."""
        self._removals_from_offset = offset

    def page_since(self, offset: int, *, complete_until: int, max_bytes: int) -> CatchUpPage | None:
        """Return what an entry lacks that has read up to `offset`; None if it lacks nothing.

        Args:
            offset: The entry's next offset; 0 if it has read nothing.
            complete_until: The offset up to which it knows all removals; 0 if it had no records
                before the first page.
            max_bytes: The size of the values after which a page ends, unless it is complete.
        """
        if self.next_offset is None or offset >= self.next_offset:
            return None
        if 0 < complete_until < self._removals_from_offset:
            return CatchUpPage(page=self._page(self._newest.values()), is_complete=True)
        changed = [r for r in self._newest.values() if r.offset >= offset]
        changed += [r for r in self._removals.values() if r.offset >= offset]
        changed.sort(key=lambda record: record.offset)
        size_bytes = 0
        for count, record in enumerate(changed, 1):
            size_bytes += len(record.value or b"")
            if size_bytes >= max_bytes and count < len(changed):
                part = KeyedPage(records=tuple(changed[:count]), next_offset=record.offset + 1)
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
        return KeyedPage(records=tuple(ordered), next_offset=self.next_offset or 0)
