"""Applies what targets state about themselves in their responses."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from ..cold_start import ColdTargets
from ..egress import ConnectionPool, ResponseHead
from ..fleet import Target, TargetDirectory
from ..kernel import Event, log_event
from ..placement import LoadBoard
from ._wire import TargetNotice, WireCodec

MISDIRECTED = 421
MIN_PACE_CHANGE = 0.1


class NoticeListener(Protocol):
    """Receives what this entry was the first to learn from a target."""

    def target_leaving(self, target: Target) -> None:
        """Handle a target that stated in a response that it leaves."""

    def target_pace_changed(self, target_id: str, pace: float) -> None:
        """Handle the changed pace in a target's report."""

    def target_rate_stated(self, target: Target) -> None:
        """Handle the rate of requests that a target takes, if it changed or was not told lately."""

    def limited_target_used(self, target: Target) -> None:
        """Handle an order or a report that counts against the rate of a target."""


def log_rate(instance_id: str, rate_per_s: float, *, source: str) -> None:
    """Log the rate that a target takes; `source` is where this entry learnt it."""
    shown = rate_per_s if rate_per_s < math.inf else None
    log_event(Event.TARGET_LIMITED, target=instance_id, rate_per_s=shown, source=source)


class TargetNotices:
    """Applies the notices in response heads, and the pace in reports.

    Args:
        codec: Decodes the notices.
        directory: The known targets.
        pool: The connections to targets; the idle ones to leaving targets are closed.
        board: The load of each target.
        listener: Receives what the peers have to know.
        cold_targets: Gets the statements of targets that are cold.
        on_change: Called after a target began to refuse new work.
    """

    def __init__(
        self,
        *,
        codec: WireCodec,
        directory: TargetDirectory,
        pool: ConnectionPool,
        board: LoadBoard,
        listener: NoticeListener,
        cold_targets: ColdTargets,
        on_change: Callable[[], None],
    ) -> None:
        self._codec = codec
        self._directory = directory
        self._pool = pool
        self._board = board
        self._listener = listener
        self._cold_targets = cold_targets
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()

    def record_head(self, target: Target, head: ResponseHead, sent_s: float) -> None:
        """Apply the response head of a target that a request was sent to at `sent_s`."""
        notice = self._codec.decode_notice(head)
        if head.status == MISDIRECTED:
            # Another run listens at the address, and speaks for itself.
            successor = self._directory.find_at(target.record.address, other_than=target)
            if successor is not None:
                self._apply(successor, notice, sent_s)
            return
        self._apply(target, notice, sent_s)

    def record_head_at(self, address: str, head: ResponseHead) -> None:
        """Apply the response head to an order or a report, which are sent to an address.

        One that states no rate does not end it, as only responses to requests have to state it.
        """
        notice = self._codec.decode_notice(head)
        if notice.is_empty:
            # Spares the search through all targets for each order.
            return
        target = self._directory.find_at(address)
        if target is None:
            return
        is_limited = notice.rate_per_s not in (None, math.inf)
        now_s = self._loop.time()
        if not is_limited:
            notice = replace(notice, rate_per_s=None)
        self._apply(target, notice, sent_s=now_s)
        if is_limited:
            target.availability.rate.record_send(now_s)
            self._listener.limited_target_used(target)

    def record_pace(self, instance_id: str, pace: float) -> None:
        """Apply the pace in a target's report."""
        load = self._board.load(instance_id)
        before = load.pace
        load.record_pace(pace)
        if abs(load.pace - before) > MIN_PACE_CHANGE:
            log_event(Event.TARGET_PACE, target=instance_id, pace=round(pace, 2))
            self._listener.target_pace_changed(instance_id, pace)

    def close_idle(self) -> None:
        """Close the idle connections to leaving targets, as those whose last work has ended."""
        for target in self._directory.targets():
            if not target.accepts_work and self._listens(target):
                self._pool.close_idle(target.record.address)

    def gauges(self) -> dict[str, float]:
        """Return the number of targets that state that they take no new work."""
        now_s = self._loop.time()
        quiet = [t for t in self._directory.targets() if t.availability.is_quiet(now_s)]
        return {
            "targets_announced_leaving": len(self._directory.announced_leaving()),
            "targets_quiet": len(quiet),
            "targets_limited": len(self._directory.limited()),
        }

    def _apply(self, target: Target, notice: TargetNotice, sent_s: float) -> None:
        if notice.is_leaving:
            self._record_leaving(target)
        if notice.quiet_s > 0:
            self._record_quiet(target, notice.quiet_s)
        if notice.rate_per_s is not None:
            self._record_rate(target, notice.rate_per_s, sent_s)
        if notice.cold_s > 0:
            self._cold_targets.record_statement(target, notice.cold_s)

    def _record_rate(self, target: Target, rate_per_s: float, sent_s: float) -> None:
        rate, now_s = target.availability.rate, self._loop.time()
        has_changed = rate.record(rate_per_s, now_s, sent_s=sent_s)
        is_news = rate.take_news(now_s)
        if is_news:
            log_rate(target.instance_id, rate.rate_per_s, source="response")
        if is_news or rate.take_reminder(now_s):
            self._listener.target_rate_stated(target)
        if has_changed:
            self._on_change()

    def _record_leaving(self, target: Target) -> None:
        record = target.record
        if not self._directory.record_leaving(
            record.instance_id, record.started_ms, source="response"
        ):
            return
        self._pool.close_idle(record.address)
        self._listener.target_leaving(target)
        self._on_change()

    def _record_quiet(self, target: Target, quiet_s: float) -> None:
        now_s = self._loop.time()
        target.availability.record_quiet(now_s, quiet_s)
        left_s = target.availability.quiet_left_s(now_s)
        log_event(Event.TARGET_QUIET, target=target.instance_id, quiet_s=round(left_s, 3))
        self._on_change()

    def _listens(self, target: Target) -> bool:
        return self._directory.find_at(target.record.address) is target
