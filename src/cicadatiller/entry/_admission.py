"""Refuses requests on arrival that are expected to miss their time limit."""

from collections.abc import Iterator
from contextlib import contextmanager

from ..config import PolicyWeights
from ..kernel import ErrorKind, fail
from ..membership import Target
from ._estimate import Estimate, RequestSize, estimate

MAX_OPEN_REQUESTS = 4096
MAX_QUEUED_REQUESTS = 512
MIN_RETRY_S = 0.1
MAX_RETRY_S = 60.0
FULL_ENTRY_RETRY_S = 1.0


class Admission:
    """Limits open requests and refuses those that no target is expected to finish in time.

    A refused request has not run.

    Args:
        max_open_requests: Maximum number of requests that are open at this entry at once.
    """

    def __init__(self, *, max_open_requests: int = MAX_OPEN_REQUESTS) -> None:
        self._max_open_requests = max_open_requests
        self._open = 0

    @contextmanager
    def slot(self) -> Iterator[None]:
        """Count a request as open until the context exits.

        Raises:
            FailureError: OVERLOADED if `max_open_requests` are open.
        """
        if self._open >= self._max_open_requests:
            raise fail(
                ErrorKind.OVERLOADED,
                f"this entry has {self._open} open requests, its limit; try again later",
                retry_after_s=FULL_ENTRY_RETRY_S,
            )
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1

    def check(
        self,
        size: RequestSize,
        time_limit_s: float,
        candidates: tuple[Target, ...],
        weights: PolicyWeights,
    ) -> None:
        """Refuse a request that no candidate is expected to finish within its time limit.

        Raises:
            FailureError: DEADLINE_UNREACHABLE if even an idle target is too slow, OVERLOADED if the
                backlog is too long, with the time until it is expected to be short enough.
        """
        estimates = [estimate(target, size, weights) for target in candidates]
        _check_deadline(estimates, time_limit_s)
        waits_s = [
            _excess_s(target, expected, time_limit_s)
            for target, expected in zip(candidates, estimates, strict=True)
        ]
        excess_s = min(waits_s, default=0.0)
        if excess_s > 0:
            raise fail(
                ErrorKind.OVERLOADED,
                f"the backlog of all targets is {excess_s:.1f} s too long for the request's time "
                "limit; try again later",
                retry_after_s=min(MAX_RETRY_S, max(MIN_RETRY_S, excess_s)),
            )


def _check_deadline(estimates: list[Estimate], time_limit_s: float) -> None:
    if not estimates or not all(expected.known for expected in estimates):
        return
    fastest_s = min(expected.prefill_s + expected.decode_s for expected in estimates)
    if fastest_s > time_limit_s:
        raise fail(
            ErrorKind.DEADLINE_UNREACHABLE,
            f"the request would take {fastest_s:.1f} s on an idle target, its time limit is "
            f"{time_limit_s:.1f} s; shorten it or raise the limit",
        )


def _excess_s(target: Target, expected: Estimate, time_limit_s: float) -> float:
    """Return the time until the target can accept the request; zero if it can now."""
    queued = 0 if target.load is None else target.load.queued
    if not expected.known:
        return 0.0 if queued < MAX_QUEUED_REQUESTS else FULL_ENTRY_RETRY_S
    late_s = expected.total_s - time_limit_s
    full_queue_wait_s = expected.wait_s if queued >= MAX_QUEUED_REQUESTS else 0.0
    return max(late_s, full_queue_wait_s, 0.0)
