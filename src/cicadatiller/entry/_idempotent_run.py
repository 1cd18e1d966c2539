"""Runs requests under the request ids that their idempotency keys are bound to."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Protocol

from ..kernel import ErrorKind, Failure, FailureError, RequestState, RunState
from ._claims import ClaimLog, OpenId
from ._requests import WorkRequest

MAX_REBINDS = 3
_REBINDABLE_KINDS = (ErrorKind.TARGET_LEAVING, ErrorKind.TOMBSTONED)


class HasState(Protocol):
    """A reply with the state of a request."""

    @property
    def state(self) -> RequestState:
        """Return the state of the request."""


Attempt = Callable[[WorkRequest], Awaitable[None]]
Withdraw = Callable[[str, str], Awaitable[HasState]]


class IdempotentRun:
    """Runs one request with an idempotency key.

    A key stays bound to its request id, except if the target that issued the id leaves before the
    request ran: once its sidecar has confirmed that the request will never run under this id, the
    key is bound to a new one.

    Args:
        request: The request, with its key.
        claims: Binds keys to request ids.
        open_id: Issues a request id at a target.
        withdraw: Called with a request id and its workspace; withdraws the id at the sidecar that
            issued it and returns the state of the request.
    """

    def __init__(
        self, *, request: WorkRequest, claims: ClaimLog, open_id: OpenId, withdraw: Withdraw
    ) -> None:
        self._request = request
        self._claims = claims
        self._open_id = open_id
        self._withdraw = withdraw

    async def run(self, attempt: Attempt, deadline_s: float) -> None:
        """Run the request.

        Args:
            attempt: Runs the request under the request id that is set in it.
            deadline_s: The loop's time at which the request must have ended.

        Raises:
            FailureError: If the key can't be bound or the request fails.
        """
        request_id = await self._claims.bind(
            self._request, self._open_id, self._request.time_limit_s
        )
        for _ in range(MAX_REBINDS):
            try:
                await attempt(self._bound(request_id))
                return
            except FailureError as error:
                request_id = await self._rebind(request_id, error, deadline_s)
        await attempt(self._bound(request_id))

    def _bound(self, request_id: str) -> WorkRequest:
        return replace(self._request, request_id=request_id, idempotency_key="")

    async def _rebind(self, request_id: str, reason: FailureError, deadline_s: float) -> str:
        """Return the key's new request id; raises `reason` if the key must stay bound."""
        if not self._may_rebind(reason.failure):
            raise reason
        left_s = deadline_s - asyncio.get_running_loop().time()
        known = self._claims.cached_request_id(self._request)
        if known not in ("", request_id):
            return known
        # A request that its caller cancelled is tombstoned too, and must not run afterwards.
        if reason.failure.kind is ErrorKind.TOMBSTONED:
            raise reason
        await self._confirm_withdrawn(request_id, reason)
        return await self._claims.rebind(self._request, request_id, self._open_id, left_s)

    def _may_rebind(self, reason: Failure) -> bool:
        was_not_run = reason.run_state is RunState.NOT_RUN
        return not self._request.repeatable and was_not_run and reason.kind in _REBINDABLE_KINDS

    async def _confirm_withdrawn(self, request_id: str, reason: FailureError) -> None:
        try:
            status = await self._withdraw(request_id, self._request.workspace)
        except FailureError:
            raise reason from None
        if status.state is not RequestState.TOMBSTONED:
            raise reason
