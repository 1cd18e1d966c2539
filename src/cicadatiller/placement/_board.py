"""What every target has to do, as far as this entry knows."""

import math
from collections.abc import Iterable

from ._work import Work

MAX_PACE = 50.0
CALL_GAIN = 0.25
RECENT_S = 5.0


class TargetLoad:
    """The work of one target.

    Attributes:
        works: By id.
        read_free_s: When all reading that is known will be done, by the loop's time.
        pace: How much slower the target is than its model says; 1 if it is as fast.
        call_s: The smoothed time that calls took.
        call_at_s: When the last of them ended.
        freed_by_peer_s: When a request of a peer ended here last.
    """

    def __init__(self) -> None:
        self.works: dict[str, Work] = {}
        self.read_free_s = 0.0
        self.pace = 1.0
        self.call_s = 0.0
        self.call_at_s = -math.inf
        self.freed_by_peer_s = -math.inf
        self._recent: dict[str, Work] = {}

    @property
    def in_flight(self) -> int:
        """Return how many requests it has, parts of others' prompts left out."""
        return sum(work.writes for work in self.works.values())

    @property
    def helping(self) -> int:
        """Return of how many prompts it reads a part."""
        return sum(not work.writes for work in self.works.values())

    @property
    def kv_tokens(self) -> int:
        """Return the memory that its work needs."""
        return sum(work.kv_tokens for work in self.works.values())

    @property
    def context_tokens(self) -> int:
        """Return the sum of the contexts of what it writes."""
        return sum(work.context_tokens for work in self.works.values() if work.has_begun)

    def writers(self) -> list[Work]:
        """Return the requests whose output is being written."""
        return [work for work in self.works.values() if work.writes and work.has_begun]

    def unread(self) -> list[Work]:
        """Return the work whose prompt is still to be read."""
        return [work for work in self.works.values() if not work.has_begun]

    def read_wait_s(self, now_s: float) -> float:
        """Return how long the reading that is known will take."""
        return max(0.0, self.read_free_s - now_s)

    def note_pace(self, pace: float) -> None:
        """Take how fast the target is, as a multiple of its model's times."""
        self.pace = min(MAX_PACE, max(1.0, pace))

    def note_call(self, taken_s: float, now_s: float) -> None:
        """Take how long a call took."""
        gain = CALL_GAIN if self.call_s else 1.0
        self.call_s += gain * (taken_s - self.call_s)
        self.call_at_s = now_s

    def recent(self, since_s: float) -> list[Work]:
        """Return what was placed since a time, work that is over included; at most `RECENT_S`."""
        return [work for work in self._recent.values() if work.placed_s >= since_s]

    def add(self, work: Work) -> None:
        """Take one work."""
        self._note_recent(work)
        begin_s = max(work.placed_s, self.read_free_s)
        work.read_ends_s = begin_s + work.read_s * self.pace
        if not work.has_begun:
            self.read_free_s = work.read_ends_s
        self.works[work.work_id] = work

    def begin(self, work_id: str, now_s: float) -> None:
        """Note that the prompt of a work has been read."""
        work = self.works.get(work_id)
        if work is None or work.has_begun:
            return
        work.has_begun = True
        self._end_read(work, now_s)

    def remove(self, work_id: str, now_s: float) -> None:
        """Forget a work."""
        work = self.works.pop(work_id, None)
        if work is not None and not work.has_begun:
            self._end_read(work, now_s)

    def _note_recent(self, work: Work) -> None:
        old = [
            work_id
            for work_id, other in self._recent.items()
            if other.placed_s < work.placed_s - RECENT_S
        ]
        for work_id in old:
            del self._recent[work_id]
        self._recent[work.work_id] = work

    def _end_read(self, work: Work, now_s: float) -> None:
        saved_s = work.read_ends_s - max(now_s, work.read_ends_s - work.read_s * self.pace)
        if saved_s <= 0:
            return
        self.read_free_s -= saved_s
        for other in self.works.values():
            if not other.has_begun and other.read_ends_s > work.read_ends_s:
                other.read_ends_s -= saved_s


class LoadBoard:
    """The work of all targets, this entry's own and what others tell."""

    def __init__(self) -> None:
        self._loads: dict[str, TargetLoad] = {}

    def load(self, target_id: str) -> TargetLoad:
        """Return the load of a target."""
        load = self._loads.get(target_id)
        if load is None:
            load = self._loads[target_id] = TargetLoad()
        return load

    @property
    def in_flight(self) -> int:
        """Return how many requests all targets have."""
        return sum(load.in_flight for load in self._loads.values())

    def add(self, works: Iterable[Work]) -> None:
        """Take the parts of a request."""
        for work in works:
            self.load(work.target_id).add(work)

    def begin(self, work_id: str, target_ids: Iterable[str], now_s: float) -> None:
        """Note the first event of a request: all its parts have been read."""
        for target_id in target_ids:
            load = self._loads.get(target_id)
            if load is None:
                continue
            work = load.works.get(work_id)
            load.begin(work_id, now_s)
            if work is not None and not work.writes and not work.kv_tokens:
                load.remove(work_id, now_s)

    def remove(
        self, work_id: str, target_ids: Iterable[str], now_s: float, *, by_peer: bool = False
    ) -> None:
        """Forget a request.

        Args:
            work_id: Its work.
            target_ids: The targets that had a part of it.
            now_s: The time.
            by_peer: Whether it was a peer's.
        """
        for target_id in target_ids:
            load = self._loads.get(target_id)
            if load is None:
                continue
            load.remove(work_id, now_s)
            if by_peer:
                load.freed_by_peer_s = now_s

    def remove_owner(self, owner: str, now_s: float) -> None:
        """Forget all work of an entry that is gone."""
        for load in self._loads.values():
            for work in [work for work in load.works.values() if work.owner == owner]:
                load.remove(work.work_id, now_s)

    def forget_target(self, target_id: str) -> None:
        """Drop what is known of a target."""
        self._loads.pop(target_id, None)
