"""Local and remote members of a gang, as the coordinator uses them."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from ..kernel import ErrorKind, fail
from ..peer import (
    PeerConnection,
    PeerLostError,
    Prefill,
    Prefilled,
    Release,
    Reserve,
    Reserved,
    expect_message,
)
from ._gang_member import GangMember
from ._peers import ASK_TIMEOUT_S, SidecarPeers

RELEASE_TIMEOUT_S = 10.0
RECONNECT_DELAY_S = 0.2
RECONNECT_TIMEOUT_S = 3.0


class MemberHandle(Protocol):
    """A member of a gang, local or at another sidecar. Methods raise `FailureError`."""

    async def reserve(self, hold_id: str, kv_tokens: int, ttl_s: float) -> str:
        """Reserve memory, or renew a hold; return the engine's address."""

    async def prefill(self, order: Prefill) -> None:
        """Make the member prefill a segment; the `call` of the order is ignored."""

    async def release(self, hold_id: str) -> None:
        """End a hold."""


class LocalMember:
    """The host: the coordinator's own engine."""

    def __init__(self, *, member: GangMember) -> None:
        self._member = member

    async def reserve(self, hold_id: str, kv_tokens: int, ttl_s: float) -> str:
        """Reserve memory, or renew a hold; return the engine's address."""
        return self._member.reserve(hold_id, kv_tokens, ttl_s, is_coordinator=True)

    async def prefill(self, order: Prefill) -> None:
        """Do nothing: the decoding stream prefills the last segment itself."""

    async def release(self, hold_id: str) -> None:
        """End a hold."""
        await self._member.release(hold_id)


class RemoteMember:
    """A member at another sidecar; reconnects after a lost connection.

    Args:
        address: The member's address.
        peers: The connections to other sidecars.
    """

    def __init__(self, *, address: str, peers: SidecarPeers) -> None:
        self._address = address
        self._peers = peers
        self._incarnation = ""

    async def reserve(self, hold_id: str, kv_tokens: int, ttl_s: float) -> str:
        """Reserve memory, or renew a hold; return the engine's address."""
        reply = await self._request(
            lambda call: Reserve(call=call, hold_id=hold_id, kv_tokens=kv_tokens, ttl_s=ttl_s),
            ASK_TIMEOUT_S,
        )
        reserved = expect_message(reply, Reserved, f"Reserved from {self._address}")
        return reserved.engine_address

    async def prefill(self, order: Prefill) -> None:
        """Make the member prefill a segment; the `call` of the order is ignored."""
        reply = await self._request(lambda call: replace(order, call=call), order.budget_s)
        expect_message(reply, Prefilled, f"Prefilled from {self._address}")

    async def release(self, hold_id: str) -> None:
        """End a hold."""
        await self._request(lambda call: Release(call=call, hold_id=hold_id), RELEASE_TIMEOUT_S)

    async def _request(self, make_message: Callable[[int], object], timeout_s: float) -> object:
        """Send a request; resends it over a new connection to the same incarnation."""
        loop = asyncio.get_running_loop()
        lost_since_s = loop.time()
        while True:
            try:
                connection = await self._peers.get(self._address)
                self._check_incarnation(connection)
                lost_since_s = loop.time()
                return await connection.ask(make_message, timeout_s=timeout_s)
            except PeerLostError as error:
                if loop.time() - lost_since_s > RECONNECT_TIMEOUT_S:
                    raise fail(
                        ErrorKind.TARGET_LOST, f"member {self._address} was lost: {error}"
                    ) from error
                await self._peers.drop(self._address)
            await asyncio.sleep(RECONNECT_DELAY_S)

    def _check_incarnation(self, connection: PeerConnection) -> None:
        if self._incarnation and connection.incarnation != self._incarnation:
            raise fail(ErrorKind.TARGET_LOST, f"member {self._address} was restarted")
        self._incarnation = connection.incarnation
