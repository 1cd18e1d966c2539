"""The operations that an entry serves to callers."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from ..config import ConfigStore, Workspace
from ..kernel import ErrorKind, Failure, FailureError, RequestState, RunState, fail, log_event
from ..membership import InstanceView, Target
from ..peer import PeerLostError, StateReply
from ._admission import Admission
from ._attempts import AttemptTracker
from ._claims import ClaimLog
from ._commands import RequestCommands
from ._crash_guard import CrashGuard
from ._dispatch import Dispatcher, size_of
from ._idempotent_run import IdempotentRun
from ._limits import WorkspaceLimiter, WorkspaceLimits
from ._metrics import EntryMetrics
from ._peers import PeerPool
from ._relay import Relay
from ._request_checks import RequestChecks, Resolution, find_holder
from ._requests import Emit, WorkRequest
from ._retry_budget import RetryBudget

AskState = Callable[[str, str, str], Awaitable[StateReply]]


@dataclass(frozen=True, kw_only=True)
class RequestStatus:
    """The status of a request.

    Attributes:
        state: State of the request in the sidecar's ledger.
        run_state: Whether the request has run, as far as is known.
        token_count: Number of tokens of its output so far.
    """

    state: RequestState
    run_state: RunState
    token_count: int = 0


class EntryService:
    """Admits, routes and relays the requests of callers.

    Args:
        data_centre: Data centre of this entry.
        store: The current configuration.
        view: The instances that this entry knows.
        pool: The connections to sidecars.
        claims: Binds idempotency keys to request ids.
        guard: Refuses requests under which targets crash.
        seed: Seeds the random choices of versions and of routing policies.

    Attributes:
        limits: The limits of the workspaces.
        metrics: Metrics of the requests.
        dispatcher: Chooses targets.
        stopping: Whether this entry is stopping; interrupted requests are then not cancelled,
            because their callers may resume them through another entry.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        store: ConfigStore,
        view: InstanceView,
        pool: PeerPool,
        claims: ClaimLog,
        guard: CrashGuard,
        seed: int,
    ) -> None:
        self._guard = guard
        self._store = store
        self._view = view
        self._pool = pool
        self._claims = claims
        self._commands = RequestCommands(pool=pool)
        self.limits = WorkspaceLimits()
        pool.on_use = self.limits.record_usage
        self.metrics = EntryMetrics()
        self.dispatcher = Dispatcher(data_centre=data_centre, store=store, view=view, seed=seed)
        self._checks = RequestChecks(store=store, dispatcher=self.dispatcher)
        self._admission = Admission()
        self._retries = RetryBudget()
        self.stopping = False

    def authenticate(self, key: str) -> str:
        """Return the name of the workspace that a key belongs to.

        Raises:
            FailureError: UNAUTHENTICATED if the key belongs to no workspace.
        """
        name = self._store.state.workspace_of_key(key) if key else None
        if name is None:
            raise fail(
                ErrorKind.UNAUTHENTICATED,
                "the workspace key is missing or unknown; send a valid key",
            )
        return name

    async def open_request(self, workspace: str, model: str, service: str) -> str:
        """Issue a request id without running a request.

        Raises:
            FailureError: If the model or service is unknown, or no target can issue an id.
        """
        request = WorkRequest(workspace=workspace, model=model, service=service, time_limit_s=1.0)
        return await self._open_for(request)

    async def _open_for(self, request: WorkRequest) -> str:
        tried: set[str] = set()
        while True:
            target = self._pick_any(request, frozenset(tried))
            tried.add(target.address)
            with contextlib.suppress(PeerLostError, FailureError):
                return await self._commands.open(target.address, request.workspace)

    async def run(self, request: WorkRequest, emit: Emit) -> None:
        """Run a request and emit the events of its answer.

        Raises:
            FailureError: If the request is refused or fails.
        """
        admitted = False
        try:
            resolution = self._checks.check(request)
            limiter = self._limiter(request.workspace)
            with self._admission.slot(), limiter.admit(request.prompt_tokens):
                admitted = True
                await self._run_admitted(request, resolution, emit)
        except FailureError as error:
            reason = error.failure if admitted else _refusal(request, error.failure)
            self._record_failure(request, reason)
            raise FailureError(reason) from error
        self._retries.record_success()

    def _record_failure(self, request: WorkRequest, reason: Failure) -> None:
        self.metrics.record_failure(reason)
        log_event(
            reason.rule.event,
            workspace=request.workspace,
            request_id=request.request_id,
            kind=reason.kind.value,
            run_state=reason.run_state.value,
            error=reason.message,
        )

    async def _run_admitted(self, request: WorkRequest, resolution: Resolution, emit: Emit) -> None:
        deadline_s = asyncio.get_running_loop().time() + request.time_limit_s

        async def attempt(bound: WorkRequest) -> None:
            await self._run_bound(bound, resolution, emit, deadline_s)

        if request.idempotency_key:
            keyed = IdempotentRun(
                request=request,
                claims=self._claims,
                open_id=partial(self._open_admitted, request, resolution),
                withdraw=self._withdraw,
            )
            await keyed.run(attempt, deadline_s)
            return
        if not request.request_id:
            self._admit(request, resolution)
        await attempt(request)

    async def _run_bound(
        self, request: WorkRequest, resolution: Resolution, emit: Emit, deadline_s: float
    ) -> None:
        holder = self._holder(request) if request.request_id else ""
        attempts = AttemptTracker(
            request=request,
            deployment=resolution.deployment,
            version=resolution.version,
            dispatcher=self.dispatcher,
            emit=emit,
            on_first_token=partial(self.metrics.record_first_token, request.prompt_tokens),
        )
        relay = Relay(
            request=request,
            deployment=resolution.deployment,
            version=lambda: attempts.version,
            pool=self._pool,
            pick=attempts.pick,
            may_retry=self._retries.take,
            has_retry=self._retries.has_left,
            emit=attempts.handle_event,
            guard=self._guard,
            is_stopping=lambda: self.stopping,
        )

        try:
            await _run_until(deadline_s, lambda: relay.run(holder, deadline_s))
        except BaseException as error:
            attempts.record_failure(error.failure if isinstance(error, FailureError) else None)
            raise
        attempts.record_success()

    async def _open_admitted(self, request: WorkRequest, resolution: Resolution) -> str:
        self._admit(request, resolution)
        return await self._open_for(request)

    async def _withdraw(self, request_id: str, workspace: str) -> RequestStatus:
        return await self._ask_status(self._commands.withdraw, request_id, workspace)

    def _admit(self, request: WorkRequest, resolution: Resolution) -> None:
        candidates = self._candidates(request, resolution, frozenset())
        if not request.service:
            weights = self.dispatcher.weights(resolution.deployment)
            self._admission.check(size_of(request), request.time_limit_s, candidates, weights)

    def _pick_any(self, request: WorkRequest, tried: frozenset[str]) -> Target:
        resolution = self._checks.resolve(request)
        candidates = self._candidates(request, resolution, tried)
        return self.dispatcher.choose(request, resolution.deployment, candidates)

    def _candidates(
        self, request: WorkRequest, resolution: Resolution, tried: frozenset[str]
    ) -> tuple[Target, ...]:
        return self.dispatcher.candidates(request, resolution.deployment, resolution.version, tried)

    def _holder(self, request: WorkRequest) -> str:
        return find_holder(self._view, request.request_id, request.workspace)

    async def attach(
        self, workspace: str, request_id: str, next_index: int, time_limit_s: float, emit: Emit
    ) -> None:
        """Read the answer of a request from an index on.

        Raises:
            FailureError: If the request is unknown, failed, or its answer can't be read in time.
        """
        holder = find_holder(self._view, request_id, workspace)
        deadline_s = asyncio.get_running_loop().time() + time_limit_s
        request = WorkRequest(workspace=workspace, request_id=request_id, time_limit_s=time_limit_s)
        relay = Relay(
            request=request,
            deployment="",
            version=lambda: "",
            pool=self._pool,
            pick=lambda tried: self._pick_any(request, tried),
            may_retry=lambda: False,
            has_retry=lambda: False,
            emit=emit,
        )
        await _run_until(deadline_s, lambda: relay.attach(holder, next_index, deadline_s))

    async def cancel(self, workspace: str, request_id: str) -> RequestStatus:
        """End a request and return its status.

        Raises:
            FailureError: If the request or its sidecar is unknown, or the sidecar does not reply.
        """
        return await self._ask_status(self._commands.cancel, request_id, workspace)

    async def get_request(self, workspace: str, request_id: str) -> RequestStatus:
        """Return the status of a request.

        Raises:
            FailureError: If the request or its sidecar is unknown, or the sidecar does not reply.
        """
        return await self._ask_status(self._commands.get_state, request_id, workspace)

    async def _ask_status(self, ask: AskState, request_id: str, workspace: str) -> RequestStatus:
        holder = find_holder(self._view, request_id, workspace)
        try:
            reply = await ask(holder, request_id, workspace)
        except PeerLostError as error:
            raise fail(
                ErrorKind.TARGET_LOST, f"the sidecar that holds the request did not reply: {error}"
            ) from error
        return RequestStatus(
            state=RequestState(reply.state),
            run_state=RunState(reply.run_state),
            token_count=reply.token_count,
        )

    def _limiter(self, name: str) -> WorkspaceLimiter:
        workspace = self._store.state.workspace(name) or Workspace(deployment=name)
        return self.limits.limiter(name, workspace, self._view.live_entries())


async def _run_until(deadline_s: float, run: Callable[[], Awaitable[None]]) -> None:
    try:
        async with asyncio.timeout_at(deadline_s):
            await run()
    except TimeoutError as error:
        raise fail(
            ErrorKind.DEADLINE_EXCEEDED, "the time limit passed before the answer was complete"
        ) from error


def _refusal(request: WorkRequest, reason: Failure) -> Failure:
    """Return the failure of a refused request.

    A request id given by the caller may have run before, so its outcome is not known to be NOT_RUN.
    """
    if request.request_id and reason.run_state is RunState.NOT_RUN:
        return reason.with_run_state(RunState.OUTCOME_UNKNOWN)
    return reason
