"""Exchange of what entries learn of targets between an entry and its peers."""

import asyncio
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from ..fleet import Target, TargetDirectory
from ..mesh import TargetCold, TargetFailure, TargetLeaving, TargetPace, TargetRate, Update
from ..placement import LoadBoard
from ._target_notices import log_rate


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetNews:
    """What this entry has learnt of targets since it last told its peers; see `Update`."""

    failures: tuple[TargetFailure, ...] = ()
    paces: tuple[TargetPace, ...] = ()
    leaving: tuple[TargetLeaving, ...] = ()
    rates: tuple[TargetRate, ...] = ()
    cold: tuple[TargetCold, ...] = ()

    @property
    def needs_offsets(self) -> bool:
        """Return whether an update with it has to have `known_offsets`."""
        return bool(self.leaving or self.rates or self.cold)


class TargetSync:
    """Collects what this entry learns of targets, and applies what its peers learnt.

    Args:
        board: The load of each target.
        directory: The known targets.
        on_pending: Called when there is something to tell the peers.
        on_peer_cold: Called with the peer, the target and the remaining time if a target stated to
            a peer that it is cold.
        cold: Returns the targets that are cold.
    """

    def __init__(
        self,
        *,
        board: LoadBoard,
        directory: TargetDirectory,
        on_pending: Callable[[], None],
        on_peer_cold: Callable[[str, Target, float], None] = lambda peer, target, remaining_s: None,
        cold: Callable[[], Iterable[Target]] = tuple,
    ) -> None:
        self._board = board
        self._directory = directory
        self._on_pending = on_pending
        self._on_peer_cold = on_peer_cold
        self._cold = cold
        self._loop = asyncio.get_running_loop()
        self._news = TargetNews()

    def target_failed(self, target_id: str, reason: str, *, is_helper: bool = False) -> None:
        """Announce to the peers that a target failed as host or as helper."""
        failure = TargetFailure(target_id=target_id, reason=reason, is_helper=is_helper)
        self._add(failures=(*self._news.failures, failure))

    def target_pace_changed(self, target_id: str, pace: float) -> None:
        """Announce to the peers the pace that a target reported."""
        self._add(paces=(*self._news.paces, TargetPace(target_id=target_id, pace=pace)))

    def target_leaving(self, target: Target) -> None:
        """Announce to the peers a target that stated in a response that it leaves."""
        self._add(leaving=(*self._news.leaving, _to_leaving(target)))

    def target_rate_stated(self, target: Target) -> None:
        """Announce to the peers the rate of requests that a target takes."""
        self._add(rates=(*self._news.rates, _to_rate(target, self._loop.time())))

    def limited_target_used(self, target: Target) -> None:
        """Announce to the peers an order or a report that counts against a target's rate."""
        self._add(rates=(*self._news.rates, _to_rate(target, self._loop.time(), sends=1)))

    def target_cold(self, target: Target, remaining_s: float) -> None:
        """Announce to the peers a target that stated in a response that it is cold."""
        self._add(cold=(*self._news.cold, _to_cold(target, remaining_s)))

    def take(self) -> TargetNews:
        """Return what the peers have to be told, which then counts as told."""
        news, self._news = self._news, TargetNews()
        return news

    def snapshot(self) -> TargetNews:
        """Return what a peer has to be told on a new link."""
        now_s = self._loop.time()
        return TargetNews(
            leaving=tuple(map(_to_leaving, self._directory.announced_leaving())),
            rates=tuple(_to_rate(target, now_s) for target in self._directory.limited()),
            cold=tuple(
                _to_cold(t, t.availability.cold_start.remaining_s(now_s)) for t in self._cold()
            ),
        )

    def apply(self, name: str, update: Update) -> None:
        """Apply what a peer learnt of targets."""
        now_s = self._loop.time()
        for failure in update.failures:
            self._apply_failure(name, failure, now_s)
        for run in update.leaving:
            self._directory.record_leaving(run.target_id, run.started_ms, source=name)
        for rate in update.rates:
            self._apply_rate(name, rate, now_s)
        for cold in update.cold:
            self._apply_cold(name, cold)
        for paced in update.paces:
            self._board.load(paced.target_id).record_pace(paced.pace)

    def _add(self, **changes: tuple[object, ...]) -> None:
        self._news = replace(self._news, **changes)  # type: ignore[arg-type]
        self._on_pending()

    def _apply_rate(self, name: str, stated: TargetRate, now_s: float) -> None:
        availability = self._directory.availability_of(stated.target_id, stated.started_ms)
        if availability is None:
            return
        rate_per_s = math.inf if stated.rate_per_s is None else stated.rate_per_s
        rate = availability.rate
        was_limited = rate.is_limited
        rate.record_told(rate_per_s, now_s - stated.age_s, now_s)
        if rate.take_news(now_s):
            log_rate(stated.target_id, rate.rate_per_s, source=name)
            # Only the beginning of a limit is passed on: each entry that uses the target learns
            # from its own requests how it goes on.
            if not was_limited:
                self._add(rates=(*self._news.rates, replace(stated, sends=0)))
        for _ in range(stated.sends):
            rate.record_send(now_s)

    def _apply_cold(self, name: str, stated: TargetCold) -> None:
        target = self._directory.find(stated.target_id)
        if target is not None and target.record.started_ms == stated.started_ms:
            self._on_peer_cold(name, target, stated.remaining_s)

    def _apply_failure(self, name: str, failure: TargetFailure, now_s: float) -> None:
        target = self._directory.find(failure.target_id)
        if target is None:
            return
        if failure.is_helper:
            target.record_help_failure(now_s)
        else:
            target.breaker.record_peer_failure(name, now_s)


def _to_leaving(target: Target) -> TargetLeaving:
    return TargetLeaving(target_id=target.instance_id, started_ms=target.record.started_ms)


def _to_rate(target: Target, now_s: float, sends: int = 0) -> TargetRate:
    rate = target.availability.rate
    return TargetRate(
        target_id=target.instance_id,
        started_ms=target.record.started_ms,
        rate_per_s=rate.rate_per_s if rate.is_limited else None,
        age_s=rate.age_s(now_s),
        sends=sends,
    )


def _to_cold(target: Target, remaining_s: float) -> TargetCold:
    return TargetCold(
        target_id=target.instance_id,
        started_ms=target.record.started_ms,
        remaining_s=remaining_s,
    )
