"""Forwards a request to targets, retries failed attempts, and returns the response."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from ..egress import ConnectionPool
from ..fleet import Target
from ..ingress import Responder
from ..kernel import ErrorKind, Event, FailureError, RunState, fail, log_event
from ._attempt import Attempt, AttemptServices, log_placed
from ._job import Job
from ._metrics import GatewayMetrics
from ._open_attempts import OpenAttempts, cancel_all
from ._outcomes import AttemptOutcome, Delivery, NextStep, choose_next_step
from ._progress import Progress
from ._retry_budget import RetryBudget
from ._scheduler import Scheduler
from ._tickets import ReservationManager
from ._waiter import Grant
from ._wire import WireCodec


class Forwarder:
    """Forwards requests to targets and their responses to callers.

    Args:
        codec: Encodes and decodes the deployment's headers.
        pool: The connections to targets.
        scheduler: Assigns targets to requests.
        tickets: Reserves memory on helpers.
        budget: Limits retries.
        metrics: Records attempts and latencies.
        on_failure: Called with the target and the outcome of each failed attempt.
        is_alive: Runs a liveness check of a target.
    """

    def __init__(
        self,
        *,
        codec: WireCodec,
        pool: ConnectionPool,
        scheduler: Scheduler,
        tickets: ReservationManager,
        budget: RetryBudget,
        metrics: GatewayMetrics,
        on_failure: Callable[[Target, AttemptOutcome], None],
        is_alive: Callable[[Target], Awaitable[bool]],
    ) -> None:
        self._scheduler = scheduler
        self._budget = budget
        self._metrics = metrics
        self._on_failure = on_failure
        self._services = AttemptServices(
            codec=codec,
            pool=pool,
            scheduler=scheduler,
            reservations=tickets,
            metrics=metrics,
            is_alive=is_alive,
        )
        self._loop = asyncio.get_running_loop()

    async def forward(self, job: Job, responder: Responder, progress: Progress) -> AttemptOutcome:
        """Forward a request and its response, with retries until the deadline.

        Args:
            job: The request.
            responder: Writes the response to the caller.
            progress: Updated with each attempt and each forwarded event.

        Returns:
            The outcome of the last attempt.

        Raises:
            FailureError: If no complete response was forwarded. A part of one may have been.
        """
        self._budget.record_request(job.service, self._loop.time())
        try:
            async with asyncio.timeout_at(job.deadline_s):
                return await self._forward(job, responder, progress)
        except TimeoutError:
            raise _deadline_error(progress) from None
        except FailureError as error:
            if not progress.may_have_run:
                raise
            unknown = error.failure.with_run_state(RunState.OUTCOME_UNKNOWN)
            raise FailureError(unknown) from error

    async def _forward(self, job: Job, responder: Responder, progress: Progress) -> AttemptOutcome:
        attempts = OpenAttempts()
        step = NextStep.RETRY
        try:
            while True:
                if step is NextStep.RETRY:
                    attempt, outcome = await self._try_next(job, responder, progress, attempts)
                else:
                    attempt = await attempts.take_readable()
                    outcome = await attempt.go_on(has_timeouts=False)
                self._metrics.record_send(outcome.delivery.value)
                if outcome.delivery is Delivery.DONE:
                    host = attempt.grant.host
                    host.breaker.record_success(self._loop.time(), began_s=attempt.began_s)
                    return outcome
                if outcome.is_silent:
                    attempts.keep_silent(attempt)
                else:
                    attempts.close(attempt)
                step = self._handle_failed_attempt(attempt.grant, job, outcome, progress)
                if step is NextStep.PASS_ON and outcome.answer is not None:
                    await responder.answer(outcome.answer)
                    return outcome
                if step is not NextStep.RETRY and not attempts.has_silent:
                    raise _error_for_step(step, outcome, job)
        finally:
            attempts.close_all()

    async def _try_next(
        self, job: Job, responder: Responder, progress: Progress, attempts: OpenAttempts
    ) -> tuple[Attempt, AttemptOutcome]:
        """Send the request to another target, unless a silent one sends data first.

        If no other target can take the request, the silent ones are read on.

        Raises:
            FailureError: If no other target can take the request, and none is silent.
        """
        began_s = self._loop.time()
        try:
            placed = await self._place(job, progress, attempts)
        except FailureError as error:
            if not attempts.has_silent:
                raise
            log_event(Event.TARGET_AWAITED, request_id=job.request_id, reason=error.failure.message)
            attempt = await attempts.take_readable()
            return attempt, await attempt.go_on(has_timeouts=False)
        finally:
            progress.waited_s += self._loop.time() - began_s
        if isinstance(placed, Attempt):
            return placed, await placed.go_on(has_timeouts=True)
        log_placed(placed, job, progress)
        attempt = Attempt(
            services=self._services,
            grant=placed,
            job=job,
            responder=responder,
            progress=progress,
            now_s=self._loop.time,
            on_first_event=lambda: attempts.close_others(attempt),
        )
        attempts.add(attempt)
        return attempt, await attempt.run()

    async def _place(self, job: Job, progress: Progress, attempts: OpenAttempts) -> Grant | Attempt:
        """Return the targets for the next attempt, or a silent attempt that has data again."""
        acquire = self._scheduler.acquire(
            job,
            excluded=progress.tried,
            only=self._allowed_targets(job, progress),
            is_resumed=bool(progress.last_event_id),
        )
        if not attempts.has_silent:
            return await acquire
        placing = self._loop.create_task(acquire)
        reading = self._loop.create_task(attempts.take_readable())
        try:
            await asyncio.wait((placing, reading), return_when=asyncio.FIRST_COMPLETED)
            if not reading.done():
                return placing.result()
            if placing.done() and placing.exception() is None:
                self._scheduler.release(placing.result())
            return reading.result()
        finally:
            await cancel_all((placing, reading))

    def _allowed_targets(self, job: Job, progress: Progress) -> frozenset[str] | None:
        """Return the targets to which the request may be sent; None for any.

        Once it was sent to `max_attempts` targets, only those may get it again.
        """
        if len(progress.sent_to) < job.route.max_attempts:
            return None
        return frozenset(progress.sent_to)

    def _handle_failed_attempt(
        self, grant: Grant, job: Job, outcome: AttemptOutcome, progress: Progress
    ) -> NextStep:
        if not outcome.blamed and not outcome.reservation_failed:
            progress.tried.add(grant.host.instance_id)
        if outcome.delivery in (Delivery.LOST, Delivery.FAILED):
            progress.may_have_run = True
        self._on_failure(grant.host, outcome)
        step = self._choose_next_step(job, outcome, progress)
        log_event(
            Event.REQUEST_RETRIED if step is NextStep.RETRY else Event.TARGET_FAILED,
            request_id=job.request_id,
            target=grant.host.instance_id,
            delivery=outcome.delivery.value,
            reason=outcome.reason,
            blamed=outcome.blamed,
            sends=progress.sends,
            max_targets=job.route.max_attempts,
            last_event_id=progress.last_event_id.decode("latin-1"),
            next=step.value,
        )
        return step

    def _choose_next_step(self, job: Job, outcome: AttemptOutcome, progress: Progress) -> NextStep:
        targets_left = job.route.max_attempts - len(progress.sent_to)
        step = choose_next_step(
            outcome,
            is_idempotent=job.route.is_idempotent,
            may_have_run=progress.may_have_run,
            targets_left=targets_left,
        )
        if step is not NextStep.RETRY or progress.sends == 0:
            return step
        if self._budget.try_spend(job.service, self._loop.time()):
            return step
        return choose_next_step(
            replace(outcome, blamed=""),
            is_idempotent=job.route.is_idempotent,
            may_have_run=progress.may_have_run,
            targets_left=0,
        )


def _deadline_error(progress: Progress) -> FailureError:
    sent = progress.may_have_run or progress.sends > 0
    return fail(
        ErrorKind.DEADLINE_EXCEEDED,
        "no complete response within the time limit",
        run_state=RunState.OUTCOME_UNKNOWN if sent else RunState.NOT_RUN,
    )


def _error_for_step(step: NextStep, outcome: AttemptOutcome, job: Job) -> FailureError:
    if step is not NextStep.REFUSE:
        return fail(ErrorKind.TARGET_LOST, outcome.reason, run_state=RunState.OUTCOME_UNKNOWN)
    return fail(
        ErrorKind.TARGET_REFUSED,
        outcome.reason,
        run_state=RunState.NOT_RUN,
        retry_after_s=job.route.target_latency_s / 2,
    )
