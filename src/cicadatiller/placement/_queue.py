"""Queue order and backlog of requests that wait for a target."""

import math
from dataclasses import dataclass

from ..routes import EngineModel
from ._engine import pass_s, read_s

# A prompt waits for the pass in progress, is prefilled in the next one, and its first event is
# sent after one more.
MIN_PASSES = 3.5
MIN_TOKENS_PER_PART = 8192
MAX_PARTS = 8
# A backlog older than `MAX_BURST_S` is not a burst. It is over once no request has waited for
# `BACKLOG_IDLE_S`.
MAX_BURST_S = 0.4
BACKLOG_IDLE_S = 1.0
INTERVAL_GAIN = 0.1


def min_first_event_s(model: EngineModel, tokens: int) -> float:
    """Return an estimate of the shortest time from placement to the first event of a prompt."""
    parts = max(1, min(MAX_PARTS, tokens // MIN_TOKENS_PER_PART))
    busy_pass_s = pass_s(model, model.slots, 0)
    return read_s(model, tokens) / parts + MIN_PASSES * busy_pass_s


def queue_sort_key(*, due_in_s: float, min_latency_s: float) -> tuple[bool, float]:
    """Return the sort key of a waiting request; smaller keys are served first.

    Requests that can still be on time come first, earliest deadline first; those that will be late
    in any case follow. In first-in first-out order, an overload of a few percent makes all requests
    late.

    Args:
        due_in_s: Time until the response, or its first event, is due.
        min_latency_s: The shortest time from placement to the response or its first event.
    """
    return due_in_s < min_latency_s, due_in_s


@dataclass(frozen=True, kw_only=True, slots=True)
class Ahead:
    """The requests ahead of one in the queue.

    Attributes:
        on_time: The number of those that can be on time.
        late: The number of those that will be late.
    """

    on_time: int = 0
    late: int = 0

    def followed_by(self, *, is_late: bool) -> "Ahead":
        """Return those ahead of the next request, behind one that can be on time or will be late."""
        if is_late:
            return Ahead(on_time=self.on_time, late=self.late + 1)
        return Ahead(on_time=self.on_time + 1, late=self.late)

    @property
    def count(self) -> int:
        """Return the number of all of them."""
        return self.on_time + self.late


class Backlog:
    """Tracks how long requests of a service have been waiting in one entry's queue.

    During a short burst, requests wait. While arrivals exceed the capacity for longer, requests
    that would not be served before their callers leave are refused at once.

    Attributes:
        interval_s: The smoothed interval between grants to waiting requests of this backlog.
    """

    def __init__(self) -> None:
        self._started_s: float | None = None
        self._last_waiting_s = -math.inf
        self._last_grant_s = -math.inf
        self._last_late_waiting_s = -math.inf
        self._last_late_grant_s = -math.inf
        self._late_interval_s = 0.0
        self.interval_s = 0.0

    def record_waiting(self, now_s: float, *, is_late: bool = False) -> None:
        """Record that a request has to wait, and whether it will be late."""
        if self._started_s is None or now_s - self._last_waiting_s > BACKLOG_IDLE_S:
            self._started_s = now_s
            self._last_grant_s = now_s
            self.interval_s = 0.0
        self._last_waiting_s = now_s
        if is_late:
            if now_s - self._last_late_waiting_s > BACKLOG_IDLE_S:
                self._last_late_grant_s = now_s
                self._late_interval_s = 0.0
            self._last_late_waiting_s = now_s

    def record_grant(self, now_s: float, *, is_late: bool = False) -> None:
        """Record that a waiting request got a target, and whether it will be late."""
        self.interval_s += INTERVAL_GAIN * (now_s - self._last_grant_s - self.interval_s)
        self._last_grant_s = now_s
        if is_late:
            interval_s = now_s - self._last_late_grant_s
            self._late_interval_s += INTERVAL_GAIN * (interval_s - self._late_interval_s)
            self._last_late_grant_s = now_s

    def is_lasting(self, now_s: float) -> bool:
        """Return whether the backlog has lasted too long to be a burst."""
        return self.lasted_s(now_s) >= MAX_BURST_S

    def expected_wait_s(
        self, now_s: float, ahead: Ahead, *, is_late: bool, slot_interval_s: float = math.inf
    ) -> float:
        """Return the expected time until a request of this backlog gets a target, in seconds.

        One that will be late gets what those that can be on time leave, which may be nothing. What
        has not come for a time is not expected any sooner than after as long again.

        Args:
            now_s: The time on the event loop's clock.
            ahead: The requests ahead of it.
            is_late: Whether it will be late.
            slot_interval_s: The expected time until the next slot becomes free; infinity if it is
                not known. `interval_s` counts then, which is too long if few requests wait.
        """
        known_interval_s = self.interval_s if slot_interval_s == math.inf else slot_interval_s
        interval_s = max(known_interval_s, now_s - self._last_grant_s)
        if not is_late:
            return (ahead.count + 1) * interval_s
        late_interval_s = interval_s
        if now_s - self._last_late_waiting_s <= BACKLOG_IDLE_S:
            unserved_s = now_s - self._last_late_grant_s
            late_interval_s = max(interval_s, self._late_interval_s, unserved_s)
        return ahead.on_time * interval_s + (ahead.late + 1) * late_interval_s

    def lasted_s(self, now_s: float) -> float:
        """Return the age of the backlog; it is likely to last as long again."""
        if self._started_s is None or now_s - self._last_waiting_s > BACKLOG_IDLE_S:
            return 0.0
        return now_s - self._started_s
