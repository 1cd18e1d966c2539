"""Forwards requests to targets until their deadlines."""

import asyncio
from collections.abc import Awaitable, Callable

from ..egress import ConnectionPool, ResponseHead
from ..fleet import Target
from ..ingress import Responder
from ..kernel import ErrorKind, FailureError, RunState, fail
from ._attempt import AttemptServices
from ._job import Job
from ._metrics import GatewayMetrics
from ._open_requests import OpenRequests
from ._outcomes import AttemptOutcome
from ._progress import Progress
from ._request_forwarding import ForwardingServices, RequestForwarding
from ._request_guard import RequestGuard
from ._retry_budget import RetryBudget
from ._scheduler import Scheduler
from ._tickets import ReservationManager
from ._wire import WireCodec


class Forwarder:
    """Forwards requests to targets and their responses to callers.

    Args:
        codec: Encodes and decodes the deployment's headers.
        pool: The connections to targets.
        scheduler: Assigns targets to requests.
        tickets: Reserves memory on helpers.
        budget: Limits retries.
        guard: Refuses requests under which targets crash.
        metrics: Records attempts and latencies.
        open_requests: Ends requests at their deadlines.
        on_failure: Called with the target and the outcome of each failed attempt.
        is_alive: Runs a liveness check of an engine.
    """

    def __init__(
        self,
        *,
        codec: WireCodec,
        pool: ConnectionPool,
        scheduler: Scheduler,
        tickets: ReservationManager,
        budget: RetryBudget,
        guard: RequestGuard,
        metrics: GatewayMetrics,
        open_requests: OpenRequests,
        on_failure: Callable[[Target, AttemptOutcome], None],
        on_head: Callable[[Target, ResponseHead, float], None],
        is_alive: Callable[[Target], Awaitable[bool]],
    ) -> None:
        attempts = AttemptServices(
            codec=codec,
            pool=pool,
            scheduler=scheduler,
            reservations=tickets,
            metrics=metrics,
            on_head=on_head,
            is_alive=is_alive,
        )
        self._budget = budget
        self._open_requests = open_requests
        self._services = ForwardingServices(
            attempts=attempts, budget=budget, guard=guard, on_failure=on_failure
        )
        self._loop = asyncio.get_running_loop()

    async def forward(self, job: Job, responder: Responder, progress: Progress) -> AttemptOutcome:
        """Forward a request and its response, with retries until the deadline.

        Args:
            job: The request.
            responder: Writes the response to the caller.
            progress: Updated with each attempt and each forwarded event.

        Returns:
            The outcome of the attempt whose response was forwarded.

        Raises:
            FailureError: If no complete response was forwarded. A part of one may have been.
        """
        self._budget.record_request(job.service, self._loop.time())
        forwarding = RequestForwarding(
            services=self._services, job=job, responder=responder, progress=progress
        )
        try:
            async with self._open_requests.limit(job.deadline_s):
                return await forwarding.run()
        except TimeoutError:
            raise _deadline_error(progress) from None
        except FailureError as error:
            if not _may_have_run(error, progress):
                raise
            unknown = error.failure.with_run_state(RunState.OUTCOME_UNKNOWN)
            raise FailureError(unknown) from error


def _may_have_run(error: FailureError, progress: Progress) -> bool:
    """Return whether a failed request may have run; one that was cut off may be running still."""
    is_cut_off = error.failure.kind is ErrorKind.STOPPING and progress.sends > 0
    return progress.may_have_run or is_cut_off


def _deadline_error(progress: Progress) -> FailureError:
    sent = progress.may_have_run or progress.sends > 0
    return fail(
        ErrorKind.DEADLINE_EXCEEDED,
        "no complete response within the time limit",
        run_state=RunState.OUTCOME_UNKNOWN if sent else RunState.NOT_RUN,
    )
