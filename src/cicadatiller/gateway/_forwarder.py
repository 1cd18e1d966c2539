"""Forwards a request to targets, retries failed attempts, and returns the response."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from ..egress import ConnectionPool, EgressConnection, EgressError, ResponseHead
from ..fleet import Target
from ..ingress import Responder, Response
from ..kernel import ErrorKind, Event, FailureError, RunState, fail, log_event
from ..routes import RouteKind
from ._events import EventTooLongError
from ._job import Job
from ._liveness import read_with_liveness_check
from ._metrics import GatewayMetrics
from ._outcomes import AttemptOutcome, Delivery, NextStep, choose_next_step
from ._progress import Progress
from ._retry_budget import RetryBudget
from ._scheduler import Scheduler
from ._stream import StreamRelay
from ._tickets import ReservationError, ReservationGroup, ReservationManager
from ._waiter import Grant
from ._wire import TargetFields, WireCodec

MAX_RESPONSE_BYTES = 1024 * 1024
OK = 200
FIRST_NON_SUCCESS = 300
FIRST_SERVER_ERROR = 500

# An idempotent call is retried on another target after this multiple of the route's target latency.
CALL_TIMEOUT_FACTOR = 2.5
# A prompt's first event times out after this multiple of its expected time, plus the slack.
FIRST_EVENT_TIMEOUT_FACTOR = 3.0
FIRST_EVENT_TIMEOUT_SLACK_S = 0.5
# Multiplies the first-event timeout of a target that passes the liveness check.
ALIVE_TIMEOUT_FACTOR = 2.0
# Non-idempotent requests use only connections that were idle for at most this time: if the target
# closes an idle connection just as a request is sent, it is unknown whether the request ran.
UNSAFE_MAX_IDLE_S = 1.0


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
        self._codec = codec
        self._pool = pool
        self._scheduler = scheduler
        self._reservations = tickets
        self._budget = budget
        self._metrics = metrics
        self._on_failure = on_failure
        self._is_alive = is_alive
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
        while True:
            began_s = self._loop.time()
            grant = await self._scheduler.acquire(
                job,
                excluded=progress.tried,
                only=self._allowed_targets(job, progress),
                is_resumed=bool(progress.last_event_id),
            )
            progress.waited_s += self._loop.time() - began_s
            self._log_placed(grant, job, progress)
            sent_s = self._loop.time()
            try:
                outcome = await self._attempt(grant, job, responder, progress)
            finally:
                self._scheduler.release(grant)
            self._metrics.record_send(outcome.delivery.value)
            if outcome.delivery is Delivery.DONE:
                grant.host.breaker.record_success(self._loop.time(), began_s=sent_s)
                return outcome
            step = self._handle_failed_attempt(grant, job, outcome, progress)
            if step is NextStep.PASS_ON and outcome.answer is not None:
                await responder.answer(outcome.answer)
                return outcome
            if step is not NextStep.RETRY:
                raise _error_for_step(step, outcome, job)

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

    async def _attempt(
        self, grant: Grant, job: Job, responder: Responder, progress: Progress
    ) -> AttemptOutcome:
        held: ReservationGroup | None = None
        try:
            held = await self._reserve(grant)
            connection = await self._connect(grant, job)
        except ReservationError as error:
            return self._record_failed_reservation(error, grant, progress)
        except EgressError as error:
            return AttemptOutcome(delivery=Delivery.UNSENT, reason=str(error))
        else:
            try:
                progress.sends += 1
                progress.sent_to.add(grant.host.instance_id)
                return await self._exchange(connection, grant, held, job, responder, progress)
            finally:
                self._pool.release(connection)
        finally:
            if held is not None:
                held.start_release_all()

    def _record_failed_reservation(
        self, error: ReservationError, grant: Grant, progress: Progress
    ) -> AttemptOutcome:
        for target in error.failed_targets:
            if target is grant.host:
                progress.tried.add(target.instance_id)
            else:
                target.record_help_failure(self._loop.time())
        return AttemptOutcome(delivery=Delivery.UNSENT, reason=str(error), reservation_failed=True)

    async def _reserve(self, grant: Grant) -> ReservationGroup | None:
        if grant.placement is None or not grant.placement.shares:
            return None
        targets = {member.instance_id: member for member in (grant.host, *grant.helpers)}
        held = await self._reservations.reserve_all(grant.work_id, grant.placement.shares, targets)
        held.start_renewal()
        return held

    async def _connect(self, grant: Grant, job: Job) -> EgressConnection:
        return await self._pool.acquire(
            grant.host.record.address,
            max_idle_s=None if job.route.is_idempotent else UNSAFE_MAX_IDLE_S,
            timeout_s=self._pool.connect_timeout.timeout_s,
        )

    async def _exchange(
        self,
        connection: EgressConnection,
        grant: Grant,
        held: ReservationGroup | None,
        job: Job,
        responder: Responder,
        progress: Progress,
    ) -> AttemptOutcome:
        try:
            connection.start(
                self._encode(grant, held, job, progress),
                matches_request=lambda head: self._codec.answers_request(head, job.request_id),
            )
            self._record_proxy_overhead(job, progress)
            sent_s = self._loop.time()
            head = await self._read_head(connection, grant, job, progress)
            if self._codec.says_not_run(head):
                return await self._read_refusal(connection, head, grant)
            if head.status == OK and job.route.kind is RouteKind.STREAM:
                relay = StreamRelay(
                    codec=self._codec,
                    route=job.route,
                    progress=progress,
                    responder=responder,
                    on_first_event=lambda: self._record_first_event(
                        connection, grant, job, progress
                    ),
                    is_alive=lambda: self._is_alive(grant.host),
                )
                return await relay.run(connection, head)
            outcome = await self._read_answer(connection, head, job, responder, progress)
            self._scheduler.record_call(grant, self._loop.time() - sent_s)
            return outcome
        except (EgressError, EventTooLongError) as error:
            return AttemptOutcome(delivery=Delivery.LOST, reason=str(error))

    async def _read_head(
        self, connection: EgressConnection, grant: Grant, job: Job, progress: Progress
    ) -> ResponseHead:
        probe_after_s = self._head_timeout_s(grant, job, progress)
        is_call = grant.placement is None
        return await read_with_liveness_check(
            connection.read_head,
            connection,
            probe_after_s=probe_after_s,
            give_up_after_s=(probe_after_s or 0.0) * (1.0 if is_call else ALIVE_TIMEOUT_FACTOR),
            is_alive=lambda: self._is_alive(grant.host),
        )

    def _encode(
        self, grant: Grant, held: ReservationGroup | None, job: Job, progress: Progress
    ) -> bytes:
        tickets = () if held is None else held.tickets
        reserved = {ticket.target.instance_id for ticket in tickets}
        unreserved = [h.record.address for h in grant.helpers if h.instance_id not in reserved]
        fields = TargetFields(
            instance_id=grant.host.instance_id,
            remaining_s=max(0.0, job.deadline_s - self._loop.time()),
            workspace="" if job.workspace is None else job.workspace.name,
            last_event_id=progress.last_event_id,
            helpers=(*(ticket.helper for ticket in tickets), *unreserved),
        )
        return self._codec.encode_request(job.request, fields)

    def _head_timeout_s(self, grant: Grant, job: Job, progress: Progress) -> float | None:
        """Return the timeout for the response head; None if only the deadline applies.

        A request that can't be retried on another target has no timeout.
        """
        if not job.route.is_idempotent or len(progress.sent_to) >= job.route.max_attempts:
            return None
        if grant.placement is None:
            return CALL_TIMEOUT_FACTOR * job.route.target_latency_s
        return (
            FIRST_EVENT_TIMEOUT_FACTOR * grant.placement.first_event_in_s
            + FIRST_EVENT_TIMEOUT_SLACK_S
        )

    async def _read_refusal(
        self, connection: EgressConnection, head: ResponseHead, grant: Grant
    ) -> AttemptOutcome:
        await connection.read_whole_body(MAX_RESPONSE_BYTES)
        blamed = self._codec.blamed_address(head)
        return AttemptOutcome(
            delivery=Delivery.REFUSED,
            reason=f"target refused the request with status {head.status}",
            status=head.status,
            blamed="" if blamed == grant.host.record.address else blamed,
        )

    async def _read_answer(
        self,
        connection: EgressConnection,
        head: ResponseHead,
        job: Job,
        responder: Responder,
        progress: Progress,
    ) -> AttemptOutcome:
        body = await connection.read_whole_body(MAX_RESPONSE_BYTES)
        answer = Response(status=head.status, headers=self._codec.caller_headers(head), body=body)
        if head.status >= FIRST_SERVER_ERROR:
            reason = f"target failed with status {head.status}"
            return AttemptOutcome(
                delivery=Delivery.FAILED, reason=reason, status=head.status, answer=answer
            )
        if head.status < FIRST_NON_SUCCESS and not self._codec.has_signature(head):
            return AttemptOutcome(delivery=Delivery.LOST, reason="response has no target signature")
        self._record_response_start(connection, job, progress)
        await responder.answer(answer)
        return AttemptOutcome(delivery=Delivery.DONE, reason="", status=head.status)

    def _record_proxy_overhead(self, job: Job, progress: Progress) -> None:
        if progress.sends == 1:
            taken_s = self._loop.time() - job.request.read_at_s
            progress.added_s = taken_s - progress.waited_s

    def _record_first_event(
        self, connection: EgressConnection, grant: Grant, job: Job, progress: Progress
    ) -> None:
        self._scheduler.record_first_event(grant)
        self._record_response_start(connection, job, progress)

    def _record_response_start(
        self, connection: EgressConnection, job: Job, progress: Progress
    ) -> None:
        if progress.first_output_s is None:
            progress.first_output_s = self._loop.time()
            relay_delay_s = progress.first_output_s - connection.received_s
            self._metrics.record_added(progress.added_s + relay_delay_s)
            taken_s = progress.first_output_s - job.request.read_at_s
            self._metrics.record_first_event(job.fields.prompt_tokens, taken_s)

    def _log_placed(self, grant: Grant, job: Job, progress: Progress) -> None:
        placement = grant.placement
        log_event(
            Event.REQUEST_PLACED,
            request_id=job.request_id,
            route=job.route.name,
            prompt_tokens=job.fields.prompt_tokens,
            target=grant.host.instance_id,
            target_in_flight=grant.host_in_flight,
            target_pace=round(grant.host_pace, 2),
            target_wait_s=round(grant.host_wait_s, 3),
            helpers=[helper.instance_id for helper in grant.helpers],
            tickets=0 if placement is None else len(placement.shares),
            expected_s=None if placement is None else round(placement.first_event_in_s, 3),
            loss=None if placement is None else round(placement.cost, 2),
            waited_s=round(progress.waited_s, 3),
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
