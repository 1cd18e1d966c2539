"""Records the failures of targets with their circuit breakers, and reports them to the peers."""

import asyncio
from typing import Protocol

from ..egress import ConnectionPool
from ..fleet import Target, TargetDirectory
from ._failure_response import UNAVAILABLE
from ._outcomes import AttemptOutcome, Delivery
from ._target_notices import MISDIRECTED


class FailureListener(Protocol):
    """Receives the failures that this entry observed."""

    def target_failed(self, target_id: str, reason: str, *, is_helper: bool = False) -> None:
        """Handle a target that failed as host or as helper."""


class TargetFailures:
    """Decides which failures count against a target.

    Args:
        directory: The known targets.
        pool: The connections to targets; the idle ones to a target that was lost are closed.
        listener: Receives the failures.
    """

    def __init__(
        self, *, directory: TargetDirectory, pool: ConnectionPool, listener: FailureListener
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._listener = listener
        self._loop = asyncio.get_running_loop()

    def record_attempt(self, target: Target, outcome: AttemptOutcome) -> None:
        """Record a failed attempt.

        A failure caused by a helper counts against the helper. Failed reservations and refusals
        do not count against the target, except for status 421, which means that another instance
        is at its address. Neither does a 503 by which it asked this entry alone to wait.
        """
        now_s = self._loop.time()
        if outcome.blamed:
            self._record_helper(outcome.blamed, now_s)
            return
        if not self._counts(target, outcome, now_s):
            return
        unreachable = outcome.delivery is Delivery.UNSENT
        target.breaker.record_failure(now_s, unreachable=unreachable)
        if outcome.delivery in (Delivery.UNSENT, Delivery.LOST):
            self._pool.close_idle(target.record.address)
        self._listener.target_failed(target.instance_id, outcome.reason)

    def record_unresponsive(self, target: Target) -> None:
        """Record a target that did not respond to a liveness check."""
        target.breaker.record_failure(self._loop.time(), unreachable=True)
        self._pool.close_idle(target.record.address)
        self._listener.target_failed(target.instance_id, "it did not report")

    def _counts(self, target: Target, outcome: AttemptOutcome, now_s: float) -> bool:
        if outcome.reservation_failed:
            return False
        if outcome.delivery is Delivery.REFUSED and outcome.status != MISDIRECTED:
            return False
        if outcome.status == UNAVAILABLE and target.availability.is_quiet(now_s):
            return False
        # A failed liveness check has opened the breaker for all requests of the target at once.
        return not (outcome.is_unresponsive and target.breaker.is_unreachable)

    def _record_helper(self, address: str, now_s: float) -> None:
        helper = self._directory.find_at(address)
        if helper is not None:
            helper.record_help_failure(now_s)
            self._listener.target_failed(helper.instance_id, "it did not help", is_helper=True)
