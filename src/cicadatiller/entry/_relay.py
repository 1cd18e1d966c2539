"""Relays one answer from sidecars to its caller, across reconnects and retries."""

import asyncio
import contextlib
from collections.abc import Callable

from ..kernel import ErrorKind, Event, Failure, FailureError, RunState, fail, log_event
from ..membership import Target
from ..peer import Accepted, Attach, PeerConnection, PeerLostError, Submit
from ._answer import AnswerReader, EndedTargetRun, MissingTokensError
from ._commands import RequestCommands
from ._crash_guard import CrashGuard
from ._peers import PeerPool
from ._requests import Emit, WorkRequest, make_call, make_generation

RECONNECT_S = 0.2
MOVE_AFTER_S = 1.0
RECONNECT_LIMIT_S = 15.0
# The time in which the sidecar's final frame arrives; an answer that is later comes too late.
REPLY_MARGIN_S = 0.1
WAIT_FOR_TARGET_S = 10.0
MAX_ATTEMPTS = 4

_NON_RETRYABLE_KINDS = (
    ErrorKind.DEADLINE_EXCEEDED,
    ErrorKind.CANCELLED,
    ErrorKind.TOO_LARGE,
    ErrorKind.INVALID_REQUEST,
    ErrorKind.UNKNOWN_REQUEST,
    ErrorKind.ANSWER_CORRUPT,
    ErrorKind.KEY_CONFLICT,
    ErrorKind.CRASHES_TARGETS,
)

PickTarget = Callable[[frozenset[str]], Target]


class Relay:
    """Sends one request to sidecars and relays its answer.

    Lost connections are reopened, and failed attempts are retried on other targets if the request
    allows it.

    Args:
        request: The request.
        deployment: The workspace's deployment.
        version: Returns the model version to run in the current attempt.
        pool: The connections to sidecars.
        pick: Chooses a target, leaving out the given addresses.
        may_retry: Spends one retry of the retry budget; returns whether the budget allows it.
        has_retry: Returns whether the budget allows a retry, without spending it.
        emit: Called with the events of the answer.
        guard: Refuses the request if targets crash under it; None for one that is only read.
        is_stopping: Returns whether this entry is stopping; the request is then not cancelled,
            because the caller may resume it through another entry.
    """

    def __init__(
        self,
        *,
        request: WorkRequest,
        deployment: str,
        version: Callable[[], str],
        pool: PeerPool,
        pick: PickTarget,
        may_retry: Callable[[], bool],
        has_retry: Callable[[], bool],
        emit: Emit,
        guard: CrashGuard | None = None,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        self._request = request
        self._is_stopping = is_stopping
        self._deployment = deployment
        self._version = version
        self._pool = pool
        self._guard = guard
        self._commands = RequestCommands(pool=pool)
        self._pick = pick
        self._may_retry = may_retry
        self._has_retry = has_retry
        self._answer = AnswerReader(
            request_id=request.request_id,
            emit=emit,
            on_accepted=self._handle_accepted,
            on_ended=self._record_ended_run,
        )
        self._attempt = 0
        self._deadline_s = 0.0
        self._sent = False
        self._sent_in_any_attempt = False
        self._probed_fingerprint = ""
        self._address = ""
        self._sent_s = 0.0
        self._target_run = ""
        self._accepted = False
        self._is_attach = False
        self._maybe_ran = False
        self._has_caller_id = bool(request.request_id)
        self._incarnation = ""
        self._lost_since_s: float | None = None

    async def run(self, holder: str, deadline_s: float) -> None:
        """Run the request until its answer is complete.

        Args:
            holder: Address of the sidecar that issued the request id; empty if there is no id yet.
            deadline_s: The loop's time at which the request must have ended.

        Raises:
            FailureError: If the request failed; its run state says whether it may have run.
        """
        self._deadline_s = deadline_s
        tried: set[str] = set()
        reason: Failure | None = None
        while True:
            self._attempt += 1
            await self._check_guard()
            address = await self._choose(holder, tried, reason)
            tried.add(address)
            self._address, self._sent_s = address, asyncio.get_running_loop().time()
            self._target_run = "" if self._guard is None else self._guard.run_at(address)
            is_resumed = bool(self._answer.texts)
            try:
                await self._run_at(address)
                self._record_finished(is_resumed)
                return
            except asyncio.CancelledError:
                self._abandon(address)
                raise
            except FailureError as error:
                reason = error.failure
                await self._record_loss(reason)
                await self._prepare_retry(address, reason, bool(holder))
            log_event(
                Event.REQUEST_RETRIED, request_id=self._answer.request_id, attempt=self._attempt
            )

    async def _check_guard(self) -> None:
        if self._guard is None:
            return
        try:
            self._probed_fingerprint = await self._guard.admit(
                self._request, was_sent=self._sent_in_any_attempt
            )
        except FailureError as error:
            raise FailureError(self._with_known_run_state(error.failure)) from error

    def _start_probe(self) -> None:
        fingerprint, self._probed_fingerprint = self._probed_fingerprint, ""
        if self._guard is not None and fingerprint:
            self._guard.start_probe(fingerprint)

    def _record_finished(self, is_resumed: bool) -> None:
        if self._guard is not None and not is_resumed:
            self._guard.record_finished(self._request)

    async def _record_loss(self, reason: Failure) -> None:
        if self._guard is None:
            return
        if self._answer.ended is None:
            self._record_lost_sidecar(reason)
            return
        self._record_ended_run(self._answer.ended)
        await self._guard.wait_until_weighed()

    def _record_lost_sidecar(self, reason: Failure) -> None:
        is_lost = reason.kind in (ErrorKind.TARGET_LOST, ErrorKind.INCARNATION_GONE)
        if self._guard is None or not is_lost or self._answer.failed_at_sidecar:
            return
        self._guard.record_lost_sidecar(
            self._request,
            address=self._address,
            run=self._target_run,
            sent_s=self._sent_s,
            lost_s=self._lost_since_s or self._sent_s,
        )

    def _record_ended_run(self, ended: EndedTargetRun) -> None:
        if self._guard is None:
            return
        self._guard.record_loss(
            self._request,
            address=ended.address or self._address,
            run=ended.run,
            sent_s=self._sent_s,
            lost_s=asyncio.get_running_loop().time() - ended.age_s,
        )

    async def attach(self, address: str, next_index: int, deadline_s: float) -> None:
        """Read the answer of a request that runs or ran, from an index on.

        Args:
            address: Address of the sidecar whose ledger holds the request.
            next_index: Index of the first token to read.
            deadline_s: The loop's time at which the answer must be complete.

        Raises:
            FailureError: If the answer can't be read, or the request failed.
        """
        self._deadline_s = deadline_s
        self._is_attach = True
        self._accepted = True
        self._answer.next_index = next_index
        self._answer.whole = next_index == 0
        self._answer.announce(self._answer.request_id)
        await self._follow(address)

    async def cancel(self, address: str) -> None:
        """Cancel the request at a sidecar because no caller waits for the answer any more."""
        request_id = self._answer.request_id
        with contextlib.suppress(PeerLostError, FailureError):
            await self._commands.cancel(address, request_id, self._request.workspace)

    async def _choose(self, holder: str, tried: set[str], reason: Failure | None) -> str:
        if holder and self._attempt == 1:
            return holder
        loop = asyncio.get_running_loop()
        begun = self._request.repeatable and self._maybe_ran
        wait_until_s = loop.time() + (WAIT_FOR_TARGET_S if begun else 0.0)
        while True:
            try:
                return self._pick(frozenset(tried)).address
            except FailureError as error:
                if loop.time() >= wait_until_s:
                    raise FailureError(
                        self._with_known_run_state(reason or error.failure)
                    ) from error
            # A repeatable request that may have run waits for any target to become available, also
            # for those tried before.
            tried.clear()
            await asyncio.sleep(RECONNECT_S)

    def _abandon(self, address: str) -> None:
        """Cancel a request that no caller waits for.

        If the entry stops, the request is left to the sidecar, which ends it after a grace period
        unless the caller resumes through another entry.
        """
        if self._is_stopping():
            return
        if self._request.repeatable and self._answer.request_id:
            self._pool.start(self.cancel(address), name=f"cancel {self._answer.request_id}")

    async def _prepare_retry(self, address: str, reason: Failure, has_holder: bool) -> None:
        if reason.run_state is not RunState.NOT_RUN:
            self._maybe_ran = True
        if not self._may_move(reason, has_holder):
            raise FailureError(self._with_known_run_state(reason))
        if not self._request.repeatable and self._answer.request_id:
            await self._withdraw(address, reason)
            self._answer.request_id = ""

    def _may_move(self, reason: Failure, has_holder: bool) -> bool:
        if reason.kind in _NON_RETRYABLE_KINDS or self._attempt >= MAX_ATTEMPTS:
            return False
        if not self._request.repeatable and (
            has_holder or reason.run_state is not RunState.NOT_RUN
        ):
            return False
        # A request that was not sent puts no load on a target, so it spends no retry budget.
        was_unreachable = reason.kind is ErrorKind.NO_TARGET and not self._sent
        return was_unreachable or self._may_retry()

    async def _withdraw(self, address: str, reason: Failure) -> None:
        """Withdraw the current request id, so that it never runs.

        Raises:
            FailureError: If the request may have run, or the sidecar does not confirm.
        """
        request_id = self._answer.request_id
        try:
            reply = await self._commands.withdraw(address, request_id, self._request.workspace)
        except PeerLostError as error:
            raise FailureError(self._with_known_run_state(reason)) from error
        except FailureError as error:
            if error.failure.kind is ErrorKind.INCARNATION_GONE:
                return
            if error.failure.kind is ErrorKind.PEER_PROTOCOL:
                raise FailureError(reason.with_run_state(RunState.OUTCOME_UNKNOWN)) from error
            raise FailureError(self._with_known_run_state(reason)) from error
        if reply.run_state != RunState.NOT_RUN.value:
            raise FailureError(reason.with_run_state(RunState.OUTCOME_UNKNOWN))

    def _with_known_run_state(self, reason: Failure) -> Failure:
        # A request id given by the caller may have run through an earlier submission. For requests
        # that are not repeatable, the ledger that issued the id knows whether it did.
        ledger_knows = self._answer.failed_at_sidecar and not self._request.repeatable
        maybe_ran = self._maybe_ran or (self._has_caller_id and not ledger_knows)
        if maybe_ran and reason.run_state is RunState.NOT_RUN:
            return reason.with_run_state(RunState.OUTCOME_UNKNOWN)
        return reason

    async def _run_at(self, address: str) -> None:
        self._sent = False
        self._accepted = False
        self._answer.failed_at_sidecar = False
        self._answer.ended = None
        self._incarnation = ""
        self._lost_since_s = None
        if not self._request.repeatable and not self._answer.request_id:
            self._answer.announce(await self._open(address))
        self._answer.next_index = len(self._answer.texts)
        await self._follow(address)

    async def _open(self, address: str) -> str:
        while True:
            try:
                await self._connect(address)
                request_id = await self._commands.open(address, self._request.workspace)
            except PeerLostError as error:
                self._check_reconnect_limit(address, error)
                await asyncio.sleep(RECONNECT_S)
                continue
            self._lost_since_s = None
            return request_id

    async def _follow(self, address: str) -> None:
        """Read an answer; reconnects until the limit on the time without a connection."""
        while True:
            try:
                connection = await self._connect(address)
                self._check_incarnation(connection)
                await self._exchange(connection)
                return
            except MissingTokensError:
                self._answer.record_missing_tokens()
            except PeerLostError as error:
                self._check_reconnect_limit(address, error)
                log_event(Event.REQUEST_RESUMED, request_id=self._answer.request_id)
                await asyncio.sleep(RECONNECT_S)

    async def _connect(self, address: str) -> PeerConnection:
        if not self._may_use_other_target():
            return await self._pool.get(address)
        try:
            async with asyncio.timeout(MOVE_AFTER_S):
                return await self._pool.get(address)
        except TimeoutError as error:
            raise PeerLostError(
                f"connecting to {address} took longer than {MOVE_AFTER_S} s"
            ) from error

    def _may_use_other_target(self) -> bool:
        """Return whether another target may run the request if this one is unreachable."""
        if self._is_attach:
            return False
        if not self._sent:
            return True
        return self._request.repeatable and self._attempt < MAX_ATTEMPTS and self._has_retry()

    def _reconnect_limit_s(self, error: PeerLostError) -> float:
        """Return for how long a sidecar is redialled.

        One that is only silent may still run the request, so without another target it is waited
        for.
        """
        is_gone = error.is_refused and self._request.repeatable
        return MOVE_AFTER_S if is_gone or self._may_use_other_target() else RECONNECT_LIMIT_S

    async def _exchange(self, connection: PeerConnection) -> None:
        self._start_probe()
        call = connection.open_call()
        ended = False
        try:
            self._sent = self._sent_in_any_attempt = True
            await connection.send(self._message(call.number))
            await self._answer.read(call)
            ended = True
        except FailureError:
            ended = True
            raise
        finally:
            if ended:
                call.close()
            else:
                call.leave()

    def _check_incarnation(self, connection: PeerConnection) -> None:
        if self._incarnation and connection.incarnation != self._incarnation:
            raise fail(
                ErrorKind.INCARNATION_GONE,
                f"the sidecar was replaced: its incarnation changed from {self._incarnation!r} to "
                f"{connection.incarnation!r}",
            )
        self._incarnation = connection.incarnation

    def _check_reconnect_limit(self, address: str, error: PeerLostError) -> None:
        """Record a lost connection.

        Raises:
            FailureError: NO_TARGET or TARGET_LOST if the sidecar stayed unreachable for the limit,
                or TARGET_LOST if a submission was sent but not confirmed.
        """
        now_s = asyncio.get_running_loop().time()
        if self._lost_since_s is None:
            self._lost_since_s = now_s
        unconfirmed = not self._accepted and not self._answer.request_id
        if self._sent and unconfirmed:
            raise fail(
                ErrorKind.TARGET_LOST,
                f"the connection to {address} was lost before it confirmed the request: {error}",
            ) from error
        if now_s - self._lost_since_s < self._reconnect_limit_s(error):
            return
        if not self._sent:
            raise fail(
                ErrorKind.NO_TARGET, f"{address} is unreachable: {error}", retry_after_s=1.0
            ) from error
        raise fail(
            ErrorKind.TARGET_LOST, f"the connection to {address} was lost: {error}"
        ) from error

    def _handle_accepted(self, frame: Accepted) -> None:
        self._accepted = True
        self._lost_since_s = None
        self._attempt = max(self._attempt, frame.attempt)

    def _message(self, call: int) -> Submit | Attach:
        budget_s = self._budget_s()
        if self._accepted:
            return Attach(
                call=call,
                request_id=self._answer.request_id,
                workspace=self._request.workspace,
                next_index=self._answer.next_index,
                budget_s=budget_s,
            )
        return Submit(
            call=call,
            request_id=self._answer.request_id,
            attempt=self._attempt,
            workspace=self._request.workspace,
            deployment=self._deployment,
            budget_s=budget_s,
            generate=make_generation(self._request, self._version()),
            invoke=make_call(self._request),
            repeatable=self._request.repeatable,
            next_index=self._answer.next_index,
            delivered=tuple(self._answer.texts),
        )

    def _budget_s(self) -> float:
        """Return the remaining time, less a margin for the sidecar's final frame to arrive."""
        left_s = self._deadline_s - asyncio.get_running_loop().time()
        return max(0.0, left_s - REPLY_MARGIN_S)
