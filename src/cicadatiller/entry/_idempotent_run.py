"""Runs a request under the request id that its idempotency key is bound to."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Protocol

from ..kernel import ErrorKind, Failure, FailureError, RequestState, RunState
from ._claims import ClaimLog, OpenId
from ._requests import WorkRequest

MAX_REBINDS = 3
_MOVABLE = (ErrorKind.TARGET_LEAVING, ErrorKind.TOMBSTONED)


class HasState(Protocol):
    """What a sidecar says of a request."""

    @property
    def state(self) -> RequestState:
        """Return how far it has come."""


Attempt = Callable[[WorkRequest], Awaitable[None]]
Withdraw = Callable[[str, str], Awaitable[HasState]]


class KeyedRun:
    """One request with an idempotency key.

    A key stays bound to its request id for good, except when the target that issued the id leaves
    before the request ran: once its sidecar confirmed that it never will, the key is bound anew.

    Args:
        request: The request, with its key.
        claims: Binds keys.
        open_id: Issues a request id at some target.
        withdraw: Asks the sidecar that issued a request id to never run it.
    """

    def __init__(
        self, *, request: WorkRequest, claims: ClaimLog, open_id: OpenId, withdraw: Withdraw
    ) -> None:
        self._request = request
        self._claims = claims
        self._open_id = open_id
        self._withdraw = withdraw

    async def run(self, attempt: Attempt, deadline_s: float) -> None:
        """Run the request; raises `FailureError`."""
        request_id = await self._claims.bind(
            self._request, self._open_id, self._request.time_limit_s
        )
        for _ in range(MAX_REBINDS):
            try:
                await attempt(self._bound(request_id))
                return
            except FailureError as error:
                request_id = await self._move(request_id, error, deadline_s)
        await attempt(self._bound(request_id))

    def _bound(self, request_id: str) -> WorkRequest:
        return replace(self._request, request_id=request_id, idempotency_key="")

    async def _move(self, request_id: str, reason: FailureError, deadline_s: float) -> str:
        """Return the key's new request id; raises `reason` if it must stay with the present one."""
        if not self._may_move(reason.failure):
            raise reason
        left_s = deadline_s - asyncio.get_running_loop().time()
        known = self._claims.known_id(self._request)
        if known not in ("", request_id):
            return known
        # A request that its caller cancelled is withdrawn too, and must not run after that.
        if reason.failure.kind is ErrorKind.TOMBSTONED:
            raise reason
        await self._confirm(request_id, reason)
        return await self._claims.rebind(self._request, request_id, self._open_id, left_s)

    def _may_move(self, reason: Failure) -> bool:
        not_run = reason.run_state is RunState.NOT_RUN
        return not self._request.repeatable and not_run and reason.kind in _MOVABLE

    async def _confirm(self, request_id: str, reason: FailureError) -> None:
        try:
            status = await self._withdraw(request_id, self._request.workspace)
        except FailureError:
            raise reason from None
        if status.state is not RequestState.TOMBSTONED:
            raise reason
