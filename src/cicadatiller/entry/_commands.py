"""Commands to a sidecar about one request."""

from collections.abc import Callable

from ..peer import Cancel, GetState, Open, Opened, StateReply, Tombstone, expect_message
from ._peers import PeerPool

ASK_TIMEOUT_S = 2.0


class RequestCommands:
    """Opens, cancels, withdraws and looks up requests at a sidecar.

    All methods raise `PeerLostError` if the sidecar is unreachable or does not reply within
    `ASK_TIMEOUT_S`, and `FailureError` if it refuses.

    Args:
        pool: The connections to sidecars.
    """

    def __init__(self, *, pool: PeerPool) -> None:
        self._pool = pool

    async def open(self, address: str, workspace: str) -> str:
        """Issue a request id."""
        reply = await self._ask(address, lambda call: Open(call=call, workspace=workspace))
        return expect_message(reply, Opened, "Opened in reply to Open").request_id

    async def cancel(self, address: str, request_id: str, workspace: str) -> StateReply:
        """End a request, whether it is queued or runs, and return its state."""
        return await self._ask_state(
            address, lambda call: Cancel(call=call, request_id=request_id, workspace=workspace)
        )

    async def withdraw(self, address: str, request_id: str, workspace: str) -> StateReply:
        """Withdraw a request; it never runs unless the returned state says that it may have run."""
        return await self._ask_state(
            address, lambda call: Tombstone(call=call, request_id=request_id, workspace=workspace)
        )

    async def get_state(self, address: str, request_id: str, workspace: str) -> StateReply:
        """Return the state of a request in the sidecar's ledger."""
        return await self._ask_state(
            address, lambda call: GetState(call=call, request_id=request_id, workspace=workspace)
        )

    async def _ask_state(self, address: str, make: Callable[[int], object]) -> StateReply:
        return expect_message(await self._ask(address, make), StateReply, "a StateReply")

    async def _ask(self, address: str, make: Callable[[int], object]) -> object:
        connection = await self._pool.get(address)
        return await connection.ask(make, timeout_s=ASK_TIMEOUT_S)
