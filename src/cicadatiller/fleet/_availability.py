"""Whether a target may get new work now, and if not, from when on.

Two kinds of reasons keep new work from a target. What the target and the operator state is binding:
a target that leaves or whose data centre is evacuated gets none, one that asked this entry for no
requests gets none until the end of that time, and one that states a rate or is cold gets no more
than that from all entries together. What this entry observes, by
the circuit breaker, is a preference: ejected targets are used again if too many of a pool are
ejected. `select_usable` applies both, the binding one first.
"""

import math
from collections.abc import Sequence
from typing import Protocol, TypeVar

from ._breaker import HasBreaker, usable_targets
from ._cold_start import ColdStart
from ._stated_rate import StatedRate
from ._target import TargetState

# Long enough for the registration of a target that is shutting down to say LEAVING.
HELP_BACKOFF_S = 3.0
# Longer times are cut to this, so that a faulty target is not lost for good.
MAX_QUIET_S = 600.0
# Requests that running work needs, as renewals of its reservations, in one time of quiet.
MAX_QUIET_REQUESTS = 2


class Availability:
    """Whether one run of a target may get new work.

    Attributes:
        registered_state: The state in the target's registration.
        has_announced_leaving: Whether the target has stated in a response that it leaves. This is
            final for the run; a registration does not undo it.
        is_evacuated: Whether the operator has evacuated the target's data centre.
        rate: The rate of requests that it takes from all entries together.
    """

    def __init__(self, *, registered_state: TargetState = TargetState.READY) -> None:
        self.registered_state = registered_state
        self.has_announced_leaving = False
        self.is_evacuated = False
        self.rate = StatedRate()
        # Made when the target turns cold, as it takes more memory than all else of a target.
        self._cold_start: ColdStart | None = None
        self._quiet_until_s = -math.inf
        self._quiet_requests = 0
        self._help_backoff_until_s = -math.inf

    @property
    def cold_start(self) -> ColdStart:
        """Return for how long the target is cold, and the rate that it takes meanwhile."""
        if self._cold_start is None:
            self._cold_start = ColdStart()
        return self._cold_start

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target is cold now."""
        if self._cold_start is not None and not self._cold_start.is_cold(now_s):
            self._cold_start = None
        return self._cold_start is not None

    @property
    def is_leaving(self) -> bool:
        """Return whether the target gets no new work any more."""
        return self.has_announced_leaving or self.registered_state is TargetState.LEAVING

    def usable_from_s(self, now_s: float) -> float:
        """Return the loop time from which the target may get new work, infinite if never."""
        if self.is_leaving or self.is_evacuated:
            return math.inf
        from_s = max(now_s, self._quiet_until_s, self.rate.next_send_s(now_s))
        if self._cold_start is not None:
            from_s = max(from_s, self._cold_start.next_send_s(now_s))
        return from_s

    def record_send(self, now_s: float, *, is_own: bool) -> None:
        """Record a request to the target, of this entry or of a connected one."""
        self.rate.record_send(now_s)
        if self._cold_start is not None:
            self._cold_start.record_send(now_s, is_own=is_own)

    def is_usable(self, now_s: float) -> bool:
        """Return whether the target wants new work now, at whatever rate.

        A request that was placed on it may then be sent: its part of the rate is taken.
        """
        return self.takes_orders(now_s) and not self.is_evacuated

    def takes_orders(self, now_s: float) -> bool:
        """Return whether orders and reports for work that runs there may be sent now."""
        return not self.is_leaving and not self.is_quiet(now_s)

    def may_place(self, now_s: float) -> bool:
        """Return whether one more request may be placed on the target now."""
        return self.usable_from_s(now_s) <= now_s

    def is_quiet(self, now_s: float) -> bool:
        """Return whether the target wants no request from this entry now."""
        return now_s < self._quiet_until_s

    def quiet_left_s(self, now_s: float) -> float:
        """Return for how long the target wants no request from this entry; 0 if it takes them."""
        return max(0.0, self._quiet_until_s - now_s)

    def may_help(self, now_s: float) -> bool:
        """Return whether the target may prefill parts of prompts hosted elsewhere."""
        if self.rate.is_limited:
            return False
        return now_s >= self._help_backoff_until_s and self.is_usable(now_s)

    def record_help_failure(self, now_s: float) -> None:
        """Record that a request was refused because this target failed as its helper.

        The target is not used as a helper for `HELP_BACKOFF_S`.
        """
        self._help_backoff_until_s = now_s + HELP_BACKOFF_S

    def record_quiet(self, now_s: float, quiet_s: float) -> None:
        """Record that the target wants no request from this entry for a time.

        A later, shorter time does not end an earlier one.

        Args:
            now_s: The time on the event loop's clock.
            quiet_s: The time; at most `MAX_QUIET_S` of it counts.
        """
        if not self.is_quiet(now_s):
            self._quiet_requests = 0
        self._quiet_until_s = max(self._quiet_until_s, now_s + min(MAX_QUIET_S, quiet_s))

    def try_send_for_running_work(self, now_s: float) -> bool:
        """Return whether a request that running work needs may be sent, and count it if so.

        Only `MAX_QUIET_REQUESTS` are allowed while the target wants no requests.
        """
        if not self.is_quiet(now_s):
            return True
        if self._quiet_requests >= MAX_QUIET_REQUESTS:
            return False
        self._quiet_requests += 1
        return True


class HasAvailability(HasBreaker, Protocol):
    """A target that is guarded by what it states and by a circuit breaker."""

    availability: Availability


T = TypeVar("T", bound=HasAvailability)


def select_usable(pool: Sequence[T], now_s: float) -> tuple[T, ...]:
    """Return the targets of a pool that may get new work now, without those ejected by breakers."""
    return usable_targets(select_open(pool, now_s), now_s)


def select_open(pool: Sequence[T], now_s: float) -> list[T]:
    """Return the targets of a pool that state nothing against new work, ejected or not."""
    return [target for target in pool if target.availability.may_place(now_s)]


def usable_from_s(pool: Sequence[T], now_s: float) -> float:
    """Return when the first target of a pool may get new work, infinite if none ever."""
    return min((t.availability.usable_from_s(now_s) for t in pool), default=math.inf)
