"""The sink that applies the operator's evacuations.

After the store came back from an older copy, an evacuation that the copy lacks stays in force until
the operator writes again.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from ..fleet import KeyedPage, KeyedRecord
from ..kernel import Event, log_event

# For this time an evacuation that the store's copy lacks stays in force.
LOST_RECORD_HOLD_S = 30.0


class EvacuationSink:
    """Keeps the names of the evacuated data centres.

    Args:
        find_data_centre: Returns the data centre that a key of the operator's topic evacuates;
            None for the other keys.
        on_change: Called with the evacuated data centres when they have changed.

    Attributes:
        evacuated: The names of the evacuated data centres.
    """

    def __init__(
        self,
        *,
        find_data_centre: Callable[[str], str | None],
        on_change: Callable[[frozenset[str]], None],
    ) -> None:
        self.evacuated: frozenset[str] = frozenset()
        self._find_data_centre = find_data_centre
        self._on_change = on_change
        self._listed: dict[str, KeyedRecord] = {}
        # The records of earlier eras that the store's copy lacks.
        self._held: dict[str, KeyedRecord] = {}
        self._hold_until_s = float("-inf")
        # The keys of the records, and removals, that were written since the copy was read.
        self._written_in_era: set[str] = set()

    def apply(self, record: KeyedRecord, *, grace_s: float = 0.0) -> None:
        """Apply one evacuation or its end; `grace_s` has no effect."""
        if self._find_data_centre(record.key) is None:
            return
        self._written_in_era.add(record.key)
        self._held.pop(record.key, None)
        if record.value is None:
            self._listed.pop(record.key, None)
        else:
            self._listed[record.key] = record
        self._update()

    def replace(self, page: KeyedPage, *, grace_s: float = 0.0) -> None:
        """Apply a page with the newest record of each key; evacuations not in it have ended.

        What `merge` kept stays.
        """
        self._listed = self._select(page.records)
        self._held = _without(self._held, self._listed)
        self._update()

    def merge(self, page: KeyedPage, *, before: Mapping[str, KeyedRecord]) -> None:
        """Apply the first page of a new era; evacuations that are known and not in it stay."""
        known = self._held | self._listed
        self._listed = self._select(page.records)
        self._held = _without(known, self._listed)
        self._written_in_era.clear()
        self._start_hold()
        self._update()

    def held(self) -> tuple[KeyedRecord, ...]:
        """Return the evacuations that are in force though the store's copy lacks them."""
        return tuple(self._held.values())

    def apply_held(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply evacuations that a peer holds against the store's copy."""
        loop = asyncio.get_running_loop()
        if self._hold_until_s == float("-inf"):
            self._start_hold()
        if loop.time() >= self._hold_until_s:
            return
        added = self._select(records)
        self._held |= _without(_without(added, self._listed), self._written_in_era)
        self._update()

    def _select(self, records: Iterable[KeyedRecord]) -> dict[str, KeyedRecord]:
        return {
            record.key: record
            for record in records
            if record.value is not None and self._find_data_centre(record.key) is not None
        }

    def _start_hold(self) -> None:
        loop = asyncio.get_running_loop()
        self._hold_until_s = loop.time() + LOST_RECORD_HOLD_S
        loop.call_at(self._hold_until_s, self._end_hold, self._hold_until_s)

    def _end_hold(self, hold_until_s: float) -> None:
        if hold_until_s == self._hold_until_s:
            self._held.clear()
            self._update()

    def _update(self) -> None:
        names = (self._find_data_centre(key) for key in self._listed | self._held)
        evacuated = frozenset(name for name in names if name is not None)
        if evacuated == self.evacuated:
            return
        for name in sorted(evacuated - self.evacuated):
            log_event(Event.EVACUATION_STARTED, data_centre=name)
        for name in sorted(self.evacuated - evacuated):
            log_event(Event.EVACUATION_ENDED, data_centre=name)
        self.evacuated = evacuated
        self._on_change(evacuated)


def _without(records: Mapping[str, KeyedRecord], keys: Iterable[str]) -> dict[str, KeyedRecord]:
    excluded = set(keys)
    return {key: record for key, record in records.items() if key not in excluded}
