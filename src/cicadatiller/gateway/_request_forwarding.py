"""Forwards one request by successive attempts, and reads on those whose targets don't respond."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from ..fleet import Target
from ..ingress import Responder
from ..kernel import ErrorKind, Event, FailureError, RunState, fail, log_event
from ._attempt import Attempt, AttemptServices, log_placed
from ._job import Job
from ._outcomes import AttemptOutcome, Delivery, NextStep, choose_next_step
from ._progress import Progress
from ._request_guard import RequestGuard
from ._retry_budget import RetryBudget

# A healthy target may pause; after this time without data its attempt is given up.
UNRESPONSIVE_LIMIT_S = 3.0
# While an unresponsive target is awaited, other targets are tried again in this interval.
PLACE_AGAIN_S = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardingServices:
    """What the forwarding of all requests shares.

    Attributes:
        attempts: What their attempts share.
        budget: Limits retries.
        guard: Refuses requests under which targets crash.
        on_failure: Called with the target and the outcome of each failed attempt.
    """

    attempts: AttemptServices
    budget: RetryBudget
    guard: RequestGuard
    on_failure: Callable[[Target, AttemptOutcome], None]


class RequestForwarding:
    """Forwards one request and its response.

    An attempt whose target is unresponsive is kept open while the request is sent to another target:
    the first target may recover, and the other one may fail. The first attempt that has output for
    the caller ends the others.

    Args:
        services: What the forwarding of all requests shares.
        job: The request.
        responder: Writes the response to the caller.
        progress: Updated with each attempt and each forwarded event.
    """

    def __init__(
        self,
        *,
        services: ForwardingServices,
        job: Job,
        responder: Responder,
        progress: Progress,
    ) -> None:
        self._services = services
        self._scheduler = services.attempts.scheduler
        self._job = job
        self._responder = responder
        self._progress = progress
        self._loop = asyncio.get_running_loop()
        self._last_outcome = AttemptOutcome(delivery=Delivery.UNSENT, reason="")
        # None while an attempt that has output is read on.
        self._next_step: NextStep | None = NextStep.RETRY
        self._sent: Attempt | None = None
        # The next attempt, and the tasks that read on the unresponsive ones.
        self._sending: asyncio.Task[None] | None = None
        self._unresponsive: dict[asyncio.Task[AttemptOutcome | None], Attempt] = {}

    async def run(self) -> AttemptOutcome:
        """Forward the request.

        Returns:
            The outcome of the attempt whose response was forwarded.

        Raises:
            FailureError: If no complete response was forwarded. A part of one may have been.
        """
        try:
            while True:
                if self._has_tasks:
                    await self._wait_for_first()
                else:
                    await self._send()
                last = self._last_outcome
                if last.delivery is Delivery.DONE:
                    return last
                if self._next_step is NextStep.PASS_ON and last.answer is not None:
                    # No other attempt may write to the caller while this is written.
                    self._close_all()
                    await self._responder.answer(last.answer)
                    return last
                if self._next_step is not NextStep.RETRY and not self._has_tasks:
                    retry_after_s = self._scheduler.retry_after_s(self._job)
                    raise _error_for_step(self._next_step, last, retry_after_s)
        finally:
            self._close_all()

    @property
    def _has_tasks(self) -> bool:
        """Return whether attempts run in tasks of their own, as a target is unresponsive."""
        return bool(self._unresponsive) or self._sending is not None

    async def _send(self, *, delay_s: float = 0.0) -> None:
        """Send the request to the next target and record the outcome.

        Raises:
            FailureError: If no target can take it, or it must not be sent.
        """
        if delay_s:
            await asyncio.sleep(delay_s)
        await self._services.guard.admit(self._job, self._progress)
        began_s = self._loop.time()
        try:
            grant = await self._scheduler.acquire(
                self._job,
                excluded=self._progress.tried,
                only=self._allowed_targets(),
                is_resumed=bool(self._progress.last_event_id),
            )
        except BaseException:
            self._services.guard.end_probe(self._job, self._progress)
            raise
        finally:
            self._progress.waited_s += self._loop.time() - began_s
        is_retry = self._progress.sends > 0
        if is_retry and not self._services.budget.try_spend(self._job.service, self._loop.time()):
            self._scheduler.release(grant)
            self._next_step = self._step_without_retry(self._last_outcome)
            return
        try:
            self._services.guard.start_probe(self._job, self._progress)
        except FailureError:
            self._scheduler.release(grant)
            raise
        log_placed(grant, self._job, self._progress)
        self._sent = Attempt(
            services=self._services.attempts,
            grant=grant,
            job=self._job,
            responder=self._responder,
            progress=self._progress,
            now_s=self._loop.time,
            on_output=self._close_others,
        )
        self._services.guard.watch_probe(self._job, self._progress, self._sent)
        outcome = await self._sent.run()
        sent, self._sent = self._sent, None
        if is_retry and outcome.delivery is Delivery.UNSENT:
            self._services.budget.give_back(self._job.service)
        self._record_outcome(sent, outcome)

    async def _wait_for_first(self) -> None:
        """Wait until an unresponsive attempt or the next one ends; start the latter if due."""
        if self._sending is None and self._next_step is NextStep.RETRY:
            self._sending = self._loop.create_task(self._send())
        sending = () if self._sending is None else (self._sending,)
        await asyncio.wait((*self._unresponsive, *sending), return_when=asyncio.FIRST_COMPLETED)
        for task in [task for task in self._unresponsive if task.done()]:
            self._record_unresponsive(task)
        if self._sending is not None and self._sending.done():
            task, self._sending = self._sending, None
            self._check_sending(task)

    def _check_sending(self, task: asyncio.Task[None]) -> None:
        error = task.exception()
        if error is None:
            return
        if not isinstance(error, FailureError) or not self._unresponsive:
            raise error
        log_event(
            Event.TARGET_AWAITED, request_id=self._job.request_id, reason=error.failure.message
        )
        self._sending = self._loop.create_task(self._send(delay_s=PLACE_AGAIN_S))

    def _record_unresponsive(self, task: asyncio.Task[AttemptOutcome | None]) -> None:
        attempt = self._unresponsive.pop(task, None)
        if attempt is None:
            return
        outcome = task.result()
        if outcome is None:
            attempt.close()
            return
        self._record_outcome(attempt, outcome)

    def _record_outcome(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self._services.attempts.metrics.record_send(outcome.delivery.value)
        self._last_outcome = outcome
        if outcome.delivery is Delivery.DONE:
            attempt.grant.host.breaker.record_success(self._loop.time(), began_s=attempt.began_s)
            self._services.guard.record_finished(self._job, attempt)
        else:
            self._record_failed_attempt(attempt, outcome)
        if outcome.is_unresponsive:
            self._unresponsive[self._loop.create_task(_read_on(attempt))] = attempt
        else:
            attempt.close()

    def _record_failed_attempt(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        job, progress, host = self._job, self._progress, attempt.grant.host
        if not outcome.blamed and not outcome.reservation_failed:
            progress.tried.add(host.instance_id)
        if outcome.delivery in (Delivery.LOST, Delivery.FAILED):
            progress.may_have_run = True
        self._services.on_failure(host, outcome)
        self._services.guard.record_failure(job, progress, attempt, outcome)
        self._next_step = self._choose_next_step(outcome)
        log_event(
            Event.REQUEST_RETRIED if self._next_step is NextStep.RETRY else Event.TARGET_FAILED,
            request_id=job.request_id,
            target=host.instance_id,
            delivery=outcome.delivery.value,
            reason=outcome.reason,
            blamed=outcome.blamed,
            sends=progress.sends,
            max_targets=job.route.max_attempts,
            last_event_id=progress.last_event_id.decode("latin-1"),
            has_head=outcome.has_head,
            fingerprints=job.fingerprints,
            next=self._next_step.value,
        )

    def _choose_next_step(self, outcome: AttemptOutcome) -> NextStep:
        step = choose_next_step(
            outcome,
            is_idempotent=self._may_repeat,
            may_have_run=self._progress.may_have_run,
            targets_left=self._job.route.max_attempts - len(self._progress.sent_to),
        )
        if step is not NextStep.RETRY or not self._progress.sends:
            return step
        if self._services.budget.has_left(self._job.service, self._loop.time()):
            return step
        return self._step_without_retry(outcome)

    def _step_without_retry(self, outcome: AttemptOutcome) -> NextStep:
        if outcome.delivery is Delivery.UNSENT:
            return NextStep.GIVE_UP if self._progress.may_have_run else NextStep.REFUSE
        return choose_next_step(
            replace(outcome, blamed=""),
            is_idempotent=self._may_repeat,
            may_have_run=self._progress.may_have_run,
            targets_left=0,
        )

    @property
    def _may_repeat(self) -> bool:
        """Return whether the request may run again, and the caller can be given its response."""
        return self._job.route.is_idempotent and self._progress.can_resume

    def _allowed_targets(self) -> frozenset[str] | None:
        """Return the targets to which the request may be sent; None for any.

        Once it was sent to `max_attempts` targets, only those may get it again.
        """
        if len(self._progress.sent_to) < self._job.route.max_attempts:
            return None
        return frozenset(self._progress.sent_to)

    def _close_others(self, attempt: Attempt) -> None:
        """Close all attempts but one, which has output for the caller."""
        if not self._has_tasks:
            return
        for task, other in list(self._unresponsive.items()):
            if other is not attempt:
                del self._unresponsive[task]
                _cancel(task, other)
        if self._sending is not None and self._sent is not attempt:
            self._next_step = None
            self._cancel_sending()

    def _cancel_sending(self) -> None:
        if self._sending is not None:
            _cancel(self._sending, self._sent)
            self._sending = self._sent = None

    def _close_all(self) -> None:
        self._cancel_sending()
        for task, attempt in self._unresponsive.items():
            _cancel(task, attempt)
        self._unresponsive.clear()
        if self._sent is not None:
            self._sent.close()
            self._sent = None


async def _read_on(attempt: Attempt) -> AttemptOutcome | None:
    """Read on an unresponsive attempt; return None if its target stays unresponsive."""
    if not await attempt.has_data_within(UNRESPONSIVE_LIMIT_S):
        return None
    return await attempt.read_on()


def _cancel(task: asyncio.Task[object], attempt: Attempt | None) -> None:
    """Cancel a task, and close its attempt once it has ended."""

    def close(ended: asyncio.Task[object]) -> None:
        if not ended.cancelled():
            # An error of an attempt that is no longer needed changes nothing for the caller.
            ended.exception()
        if attempt is not None:
            attempt.close()

    task.cancel()
    task.add_done_callback(close)


def _error_for_step(
    step: NextStep | None, outcome: AttemptOutcome, retry_after_s: float
) -> FailureError:
    if step is not NextStep.REFUSE:
        return fail(ErrorKind.TARGET_LOST, outcome.reason, run_state=RunState.OUTCOME_UNKNOWN)
    return fail(
        ErrorKind.TARGET_REFUSED,
        outcome.reason,
        run_state=RunState.NOT_RUN,
        retry_after_s=retry_after_s,
    )
