"""One attempt of a request: its connection to a target, its reservations and its response."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..egress import (
    ConnectionLostError,
    ConnectionPool,
    DiscardPolicy,
    EgressConnection,
    EgressError,
    MalformedResponseError,
    ResponseHead,
)
from ..fleet import Target
from ..ingress import Responder, Response
from ..kernel import Event, log_event
from ..routes import RouteKind
from ._events import EventTooLongError
from ._failure_response import NOT_RUN_STATUSES
from ._job import Job
from ._liveness import TargetUnresponsiveError, read_with_liveness_check
from ._metrics import GatewayMetrics
from ._outcomes import AttemptOutcome, Delivery
from ._progress import Progress
from ._scheduler import Scheduler
from ._stream import StreamRelay
from ._tickets import (
    ReservationError,
    ReservationGroup,
    ReservationManager,
    ReservationUnusedError,
    check_usable,
)
from ._waiter import Grant
from ._wire import TargetFields, WireCodec

MAX_RESPONSE_BYTES = 1024 * 1024
# The body of a refusal, or of a failure in place of a stream, is sent at once; the time leaves room
# for a sound target's pause.
FAILURE_BODY_TIMEOUT_S = 1.5
OK = 200
FIRST_SERVER_ERROR = 500

# A response, or its first event, times out after this multiple of its expected time, plus the slack.
HEAD_TIMEOUT_FACTOR = 3.0
HEAD_TIMEOUT_SLACK_S = 0.5
# Multiplies the first-event timeout of a target that passes the liveness check.
ALIVE_TIMEOUT_FACTOR = 2.0
# The shortest timeout after a discarded response that may have been the expected one.
MIN_DISCARD_TIMEOUT_S = 1.0
# Non-idempotent requests use only connections that were idle for at most this time: if the target
# closes an idle connection just as a request is sent, it is unknown whether the request ran.
UNSAFE_MAX_IDLE_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptServices:
    """What the attempts of all requests share.

    Attributes:
        codec: Encodes and decodes the deployment's headers.
        pool: The connections to targets.
        scheduler: Is told of first events, calls and the end of each attempt.
        reservations: Reserves memory on helpers.
        metrics: Records latencies.
        on_head: Called with the target, each response head that it sent, and when its request was
            sent.
        is_alive: Runs a liveness check of an engine.
    """

    codec: WireCodec
    pool: ConnectionPool
    scheduler: Scheduler
    reservations: ReservationManager
    metrics: GatewayMetrics
    on_head: Callable[[Target, ResponseHead, float], None]
    is_alive: Callable[[Target], Awaitable[bool]]


class Attempt:
    """One attempt of a request at the targets of a grant.

    An attempt whose target is unresponsive may be kept open and read further, as the target may only
    have paused. Whoever makes an attempt calls `close` once, however it ends.

    Args:
        services: What the attempts of all requests share.
        grant: The targets; released by `close`.
        job: The request.
        responder: Writes the response to the caller.
        progress: The state of the request across its attempts.
        now_s: The loop time.
        on_output: Called with this attempt before it writes anything to the caller.

    Attributes:
        grant: The targets.
        began_s: The loop time at which the attempt was made.
        is_resumed: Whether it goes on with a stream of which the caller has events.
        is_closed: Whether the targets were released.
    """

    def __init__(
        self,
        *,
        services: AttemptServices,
        grant: Grant,
        job: Job,
        responder: Responder,
        progress: Progress,
        now_s: Callable[[], float],
        on_output: Callable[["Attempt"], None],
    ) -> None:
        self.grant = grant
        self.began_s = now_s()
        self.is_resumed = bool(progress.last_event_id)
        self.is_closed = False
        self._services = services
        self._job = job
        self._responder = responder
        self._progress = progress
        self._now_s = now_s
        self._on_output = on_output
        self._held: ReservationGroup | None = None
        self._connection: EgressConnection | None = None
        self._sent_s = 0.0
        self._head: ResponseHead | None = None
        self._relay: StreamRelay | None = None
        self._matcher = services.codec.match_request(job.request_id)

    async def run(self) -> AttemptOutcome:
        """Send the request and forward the response.

        If the request may still be sent to another target, the attempt ends as unresponsive after a time
        without data; otherwise it lasts until the response or the connection ends.
        """
        try:
            self._held = await self._reserve()
            self._connection = await self._connect()
        except ReservationError as error:
            return self._record_failed_reservation(error)
        except EgressError as error:
            return AttemptOutcome(delivery=Delivery.UNSENT, reason=str(error))
        self._progress.sends += 1
        self._progress.sent_to.add(self.grant.host.instance_id)
        return await self._exchange(self._connection)

    async def has_data_within(self, timeout_s: float) -> bool:
        """Wait for data from an unresponsive target; return whether there is any."""
        assert self._connection is not None
        try:
            async with asyncio.timeout(timeout_s):
                return await self._connection.wait_for_data()
        except TimeoutError:
            return False

    async def read_on(self) -> AttemptOutcome:
        """Go on with the response of a target that was unresponsive."""
        assert self._connection is not None
        return await self._read_response(self._connection)

    def close(self) -> None:
        """Release the targets; a response that is incomplete is abandoned."""
        self.is_closed = True
        if self._connection is not None:
            self._services.pool.release(self._connection)
        if self._held is not None:
            self._held.start_release_all()
        self._services.scheduler.release(self.grant)

    @property
    def _has_timeouts(self) -> bool:
        """Return whether the attempt may end as unresponsive, as another target may get the request."""
        route, progress = self._job.route, self._progress
        may_repeat = route.is_idempotent and progress.can_resume
        return may_repeat and len(progress.sent_to) < route.max_attempts

    def _record_failed_reservation(self, error: ReservationError) -> AttemptOutcome:
        for target in error.failed_targets:
            if target is self.grant.host:
                self._progress.tried.add(target.instance_id)
            else:
                target.record_help_failure(self._now_s())
        return AttemptOutcome(delivery=Delivery.UNSENT, reason=str(error), reservation_failed=True)

    async def _reserve(self) -> ReservationGroup | None:
        grant = self.grant
        check_usable((grant.host, *grant.helpers), self._now_s())
        if grant.placement is None or not grant.placement.shares:
            return None
        targets = {member.instance_id: member for member in (grant.host, *grant.helpers)}
        held = await self._services.reservations.reserve_all(
            grant.work_id, grant.placement.shares, targets
        )
        held.start_renewal()
        return held

    async def _connect(self) -> EgressConnection:
        pool = self._services.pool
        members = (self.grant.host, *self.grant.helpers)
        check_usable(members, self._now_s())
        connection = await pool.acquire(
            self.grant.host.record.address,
            matcher=self._matcher,
            max_idle_s=None if self._job.route.is_idempotent else UNSAFE_MAX_IDLE_S,
            timeout_s=pool.connect_timeout.timeout_s,
        )
        try:
            check_usable(members, self._now_s())
            if self._held is not None:
                self._held.check_held(self._now_s())
        except ReservationError:
            pool.add_idle(connection)
            raise
        return connection

    async def _exchange(self, connection: EgressConnection) -> AttemptOutcome:
        try:
            connection.start(
                self._encode(),
                matcher=self._matcher,
                body=self._job.request.body,
                is_head_request=self._job.request.method == b"HEAD",
                discard=DiscardPolicy(
                    timeout_s=max(MIN_DISCARD_TIMEOUT_S, self._head_timeout_s()),
                    on_discard=self._record_discard,
                ),
            )
        except EgressError as error:
            return AttemptOutcome(delivery=Delivery.LOST, reason=str(error))
        self._record_proxy_overhead()
        self._sent_s = self._now_s()
        return await self._read_response(connection)

    async def _read_response(self, connection: EgressConnection) -> AttemptOutcome:
        try:
            if self._head is None:
                self._head = await self._read_head_while_reserved(connection)
                self._services.on_head(self.grant.host, self._head, self._sent_s)
            return await self._read_rest(connection, self._head)
        except (EgressError, EventTooLongError) as error:
            return AttemptOutcome(
                delivery=Delivery.LOST,
                reason=str(error),
                is_unresponsive=isinstance(error, TargetUnresponsiveError),
                has_head=self._head is not None,
                is_disconnected=isinstance(error, ConnectionLostError),
            )

    async def _read_rest(self, connection: EgressConnection, head: ResponseHead) -> AttemptOutcome:
        if self._services.codec.says_not_run(head):
            return await self._read_refusal(connection, head)
        if head.status == OK and self._job.route.kind is RouteKind.STREAM:
            if self._relay is None:
                self._relay = self._make_relay(connection)
            return await self._relay.run(connection, head, has_timeouts=self._has_timeouts)
        outcome = await self._read_answer(connection, head)
        self._services.scheduler.record_call(self.grant, self._now_s() - self._sent_s)
        return outcome

    async def _read_head_while_reserved(self, connection: EgressConnection) -> ResponseHead:
        """Read the head, unless the target leaves the reserved memory unused for too long."""
        held = self._held
        if held is None:
            return await self._read_head(connection)
        try:
            async with held.timeout_if_unused():
                head = await self._read_head(connection)
        except TimeoutError:
            message = "the target left its reserved memory unused"
            raise ReservationUnusedError(message) from None
        held.is_used = True
        return head

    async def _read_head(self, connection: EgressConnection) -> ResponseHead:
        probe_after_s = self._head_timeout_s() if self._has_timeouts else None
        is_call = self.grant.placement is None
        return await read_with_liveness_check(
            connection.read_head,
            connection,
            probe_after_s=probe_after_s,
            give_up_after_s=(probe_after_s or 0.0) * (1.0 if is_call else ALIVE_TIMEOUT_FACTOR),
            is_alive=self._is_alive,
        )

    def _record_discard(self) -> None:
        if self._held is not None:
            self._held.discarded_s = self._now_s()

    def _make_relay(self, connection: EgressConnection) -> StreamRelay:
        return StreamRelay(
            codec=self._services.codec,
            route=self._job.route,
            progress=self._progress,
            responder=self._responder,
            on_output=lambda: self._on_output(self),
            on_first_event=lambda: self._record_first_event(connection),
            is_alive=self._is_alive,
            max_output_tokens=self._job.fields.max_output_tokens,
        )

    async def _is_alive(self) -> bool:
        if self.grant.placement is None:
            return False
        return await self._services.is_alive(self.grant.host)

    def _encode(self) -> bytes:
        grant, job = self.grant, self._job
        tickets = () if self._held is None else self._held.tickets
        reserved = {ticket.target.instance_id for ticket in tickets}
        unreserved = [h.record.address for h in grant.helpers if h.instance_id not in reserved]
        fields = TargetFields(
            instance_id=grant.host.instance_id,
            remaining_s=max(0.0, job.deadline_s - self._now_s()),
            workspace="" if job.workspace is None else job.workspace.name,
            last_event_id=self._progress.last_event_id,
            helpers=(*(ticket.helper for ticket in tickets), *unreserved),
        )
        return self._services.codec.encode_request(job.request, fields)

    def _head_timeout_s(self) -> float:
        """Return the timeout for the response head.

        A call is given up soon enough for another target to respond within the caller's time.
        """
        placement = self.grant.placement
        expected_s = self.grant.host_call_s if placement is None else placement.first_event_in_s
        usual_s = HEAD_TIMEOUT_FACTOR * expected_s
        timeout_s = usual_s + HEAD_TIMEOUT_SLACK_S
        if placement is not None:
            return timeout_s
        left_s = self._job.deadline_s - self._now_s()
        return min(timeout_s, max(usual_s, left_s - usual_s))

    async def _read_refusal(
        self, connection: EgressConnection, head: ResponseHead
    ) -> AttemptOutcome:
        await self._read_failure_body(connection)
        blamed = self._services.codec.blamed_address(head)
        return AttemptOutcome(
            delivery=Delivery.REFUSED,
            reason=f"target refused the request with status {head.status}",
            status=head.status,
            blamed="" if blamed == self.grant.host.record.address else blamed,
        )

    async def _read_failure_body(self, connection: EgressConnection) -> bytes:
        """Read a body within a time that leaves the caller some for another target's response.

        Raises:
            EgressError: If it is too long or takes longer, or the connection ends.
        """
        try:
            async with asyncio.timeout(FAILURE_BODY_TIMEOUT_S):
                return await connection.read_whole_body(MAX_RESPONSE_BYTES)
        except TimeoutError:
            raise MalformedResponseError(
                f"the body of a failure is incomplete after {FAILURE_BODY_TIMEOUT_S} s"
            ) from None

    async def _read_answer(
        self, connection: EgressConnection, head: ResponseHead
    ) -> AttemptOutcome:
        codec = self._services.codec
        if self._job.route.kind is RouteKind.STREAM:
            body = await self._read_failure_body(connection)
        else:
            body = await connection.read_whole_body(MAX_RESPONSE_BYTES)
        if self._responder.has_begun:
            reason = f"target answered a resumed stream with status {head.status}"
            return AttemptOutcome(delivery=Delivery.FAILED, reason=reason, status=head.status)
        answer = Response(status=head.status, headers=codec.caller_headers(head), body=body)
        if head.status >= FIRST_SERVER_ERROR or head.status in NOT_RUN_STATUSES:
            reason = f"target failed with status {head.status}"
            # From an entry, these state that the request did not run, which this response does not.
            is_passed_on = head.status not in NOT_RUN_STATUSES
            return AttemptOutcome(
                delivery=Delivery.FAILED,
                reason=reason,
                status=head.status,
                answer=answer if is_passed_on else None,
            )
        self._on_output(self)
        self._record_response_start(connection)
        await self._responder.answer(answer)
        return AttemptOutcome(delivery=Delivery.DONE, reason="", status=head.status)

    def _record_proxy_overhead(self) -> None:
        progress = self._progress
        if progress.sends == 1:
            taken_s = self._now_s() - self._job.request.read_at_s
            progress.added_s = taken_s - progress.waited_s

    def _record_first_event(self, connection: EgressConnection) -> None:
        self._services.scheduler.record_first_event(self.grant)
        self._record_response_start(connection)

    def _record_response_start(self, connection: EgressConnection) -> None:
        progress, metrics = self._progress, self._services.metrics
        if progress.first_output_s is None:
            progress.first_output_s = self._now_s()
            relay_delay_s = progress.first_output_s - connection.received_s
            metrics.record_added(progress.added_s + relay_delay_s)
            taken_s = progress.first_output_s - self._job.request.read_at_s
            metrics.record_first_event(self._job.fields.prompt_tokens, taken_s)


def log_placed(grant: Grant, job: Job, progress: Progress) -> None:
    """Log the targets that were assigned to a request."""
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
