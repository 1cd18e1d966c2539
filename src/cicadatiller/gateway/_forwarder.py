"""Sends a request to targets until one answers, and brings the answer back."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..egress import ConnectionPool, EgressConnection, EgressError, ResponseHead
from ..fleet import Target
from ..ingress import Answer, Responder
from ..kernel import ErrorKind, Event, FailureError, RunState, fail, log_event
from ..routes import RouteKind
from ._events import EventSplitter, EventTooLongError, StreamEvent
from ._job import Job
from ._outcomes import AttemptOutcome, Delivery, NextStep, decide
from ._retry_budget import RetryBudget
from ._scheduler import Grant, Scheduler
from ._tickets import HeldTickets, NoRoomError, TicketOffice
from ._wire import TargetFields, WireCodec

MAX_ANSWER_BYTES = 64 * 1024 * 1024
OK = 200
SERVER_ERRORS = 500

CONNECT_TIMEOUT_S = 0.5
# A call that may be repeated goes elsewhere after so many times its wanted latency.
CALL_LATENCIES = 2.5
FIRST_EVENT_FACTOR = 3.0
FIRST_EVENT_SLACK_S = 1.0
GAP_FACTOR = 3.0
MIN_GAP_TIMEOUT_S = 1.0
UNSAFE_MAX_IDLE_S = 1.0


@dataclass(kw_only=True, slots=True)
class _Progress:
    """What became of a request so far.

    Attributes:
        sends: How many targets it was sent to.
        may_have_run: Whether one of them may have run it.
        tried: The targets that it must not go to again.
        last_event_id: The last event that the caller has.
        refusals: How many targets refused it.
    """

    sends: int = 0
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    last_event_id: bytes = b""
    refusals: int = 0


class Forwarder:
    """Brings requests to targets and answers to callers.

    Args:
        codec: The headers of the deployment.
        pool: The connections to targets.
        scheduler: Places requests.
        tickets: Reserves memory.
        budget: Limits how many requests are sent once more.
        on_lost: Takes a target that failed and why.
    """

    def __init__(
        self,
        *,
        codec: WireCodec,
        pool: ConnectionPool,
        scheduler: Scheduler,
        tickets: TicketOffice,
        budget: RetryBudget,
        on_lost: Callable[[Target, str], None],
    ) -> None:
        self._codec = codec
        self._pool = pool
        self._scheduler = scheduler
        self._tickets = tickets
        self._budget = budget
        self._on_lost = on_lost
        self._loop = asyncio.get_running_loop()

    async def forward(self, job: Job, responder: Responder) -> None:
        """Bring the answer of a target to the caller.

        Raises:
            FailureError: If there is none, and nothing was written to the caller.
        """
        self._budget.note_request(job.service, self._loop.time())
        progress = _Progress(last_event_id=job.fields.last_event_id)
        try:
            async with asyncio.timeout_at(job.limit_s):
                await self._forward(job, responder, progress)
        except TimeoutError:
            raise self._too_late(job, progress) from None
        except FailureError as error:
            if not progress.may_have_run:
                raise
            state = RunState.OUTCOME_UNKNOWN
            raise FailureError(error.failure.with_run_state(state)) from error

    async def _forward(self, job: Job, responder: Responder, progress: _Progress) -> None:
        while True:
            grant = await self._scheduler.acquire(job, excluded=progress.tried)
            try:
                outcome = await self._try(grant, job, responder, progress)
            finally:
                self._scheduler.release(grant)
            if outcome.delivery is Delivery.DONE:
                return
            self._note(grant, outcome, progress)
            step = self._decide(job, outcome, progress)
            log_event(
                Event.REQUEST_RETRIED if step is NextStep.RETRY else Event.TARGET_FAILED,
                request_id=job.request_id,
                target=grant.host.instance_id,
                delivery=outcome.delivery.value,
                reason=outcome.reason,
                sends=progress.sends,
                next=step.value,
            )
            if step is NextStep.PASS_ON and outcome.answer is not None:
                await responder.answer(outcome.answer)
                return
            if step is not NextStep.RETRY:
                raise _failure(step, outcome)

    def _decide(self, job: Job, outcome: AttemptOutcome, progress: _Progress) -> NextStep:
        step = decide(
            outcome,
            is_idempotent=job.route.is_idempotent,
            may_have_run=progress.may_have_run,
            sends_left=job.route.max_attempts - progress.sends,
        )
        if step is not NextStep.RETRY or outcome.delivery is Delivery.UNSENT:
            return step
        if self._budget.take(job.service, self._loop.time()):
            return step
        return decide(
            outcome,
            is_idempotent=job.route.is_idempotent,
            may_have_run=progress.may_have_run,
            sends_left=0,
        )

    def _note(self, grant: Grant, outcome: AttemptOutcome, progress: _Progress) -> None:
        progress.tried.add(outcome.blamed or grant.host.instance_id)
        if outcome.delivery is Delivery.REFUSED:
            progress.refusals += 1
            return
        if outcome.delivery in (Delivery.LOST, Delivery.FAILED):
            progress.may_have_run = True
        unreachable = outcome.delivery is Delivery.UNSENT
        grant.host.breaker.note_failure(self._loop.time(), unreachable=unreachable)
        if outcome.delivery is not Delivery.FAILED:
            self._on_lost(grant.host, outcome.reason)

    async def _try(
        self, grant: Grant, job: Job, responder: Responder, progress: _Progress
    ) -> AttemptOutcome:
        held: HeldTickets | None = None
        try:
            if grant.placing is not None and grant.placing.shares:
                targets = {helper.instance_id: helper for helper in grant.helpers}
                held = await self._tickets.take(grant.work_id, grant.placing.shares, targets)
                held.keep()
            connection = await self._connect(grant.host, job)
        except NoRoomError as error:
            return AttemptOutcome(delivery=Delivery.REFUSED, reason=str(error))
        except EgressError as error:
            if held is not None:
                held.give_back()
            return AttemptOutcome(delivery=Delivery.UNSENT, reason=str(error))
        try:
            progress.sends += 1
            return await self._exchange(connection, grant, held, job, responder, progress)
        finally:
            self._pool.give_back(connection)
            if held is not None:
                held.give_back()

    async def _connect(self, target: Target, job: Job) -> EgressConnection:
        max_idle_s = None if job.route.is_idempotent else UNSAFE_MAX_IDLE_S
        return await self._pool.take(
            target.record.address, max_idle_s=max_idle_s, timeout_s=CONNECT_TIMEOUT_S
        )

    async def _exchange(
        self,
        connection: EgressConnection,
        grant: Grant,
        held: HeldTickets | None,
        job: Job,
        responder: Responder,
        progress: _Progress,
    ) -> AttemptOutcome:
        request = self._encode(grant, held, job, progress)
        try:
            connection.start(
                request,
                is_answer=lambda head: self._codec.answers_request(head, job.request_id),
            )
            async with asyncio.timeout(self._head_timeout_s(grant, job, progress)):
                head = await connection.read_head()
            if self._codec.says_not_run(head):
                return await self._read_refusal(connection, head)
            if head.status == OK and job.route.kind is RouteKind.STREAM:
                relay = _StreamRelay(
                    codec=self._codec,
                    scheduler=self._scheduler,
                    grant=grant,
                    job=job,
                    progress=progress,
                    responder=responder,
                )
                return await relay.run(connection, head)
            return await self._read_answer(connection, head, grant, responder)
        except (EgressError, EventTooLongError) as error:
            return AttemptOutcome(delivery=Delivery.LOST, reason=str(error))
        except TimeoutError:
            return AttemptOutcome(delivery=Delivery.LOST, reason="no answer in time")

    def _encode(
        self, grant: Grant, held: HeldTickets | None, job: Job, progress: _Progress
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

    def _head_timeout_s(self, grant: Grant, job: Job, progress: _Progress) -> float | None:
        """Return after how long another target is tried; None to wait until the end."""
        if not job.route.is_idempotent or progress.sends >= job.route.max_attempts:
            return None
        if grant.placing is None:
            return CALL_LATENCIES * job.route.target_latency_s
        return FIRST_EVENT_FACTOR * grant.placing.first_in_s + FIRST_EVENT_SLACK_S

    async def _read_refusal(
        self, connection: EgressConnection, head: ResponseHead
    ) -> AttemptOutcome:
        await connection.read_whole_body(MAX_ANSWER_BYTES)
        return AttemptOutcome(
            delivery=Delivery.REFUSED,
            reason=f"the target refused it with status {head.status}",
            blamed=self._codec.blamed_target(head),
        )

    async def _read_answer(
        self, connection: EgressConnection, head: ResponseHead, grant: Grant, responder: Responder
    ) -> AttemptOutcome:
        body = await connection.read_whole_body(MAX_ANSWER_BYTES)
        answer = Answer(status=head.status, headers=self._codec.caller_headers(head), body=body)
        if head.status >= SERVER_ERRORS:
            reason = f"the target answered with status {head.status}"
            return AttemptOutcome(delivery=Delivery.FAILED, reason=reason, answer=answer)
        if not self._codec.has_signature(head) and head.status < 300:
            return AttemptOutcome(delivery=Delivery.LOST, reason="the answer is not signed")
        grant.host.breaker.note_success(self._loop.time())
        await responder.answer(answer)
        return AttemptOutcome(delivery=Delivery.DONE, reason="")

    def _too_late(self, job: Job, progress: _Progress) -> FailureError:
        state = RunState.OUTCOME_UNKNOWN if progress.may_have_run or progress.sends else None
        return fail(
            ErrorKind.DEADLINE_EXCEEDED,
            "no answer came within the time limit",
            run_state=state or RunState.NOT_RUN,
        )


class _StreamRelay:
    """Passes the events of one target on to the caller."""

    def __init__(
        self,
        *,
        codec: WireCodec,
        scheduler: Scheduler,
        grant: Grant,
        job: Job,
        progress: _Progress,
        responder: Responder,
    ) -> None:
        self._codec = codec
        self._scheduler = scheduler
        self._grant = grant
        self._job = job
        self._progress = progress
        self._responder = responder
        self._splitter = EventSplitter()

    async def run(self, connection: EgressConnection, head: ResponseHead) -> AttemptOutcome:
        """Relay until the end of the stream; raises what ends it before."""
        has_begun = False
        gap_s = self._gap_timeout_s()
        while True:
            async with asyncio.timeout(gap_s):
                data = await connection.read_body()
            if not data:
                break
            for event in self._splitter.feed(data):
                if not has_begun:
                    has_begun = True
                    self._scheduler.begin(self._grant)
                await self._pass_on(event, head)
        if self._splitter.has_rest:
            return AttemptOutcome(delivery=Delivery.LOST, reason="the stream ends within an event")
        self._grant.host.breaker.note_success(asyncio.get_running_loop().time())
        if not self._responder.has_begun:
            await self._responder.start_stream(head.status, self._codec.caller_headers(head))
        await self._responder.finish()
        return AttemptOutcome(delivery=Delivery.DONE, reason="")

    async def _pass_on(self, event: StreamEvent, head: ResponseHead) -> None:
        if not self._responder.has_begun:
            await self._responder.start_stream(head.status, self._codec.caller_headers(head))
        if not _follows(event.event_id, self._progress.last_event_id):
            raise _out_of_order(event.event_id, self._progress.last_event_id)
        await self._responder.send(event.data)
        if event.event_id:
            self._progress.last_event_id = event.event_id

    def _gap_timeout_s(self) -> float | None:
        route = self._job.route
        if not route.is_resumable:
            return None
        return max(MIN_GAP_TIMEOUT_S, GAP_FACTOR * (route.max_gap_s or 0.0))


def _follows(event_id: bytes, last_event_id: bytes) -> bool:
    """Tell whether an event is the next one; ids that are no numbers can't be checked."""
    if not event_id.isdigit() or not last_event_id.isdigit():
        return True
    return int(event_id) == int(last_event_id) + 1


def _out_of_order(event_id: bytes, last_event_id: bytes) -> EgressError:
    return EgressError(f"event {event_id!r} came after {last_event_id!r}")


def _failure(step: NextStep, outcome: AttemptOutcome) -> FailureError:
    if step is NextStep.REFUSE:
        return fail(ErrorKind.TARGET_REFUSED, outcome.reason, run_state=RunState.NOT_RUN)
    return fail(ErrorKind.TARGET_LOST, outcome.reason, run_state=RunState.OUTCOME_UNKNOWN)
