"""The load of every target, as far as this entry knows."""

import math
from collections.abc import Iterable

from ._slots import SlotUse
from ._work import Work

MAX_PACE = 50.0
CALL_GAIN = 0.25
RECENT_WINDOW_S = 5.0
# A request that a peer placed within this time before another one of its requests ended has the
# slot of that one.
MAX_SLOT_REUSE_DELAY_S = 0.01
RATE_WINDOWS_S = (0.5, 3.0)


class TargetUse:
    """What the work on one target uses at a moment.

    Attributes:
        in_flight: The requests hosted there.
        helped_prompts: The prompts for which the target is a helper.
        kv_tokens: The KV cache tokens that all its work needs.
        context_tokens: The context tokens of work whose first event was seen.
        decoding: The requests that are decoding there.
        awaiting_prefill: The work whose prefill is not known to be complete.
    """

    __slots__ = (
        "awaiting_prefill",
        "context_tokens",
        "decoding",
        "helped_prompts",
        "in_flight",
        "kv_tokens",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.helped_prompts = 0
        self.kv_tokens = 0
        self.context_tokens = 0
        self.decoding: list[Work] = []
        self.awaiting_prefill: list[Work] = []


class TargetLoad:
    """The load of one target.

    All times are on the event loop's clock.

    Attributes:
        works: The target's work by work id.
        prefill_free_s: When the target is expected to finish all known prefill.
        pace: Slowdown factor against the engine model; 1.0 is as modelled, at most `MAX_PACE`.
        smoothed_call_s: Exponentially smoothed duration of calls.
        last_call_end_s: When the most recent call ended.
        freed_by_peer_s: When a request that a peer placed here last ended.
    """

    def __init__(self) -> None:
        self.works: dict[str, Work] = {}
        self.prefill_free_s = 0.0
        self.pace = 1.0
        self.smoothed_call_s = 0.0
        self.last_call_end_s = -math.inf
        self.freed_by_peer_s = -math.inf
        self._use: TargetUse | None = None
        self._recent: dict[str, Work] = {}
        self._slot_use = SlotUse()

    @property
    def in_flight(self) -> int:
        """Return the number of requests hosted here, without prefill done as a helper."""
        return self.use().in_flight

    @property
    def helped_prompts(self) -> int:
        """Return the number of prompts for which this target is a helper."""
        return self.use().helped_prompts

    @property
    def kv_tokens(self) -> int:
        """Return the KV cache tokens that all work here needs."""
        return self.use().kv_tokens

    @property
    def context_tokens(self) -> int:
        """Return the total context tokens of work whose first event was seen."""
        return self.use().context_tokens

    def use(self) -> "TargetUse":
        """Return what the work here uses; it is counted again after each change."""
        if self._use is None:
            self._use = self._count_use()
        return self._use

    def _count_use(self) -> "TargetUse":
        use = TargetUse()
        for work in self.works.values():
            use.kv_tokens += work.kv_tokens
            if work.writes:
                use.in_flight += 1
            else:
                use.helped_prompts += 1
            if not work.has_begun:
                use.awaiting_prefill.append(work)
                continue
            use.context_tokens += work.context_tokens
            if work.writes:
                use.decoding.append(work)
        return use

    def decoding(self) -> list[Work]:
        """Return the requests that are decoding here."""
        return self.use().decoding

    def awaiting_prefill(self) -> list[Work]:
        """Return the work whose prefill is not known to be complete."""
        return self.use().awaiting_prefill

    def prefill_wait_s(self, now_s: float) -> float:
        """Return the time until all known prefill is expected to finish."""
        return max(0.0, self.prefill_free_s - now_s)

    def record_pace(self, pace: float) -> None:
        """Store the target's slowdown factor, limited to between 1.0 and `MAX_PACE`."""
        self.pace = min(MAX_PACE, max(1.0, pace))

    def record_call(self, duration_s: float, now_s: float) -> None:
        """Update the smoothed call duration with one observation."""
        gain = CALL_GAIN if self.smoothed_call_s else 1.0
        self.smoothed_call_s += gain * (duration_s - self.smoothed_call_s)
        self.last_call_end_s = now_s

    def slot_use(self, now_s: float) -> SlotUse:
        """Return the recent use of the target's slots, up to now."""
        self._slot_use.advance(self.in_flight, now_s)
        return self._slot_use

    def record_peer_end(self, owner: str, now_s: float) -> None:
        """Record that a request of a peer ended, and whether the peer used its slot again at once.

        The update that ends a request places the next one first.

        Args:
            owner: The peer.
            now_s: The loop time.
        """
        use = self.slot_use(now_s)
        use.peer_ends += 1
        if any(
            work.writes and work.owner == owner and now_s - work.placed_s < MAX_SLOT_REUSE_DELAY_S
            for work in self.works.values()
        ):
            use.reused_by_peers += 1

    def recent(self, since_s: float) -> list[Work]:
        """Return the work placed since `since_s`, finished work included.

        Goes back at most `RECENT_WINDOW_S`.
        """
        return [work for work in self._recent.values() if work.placed_s >= since_s]

    def recent_rate_of_others_per_s(self, owner: str, now_s: float) -> float:
        """Return the rate at which others than `owner` recently placed requests to be hosted.

        It is the highest rate in any of `RATE_WINDOWS_S`, so that it rises at once in a burst.
        """
        placed_s = [w.placed_s for w in self._recent.values() if w.writes and w.owner != owner]
        if not placed_s:
            return 0.0
        return max(
            sum(time_s >= now_s - window_s for time_s in placed_s) / window_s
            for window_s in RATE_WINDOWS_S
        )

    def add(self, work: Work) -> None:
        """Add work; its prefill is assumed to start after all known prefill."""
        self._slot_use.advance(self.in_flight, work.placed_s)
        self._record_recent(work)
        begin_s = max(work.placed_s, self.prefill_free_s)
        work.prefill_begin_s = begin_s
        work.prefill_end_s = begin_s + work.read_s * self.pace
        if not work.has_begun:
            self.prefill_free_s = work.prefill_end_s
        self.works[work.work_id] = work
        self._use = None

    def record_first_event(self, work_id: str, now_s: float) -> None:
        """Record the first event of a request: its prefill here is complete."""
        work = self.works.get(work_id)
        if work is None or work.has_begun:
            return
        work.has_begun = True
        self._use = None
        self._end_prefill(work, now_s)

    def remove(self, work_id: str, now_s: float) -> None:
        """Remove work and release the prefill time that it did not use."""
        work = self.works.get(work_id)
        if work is None:
            return
        use = self.slot_use(now_s)
        # A prompt that ends before its first event was refused or given up by its caller.
        if work.writes and (work.has_begun or not work.read_s):
            use.ends += 1
        del self.works[work_id]
        self._use = None
        if not work.has_begun:
            self._end_prefill(work, now_s)

    def _record_recent(self, work: Work) -> None:
        old = [
            work_id
            for work_id, other in self._recent.items()
            if other.placed_s < work.placed_s - RECENT_WINDOW_S
        ]
        for work_id in old:
            del self._recent[work_id]
        self._recent[work.work_id] = work

    def _end_prefill(self, work: Work, now_s: float) -> None:
        saved_s = work.prefill_end_s - max(now_s, work.prefill_begin_s)
        if saved_s <= 0:
            return
        self.prefill_free_s -= saved_s
        for other in self.works.values():
            if not other.has_begun and other.prefill_end_s > work.prefill_end_s:
                other.prefill_begin_s -= saved_s
                other.prefill_end_s -= saved_s


class LoadBoard:
    """The load of all targets: work that this entry placed and work that peers reported."""

    def __init__(self) -> None:
        self._loads: dict[str, TargetLoad] = {}

    def load(self, target_id: str) -> TargetLoad:
        """Return the load of a target, creating an empty one for an unknown target."""
        load = self._loads.get(target_id)
        if load is None:
            load = self._loads[target_id] = TargetLoad()
        return load

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight on all targets."""
        return sum(load.in_flight for load in self._loads.values())

    def add(self, works: Iterable[Work]) -> None:
        """Add the work of a request, one item per target."""
        for work in works:
            self.load(work.target_id).add(work)

    def record_first_event(self, work_id: str, target_ids: Iterable[str], now_s: float) -> None:
        """Record the first event of a request: all its members have completed prefill.

        Helpers that hold none of its KV cache are removed.
        """
        for target_id in target_ids:
            load = self._loads.get(target_id)
            if load is None:
                continue
            work = load.works.get(work_id)
            load.record_first_event(work_id, now_s)
            if work is not None and not work.writes and not work.kv_tokens:
                load.remove(work_id, now_s)

    def remove(
        self, work_id: str, target_ids: Iterable[str], now_s: float, *, by_peer: bool = False
    ) -> None:
        """Remove a request from its targets.

        Args:
            work_id: The work id that the request has on all its targets.
            target_ids: The host and the helpers.
            now_s: The time on the event loop's clock.
            by_peer: Whether a peer had placed the request.
        """
        for target_id in target_ids:
            load = self._loads.get(target_id)
            if load is None:
                continue
            work = load.works.get(work_id)
            load.remove(work_id, now_s)
            if by_peer:
                load.freed_by_peer_s = now_s
                if work is not None and work.writes:
                    load.record_peer_end(work.owner, now_s)

    def forget_target(self, target_id: str) -> None:
        """Discard the load of a target."""
        self._loads.pop(target_id, None)
