"""Sends a request to targets until one answers, and brings the answer back."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from ..egress import ConnectionPool, EgressConnection, EgressError, ResponseHead
from ..fleet import Target
from ..ingress import Answer, Responder
from ..kernel import ErrorKind, Event, FailureError, RunState, fail, log_event
from ..routes import RouteKind
from ._events import EventTooLongError
from ._job import Job
from ._metrics import GatewayMetrics
from ._outcomes import AttemptOutcome, Delivery, NextStep, decide
from ._patience import read_patiently
from ._progress import Progress
from ._retry_budget import RetryBudget
from ._scheduler import Scheduler
from ._stream import StreamRelay
from ._tickets import HeldTickets, NoRoomError, TicketOffice
from ._waiter import Grant
from ._wire import TargetFields, WireCodec

MAX_ANSWER_BYTES = 64 * 1024 * 1024
OK = 200
FIRST_ERROR = 300
SERVER_ERRORS = 500
MISDIRECTED = 421

# A call that may be repeated goes elsewhere after so many times its wanted latency.
CALL_LATENCIES = 2.5
FIRST_EVENT_FACTOR = 3.0
FIRST_EVENT_SLACK_S = 0.5
# A target that lives is waited for so many times as long for its first event.
HEAD_PATIENCE = 2.0
# The target may close a connection that has been idle just as a request is sent on it, and then
# nobody knows whether it ran.
UNSAFE_MAX_IDLE_S = 1.0


class Forwarder:
    """Brings requests to targets and answers to callers.

    Args:
        codec: The headers of the deployment.
        pool: The connections to targets.
        scheduler: Places requests.
        tickets: Reserves memory.
        budget: Limits how many requests are sent once more.
        metrics: Counts.
        on_failure: Takes a target that did not bring a request to a good end, and why.
        is_alive: Asks a target whether it lives.
    """

    def __init__(
        self,
        *,
        codec: WireCodec,
        pool: ConnectionPool,
        scheduler: Scheduler,
        tickets: TicketOffice,
        budget: RetryBudget,
        metrics: GatewayMetrics,
        on_failure: Callable[[Target, AttemptOutcome], None],
        is_alive: Callable[[Target], Awaitable[bool]],
    ) -> None:
        self._codec = codec
        self._pool = pool
        self._scheduler = scheduler
        self._tickets = tickets
        self._budget = budget
        self._metrics = metrics
        self._on_failure = on_failure
        self._is_alive = is_alive
        self._loop = asyncio.get_running_loop()

    async def forward(self, job: Job, responder: Responder, progress: Progress) -> AttemptOutcome:
        """Bring the answer of a target to the caller.

        Args:
            job: The request.
            responder: Takes the answer.
            progress: Is kept up to date.

        Returns:
            How the last send ended.

        Raises:
            FailureError: If no whole answer was brought. A part of one may have been.
        """
        self._budget.note_request(job.service, self._loop.time())
        try:
            async with asyncio.timeout_at(job.limit_s):
                return await self._forward(job, responder, progress)
        except TimeoutError:
            raise _too_late(progress) from None
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
                only=self._allowed(job, progress),
                is_begun=bool(progress.last_event_id),
            )
            progress.waited_s += self._loop.time() - began_s
            self._log_placed(grant, job, progress)
            sent_s = self._loop.time()
            try:
                outcome = await self._try(grant, job, responder, progress)
            finally:
                self._scheduler.release(grant)
            self._metrics.note_send(outcome.delivery.value)
            if outcome.delivery is Delivery.DONE:
                grant.host.breaker.note_success(self._loop.time(), began_s=sent_s)
                return outcome
            step = self._after_failure(grant, job, outcome, progress)
            if step is NextStep.PASS_ON and outcome.answer is not None:
                await responder.answer(outcome.answer)
                return outcome
            if step is not NextStep.RETRY:
                raise _failure(step, outcome, job)

    def _allowed(self, job: Job, progress: Progress) -> frozenset[str] | None:
        """Return the only targets that may be sent the request; None if any may."""
        if len(progress.sent_to) < job.route.max_attempts:
            return None
        return frozenset(progress.sent_to)

    def _after_failure(
        self, grant: Grant, job: Job, outcome: AttemptOutcome, progress: Progress
    ) -> NextStep:
        if not outcome.blamed and not outcome.is_full:
            progress.tried.add(grant.host.instance_id)
        if outcome.delivery in (Delivery.LOST, Delivery.FAILED):
            progress.may_have_run = True
        self._on_failure(grant.host, outcome)
        step = self._decide(job, outcome, progress)
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

    def _decide(self, job: Job, outcome: AttemptOutcome, progress: Progress) -> NextStep:
        targets_left = job.route.max_attempts - len(progress.sent_to)
        step = decide(
            outcome,
            is_idempotent=job.route.is_idempotent,
            may_have_run=progress.may_have_run,
            targets_left=targets_left,
        )
        if step is not NextStep.RETRY or progress.sends == 0:
            return step
        if self._budget.take(job.service, self._loop.time()):
            return step
        return decide(
            replace(outcome, blamed=""),
            is_idempotent=job.route.is_idempotent,
            may_have_run=progress.may_have_run,
            targets_left=0,
        )

    async def _try(
        self, grant: Grant, job: Job, responder: Responder, progress: Progress
    ) -> AttemptOutcome:
        held: HeldTickets | None = None
        try:
            held = await self._reserve(grant)
            connection = await self._connect(grant, job)
        except NoRoomError as error:
            for target in error.refusing:
                target.note_help_failed(self._loop.time())
            return AttemptOutcome(delivery=Delivery.UNSENT, reason=str(error), is_full=True)
        except EgressError as error:
            return AttemptOutcome(delivery=Delivery.UNSENT, reason=str(error))
        else:
            try:
                progress.sends += 1
                progress.sent_to.add(grant.host.instance_id)
                return await self._exchange(connection, grant, held, job, responder, progress)
            finally:
                self._pool.give_back(connection)
        finally:
            if held is not None:
                held.give_back()

    async def _reserve(self, grant: Grant) -> HeldTickets | None:
        if grant.placing is None or not grant.placing.shares:
            return None
        targets = {helper.instance_id: helper for helper in grant.helpers}
        held = await self._tickets.take(grant.work_id, grant.placing.shares, targets)
        held.keep()
        return held

    async def _connect(self, grant: Grant, job: Job) -> EgressConnection:
        return await self._pool.take(
            grant.host.record.address,
            max_idle_s=None if job.route.is_idempotent else UNSAFE_MAX_IDLE_S,
            timeout_s=self._pool.dials.timeout_s,
        )

    async def _exchange(
        self,
        connection: EgressConnection,
        grant: Grant,
        held: HeldTickets | None,
        job: Job,
        responder: Responder,
        progress: Progress,
    ) -> AttemptOutcome:
        try:
            connection.start(
                self._encode(grant, held, job, progress),
                is_answer=lambda head: self._codec.answers_request(head, job.request_id),
            )
            self._note_sent(job, progress)
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
                    on_first_event=lambda: self._note_first_event(connection, grant, job, progress),
                    is_alive=lambda: self._is_alive(grant.host),
                )
                return await relay.run(connection, head)
            outcome = await self._read_answer(connection, head, job, responder, progress)
            self._scheduler.note_call(grant, self._loop.time() - sent_s)
            return outcome
        except (EgressError, EventTooLongError) as error:
            return AttemptOutcome(delivery=Delivery.LOST, reason=str(error))

    async def _read_head(
        self, connection: EgressConnection, grant: Grant, job: Job, progress: Progress
    ) -> ResponseHead:
        first_s = self._head_timeout_s(grant, job, progress)
        is_call = grant.placing is None
        return await read_patiently(
            connection.read_head,
            connection,
            first_s=first_s,
            whole_s=(first_s or 0.0) * (1.0 if is_call else HEAD_PATIENCE),
            is_alive=lambda: self._is_alive(grant.host),
        )

    def _encode(
        self, grant: Grant, held: HeldTickets | None, job: Job, progress: Progress
    ) -> bytes:
        tickets = () if held is None else held.tickets
        reserved = {ticket.target.instance_id for ticket in tickets}
        plain = [h.record.address for h in grant.helpers if h.instance_id not in reserved]
        fields = TargetFields(
            instance_id=grant.host.instance_id,
            remaining_s=max(0.0, job.limit_s - self._loop.time()),
            workspace="" if job.workspace is None else job.workspace.name,
            last_event_id=progress.last_event_id,
            helpers=(*(ticket.helper for ticket in tickets), *plain),
        )
        return self._codec.encode_request(job.request, fields)

    def _head_timeout_s(self, grant: Grant, job: Job, progress: Progress) -> float | None:
        """Return after how long another target is tried; None to wait until the end."""
        if not job.route.is_idempotent or len(progress.sent_to) >= job.route.max_attempts:
            return None
        if grant.placing is None:
            return CALL_LATENCIES * job.route.target_latency_s
        return FIRST_EVENT_FACTOR * grant.placing.first_in_s + FIRST_EVENT_SLACK_S

    async def _read_refusal(
        self, connection: EgressConnection, head: ResponseHead, grant: Grant
    ) -> AttemptOutcome:
        await connection.read_whole_body(MAX_ANSWER_BYTES)
        blamed = self._codec.blamed_address(head)
        return AttemptOutcome(
            delivery=Delivery.REFUSED,
            reason=f"the target refused it with status {head.status}",
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
        body = await connection.read_whole_body(MAX_ANSWER_BYTES)
        answer = Answer(status=head.status, headers=self._codec.caller_headers(head), body=body)
        if head.status >= SERVER_ERRORS:
            reason = f"the target answered with status {head.status}"
            return AttemptOutcome(
                delivery=Delivery.FAILED, reason=reason, status=head.status, answer=answer
            )
        if head.status < FIRST_ERROR and not self._codec.has_signature(head):
            return AttemptOutcome(delivery=Delivery.LOST, reason="the answer is not signed")
        self._note_answered(connection, job, progress)
        await responder.answer(answer)
        return AttemptOutcome(delivery=Delivery.DONE, reason="", status=head.status)

    def _note_sent(self, job: Job, progress: Progress) -> None:
        if progress.sends == 1:
            taken_s = self._loop.time() - job.request.read_at_s
            progress.added_s = taken_s - progress.waited_s

    def _note_first_event(
        self, connection: EgressConnection, grant: Grant, job: Job, progress: Progress
    ) -> None:
        self._scheduler.begin(grant)
        self._note_answered(connection, job, progress)

    def _note_answered(self, connection: EgressConnection, job: Job, progress: Progress) -> None:
        if progress.first_part_s is None:
            progress.first_part_s = self._loop.time()
            back_s = progress.first_part_s - connection.received_s
            self._metrics.note_added(progress.added_s + back_s)
            taken_s = progress.first_part_s - job.request.read_at_s
            self._metrics.note_first_event(job.fields.prompt_tokens, taken_s)

    def _log_placed(self, grant: Grant, job: Job, progress: Progress) -> None:
        placing = grant.placing
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
            tickets=0 if placing is None else len(placing.shares),
            expected_s=None if placing is None else round(placing.first_in_s, 3),
            loss=None if placing is None else round(placing.cost, 2),
            waited_s=round(progress.waited_s, 3),
        )


def _too_late(progress: Progress) -> FailureError:
    sent = progress.may_have_run or progress.sends > 0
    return fail(
        ErrorKind.DEADLINE_EXCEEDED,
        "no whole answer came within the time limit",
        run_state=RunState.OUTCOME_UNKNOWN if sent else RunState.NOT_RUN,
    )


def _failure(step: NextStep, outcome: AttemptOutcome, job: Job) -> FailureError:
    if step is not NextStep.REFUSE:
        return fail(ErrorKind.TARGET_LOST, outcome.reason, run_state=RunState.OUTCOME_UNKNOWN)
    return fail(
        ErrorKind.TARGET_REFUSED,
        outcome.reason,
        run_state=RunState.NOT_RUN,
        retry_after_s=job.route.target_latency_s / 2,
    )
