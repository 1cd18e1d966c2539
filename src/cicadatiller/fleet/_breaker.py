"""Circuit breakers for targets that fail or are far slower than their pool."""

import math
import random
import statistics
from collections.abc import Sequence
from typing import Protocol, TypeVar

from ..kernel import Event, log_event

FAILURES_TO_OPEN = 3
MIN_PROBE_DELAY_S = 1.0
MAX_PROBE_DELAY_S = 30.0
PROBE_TIMEOUT_S = 10.0
PROBE_JITTER = 0.3
MAX_EJECTED_SHARE = 0.34
SLOWNESS_GAIN = 0.2
MIN_SLOWNESS_SAMPLES = 8
OUTLIER_FACTOR = 4.0
MIN_POOL_FOR_OUTLIERS = 3
FAILURE_GAIN = 0.15
MIN_FAILURE_SAMPLES = 5
FAILURE_SHARE_TO_OPEN = 0.3
RELAPSE_WINDOW_S = 5.0
PEER_FAILURE_INTERVAL_S = 1.0


class Breaker:
    """The circuit breaker of one target.

    Opens after `FAILURES_TO_OPEN` consecutive failures, and closes after a successful probe. While
    it is open, single requests probe the target; the delay between probes doubles with each
    failure.

    Attributes:
        opened_s: When the breaker opened; None while it is closed.
        slowness: Smoothed ratio of observed to estimated time to first token.
        samples: Number of ratios in `slowness` since the breaker last closed.
        failure_share: Smoothed share of work that failed.
        outcomes: Number of outcomes in `failure_share` since the breaker last closed.
        name: The instance's name, for log lines.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.opened_s: float | None = None
        self.slowness = 1.0
        self.samples = 0
        self.failure_share = 0.0
        self.outcomes = 0
        self._consecutive_failures = 0
        self._unreachable = False
        self._next_probe_s = 0.0
        self._probe_delay_s = MIN_PROBE_DELAY_S
        self._last_closed_s: float | None = None
        self._last_success_s = -math.inf
        self._last_peer_failure_s: dict[str, float] = {}
        # Made at the first failure, as a generator takes more memory than all else of a target.
        self._random: random.Random | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the breaker is open, so that other targets are preferred."""
        return self.opened_s is not None

    @property
    def is_unreachable(self) -> bool:
        """Return whether the breaker is open because no connection could be opened."""
        return self.is_open and self._unreachable

    def is_probe_due(self, now_s: float) -> bool:
        """Return whether one request should be sent to the target as a probe now.

        Always False for an unreachable target: background dials probe it, so that no request has to
        wait for a connection attempt that fails.
        """
        return self.is_open and not self._unreachable and now_s >= self._next_probe_s

    def record_dispatch(self, now_s: float) -> None:
        """Record that a request is sent to the target.

        While the breaker is open, the request is a probe; the next one may follow after
        `PROBE_TIMEOUT_S`.
        """
        if self.is_open:
            self._next_probe_s = now_s + PROBE_TIMEOUT_S

    def record_reachable(self, now_s: float) -> None:
        """Record that a connection was opened; closes a breaker that was open as unreachable."""
        if self._unreachable:
            self.record_success(now_s)

    def record_success(self, now_s: float = 0.0, *, began_s: float = math.inf) -> None:
        """Record work that succeeded.

        Args:
            now_s: The time on the event loop's clock.
            began_s: When the work began. Work that began before the breaker opened is ignored: it
                may succeed on a target that accepts no new work.
        """
        if self.opened_s is not None and began_s < self.opened_s:
            return
        self._consecutive_failures = 0
        self._last_success_s = now_s
        self._last_peer_failure_s.clear()
        self._record_outcome(0.0)
        if not self.is_open:
            return
        self.opened_s = None
        self._last_closed_s = now_s
        self._unreachable = False
        self.samples = 0
        self.slowness = 1.0
        self.failure_share = 0.0
        self.outcomes = 0
        log_event(Event.BREAKER_CLOSED, name=self.name)

    def record_failure(self, now_s: float, *, unreachable: bool = False) -> None:
        """Record a failure; an unreachable target is ejected at once."""
        self._consecutive_failures += 1
        self._record_outcome(1.0)
        self._unreachable = unreachable
        if self.is_open:
            self._probe_delay_s = min(MAX_PROBE_DELAY_S, self._probe_delay_s * 2)
            self._schedule_probe(now_s)
        elif unreachable or self._consecutive_failures >= FAILURES_TO_OPEN:
            self.open(now_s, "unreachable" if unreachable else "consecutive failures")

    def record_peer_failure(self, peer: str, now_s: float) -> None:
        """Record a failure that a peer reported.

        Counts at most one per peer in `PEER_FAILURE_INTERVAL_S`, and none within that time after
        this process saw a success, as the fault may be the peer's.
        """
        if now_s - self._last_success_s < PEER_FAILURE_INTERVAL_S:
            return
        if now_s - self._last_peer_failure_s.get(peer, -math.inf) < PEER_FAILURE_INTERVAL_S:
            return
        self._last_peer_failure_s[peer] = now_s
        self.record_failure(now_s)

    def record_slowness(self, ratio: float) -> None:
        """Update `slowness` with the ratio of an observed to an estimated time to first token."""
        self.samples += 1
        self.slowness += SLOWNESS_GAIN * (ratio - self.slowness)

    def open(self, now_s: float, reason: str) -> None:
        """Eject the target until a probe succeeds.

        The delay before the first probe doubles if the breaker closed less than `RELAPSE_WINDOW_S`
        ago.
        """
        self.opened_s = now_s
        if self._last_closed_s is not None and now_s - self._last_closed_s < RELAPSE_WINDOW_S:
            self._probe_delay_s = min(MAX_PROBE_DELAY_S, self._probe_delay_s * 2)
        else:
            self._probe_delay_s = MIN_PROBE_DELAY_S
        self._schedule_probe(now_s)
        log_event(Event.BREAKER_OPENED, name=self.name, reason=reason)

    def _record_outcome(self, failed: float) -> None:
        self.outcomes += 1
        self.failure_share += max(FAILURE_GAIN, 1 / self.outcomes) * (failed - self.failure_share)

    def _schedule_probe(self, now_s: float) -> None:
        if self._random is None:
            self._random = random.Random(self.name)
        jitter = self._random.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
        self._next_probe_s = now_s + self._probe_delay_s * jitter


class HasBreaker(Protocol):
    """An object that is guarded by a circuit breaker."""

    breaker: Breaker


T = TypeVar("T", bound=HasBreaker)


def usable_targets(pool: Sequence[T], now_s: float) -> tuple[T, ...]:
    """Return the members of a pool that may be assigned work.

    Unreachable targets are left out, unless all are unreachable. Of the others, at most
    `MAX_EJECTED_SHARE` stay ejected, those whose breakers opened first, so that failures can't
    empty the pool. Targets that are due for a probe are included. `select_usable` also applies what
    the targets state about themselves.
    """
    pool = [target for target in pool if not target.breaker.is_unreachable] or pool
    opened = [target for target in pool if target.breaker.is_open]
    if not opened:
        return tuple(pool)
    opened.sort(key=lambda target: (target.breaker.opened_s or 0.0, target.breaker.name))
    limit = max(1, int(len(pool) * MAX_EJECTED_SHARE)) if len(pool) > 1 else 0
    ejected = {id(target) for target in opened[:limit] if not target.breaker.is_probe_due(now_s)}
    return tuple(target for target in pool if id(target) not in ejected)


def eject_slow(pool: Sequence[HasBreaker], now_s: float) -> None:
    """Open the breakers of targets that are far slower than the pool's median."""
    known = [t.breaker for t in pool if t.breaker.samples >= MIN_SLOWNESS_SAMPLES]
    if len(known) < MIN_POOL_FOR_OUTLIERS:
        return
    bound = OUTLIER_FACTOR * max(1.0, statistics.median(b.slowness for b in known))
    for breaker in known:
        if breaker.slowness > bound and not breaker.is_open:
            breaker.open(now_s, f"slowness {breaker.slowness:.1f}")


def eject_failing(pool: Sequence[HasBreaker], now_s: float) -> None:
    """Open the breakers of targets that fail far more often than the pool's median."""
    known = [t.breaker for t in pool if t.breaker.outcomes >= MIN_FAILURE_SAMPLES]
    if len(known) < MIN_POOL_FOR_OUTLIERS:
        return
    usual = statistics.median(breaker.failure_share for breaker in known)
    bound = max(FAILURE_SHARE_TO_OPEN, OUTLIER_FACTOR * usual)
    for breaker in known:
        if breaker.failure_share > bound and not breaker.is_open:
            breaker.open(now_s, f"failure share {breaker.failure_share:.2f}")
