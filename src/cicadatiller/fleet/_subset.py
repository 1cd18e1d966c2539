"""Deterministic subsetting: which targets an entry uses, and with which entries it shares them.

Serves fleets with many entries. If every entry used every target, each would have to tell all
others of each request, and many entries would compete for the last slots of the same targets. With
subsets, a target is shared by `SHARING_ENTRIES` entries whatever the size of the fleet, and an
entry exchanges its load with less than twice as many peers.

Entries and targets are placed at equal distances on a ring, in an order that every entry computes
alike. An entry uses the targets that follow its own position, so the subsets of neighbours overlap
and a loaded entry shares its targets with several others. All sizes are balanced, and a change of
the fleet moves few targets between subsets.
"""

from collections import defaultdict
from collections.abc import Iterable

from ..kernel import rendezvous_weight
from ._directory import Target, TargetDirectory

SHARING_ENTRIES = 8
# A pool with fewer targets is used completely by every entry, and a larger one in parts of at least
# this size, so that a subset can serve long prompts and lose some of its targets.
MIN_SUBSET_TARGETS = 12
RING_KEY = "ring"


def ring_order(names: Iterable[str]) -> tuple[str, ...]:
    """Return names in their order on the ring, which does not depend on data centres or roles."""
    return tuple(sorted(names, key=_ring_key))


def _ring_key(name: str) -> tuple[int, str]:
    return rendezvous_weight(RING_KEY, name), name


def subset_width(entries: int, targets: int) -> float:
    """Return the share of a pool that each entry uses."""
    if entries <= SHARING_ENTRIES or targets <= MIN_SUBSET_TARGETS:
        return 1.0
    return max(SHARING_ENTRIES / entries, MIN_SUBSET_TARGETS / targets)


def in_subset(*, rank: int, entries: int, position: float, width: float) -> bool:
    """Return whether an entry uses a target.

    Args:
        rank: The entry's index in the order on the ring.
        entries: The number of entries.
        position: The target's position on the ring, from 0 to 1.
        width: The share of the ring that the entry uses.
    """
    return width >= 1.0 or (position - rank / entries) % 1.0 < width


class TargetSubset:
    """The targets that one entry uses, and the peers that it shares them with.

    Args:
        name: The entry's name.
        directory: The known targets.

    Attributes:
        entries: The names of all entries in their order on the ring, this one included.
    """

    def __init__(self, *, name: str, directory: TargetDirectory) -> None:
        self.entries: tuple[str, ...] = (name,)
        self._name = name
        self._directory = directory
        self._ranks = {name: 0}
        self._revision = -1
        self._pools: dict[str, list[Target]] = {}
        self._widths: dict[str, float] = {}
        self._positions: dict[str, float] = {}
        # Kept between changes, as a fleet of thousands of targets often has some that change.
        self._ring_keys: dict[str, tuple[int, str]] = {}

    def set_entries(self, names: Iterable[str]) -> None:
        """Set the names of all entries; this entry is added if it is missing."""
        self.entries = ring_order({self._name, *names})
        self._ranks = {name: rank for rank, name in enumerate(self.entries)}
        self._revision = -1

    @property
    def peers(self) -> tuple[str, ...]:
        """Return the names of the entries that may use the same targets."""
        count = len(self.entries)
        rank = self._ranks[self._name]
        steps = range(1 - SHARING_ENTRIES, SHARING_ENTRIES)
        indexes = {(rank + step) % count for step in steps} - {rank}
        return tuple(self.entries[index] for index in sorted(indexes))

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of a service that this entry uses, without leaving and evacuated ones."""
        self._refresh()
        return list(self._pools.get(service, ()))

    @property
    def size(self) -> int:
        """Return the number of targets, of all services, that this entry uses."""
        self._refresh()
        return sum(len(pool) for pool in self._pools.values())

    def users(self, target_id: str, entries: Iterable[str]) -> list[str]:
        """Return those of `entries` that use a target; unknown entries are taken to use it."""
        self._refresh()
        target = self._directory.find(target_id)
        position = self._positions.get(target_id)
        if target is None or position is None:
            return []
        width = self._widths[target.record.service]
        return [name for name in entries if self._is_used(name, position, width)]

    def _is_used(self, entry: str, position: float, width: float) -> bool:
        rank = self._ranks.get(entry)
        if rank is None:
            return True
        return in_subset(rank=rank, entries=len(self.entries), position=position, width=width)

    def _refresh(self) -> None:
        if self._revision == self._directory.revision:
            return
        self._revision = self._directory.revision
        self._pools.clear()
        self._widths.clear()
        self._positions.clear()
        pools: dict[str, dict[str, Target]] = defaultdict(dict)
        for target in self._directory.targets():
            if target.accepts_work and not target.is_evacuated:
                pools[target.record.service][target.instance_id] = target
        ring_keys = self._ring_keys
        self._ring_keys = {}
        for service, pool in pools.items():
            for target_id in pool:
                self._ring_keys[target_id] = ring_keys.get(target_id) or _ring_key(target_id)
            self._pools[service] = self._choose(service, pool)

    def _choose(self, service: str, pool: dict[str, Target]) -> list[Target]:
        entries = len(self.entries)
        rank = self._ranks[self._name]
        width = self._widths[service] = subset_width(entries, len(pool))
        chosen = []
        for index, target_id in enumerate(sorted(pool, key=self._ring_keys.__getitem__)):
            position = self._positions[target_id] = (index + 0.5) / len(pool)
            if in_subset(rank=rank, entries=entries, position=position, width=width):
                chosen.append(pool[target_id])
        return chosen
