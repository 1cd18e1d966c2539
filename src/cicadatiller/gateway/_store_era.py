"""The era of the store, which the followers of an entry share."""

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from ..fleet import UNSTATED_ERA, Topic
from ..kernel import Event, log_event


class StoreEra:
    """The newest era of the store that was seen in a response of it or heard of from a peer.

    Attributes:
        newest: The era; None before the first.
    """

    def __init__(self) -> None:
        self.newest: int | None = None
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, on_rise: Callable[[], None]) -> None:
        """Call `on_rise` whenever the era has risen."""
        self._listeners.append(on_rise)

    def observe(self, era: int) -> None:
        """Record an era; one that is not newer than all before has no effect."""
        before = self.newest
        if before is not None and era <= before:
            return
        self.newest = era
        # The first one that is stated need not be that of a copy.
        if before:
            log_event(Event.STORE_ERA_CHANGED, era=era, before=before)
        for on_rise in self._listeners:
            on_rise()


class EraReader(Protocol):
    """Reads records again when the store's era rises."""

    era: StoreEra

    @property
    def next_offset(self) -> int | None:
        """Return the offset of the next read; None before the first."""

    def era_risen(self) -> None:
        """Read all records again if those that are known are of an earlier era."""


def share_era(readers: Iterable[EraReader]) -> StoreEra:
    """Let the readers of one store share its era, and return it."""
    era = StoreEra()
    for reader in readers:
        reader.era = era
        era.add_listener(reader.era_risen)
    return era


def store_gauges(readers: Mapping[Topic, EraReader]) -> dict[str, float]:
    """Return the metrics of the position in the store, by name."""
    gauges: dict[str, float] = {}
    for topic, reader in readers.items():
        gauges["store_era"] = reader.era.newest or UNSTATED_ERA
        gauges[f"store_offset_{topic.value}"] = reader.next_offset or 0
    return gauges
