"""Spreads what crashes targets over the connections between entries and sidecars.

Entries are not connected to each other. Each passes on what is new to it to its sidecars, and these
to their entries, so that all of them hear of it without another link.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from ..evidence import EvidenceExchange
from ..kernel import TaskSet
from ..mesh import Evidence, from_rows, to_rows
from ._call import PeerLostError
from ._evidence_messages import EvidenceRows


class EvidencePeer(Protocol):
    """A connection to a peer, of either side."""

    closed: bool
    name: str
    takes_evidence: bool

    @property
    def send(self) -> Callable[[object], Awaitable[object]]:
        """Return a coroutine function that sends a message; it may raise `PeerLostError`."""


class EvidenceSpread:
    """Holds what a process knows of what crashes targets, and exchanges it with its peers.

    Attributes:
        exchange: The breakers, and what the peers have to know of them.
    """

    def __init__(self) -> None:
        self.exchange = EvidenceExchange(on_pending=self._schedule, on_opened=lambda: None)
        self._peers: set[EvidencePeer] = set()
        self._is_scheduled = False
        self._tasks = TaskSet()

    async def close(self) -> None:
        """Cancel the messages that are still being sent."""
        await self._tasks.close()

    def add_peer(self, peer: EvidencePeer) -> None:
        """Send to a peer what is known, and from now on what is new."""
        self._drop_closed()
        if not peer.takes_evidence:
            return
        self._peers.add(peer)
        self._send((peer,), self.exchange.snapshot())

    def receive(self, name: str, message: EvidenceRows) -> None:
        """Apply what a peer sent; malformed evidence changes nothing."""
        self.exchange.apply(name, from_rows(message.rows))

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_pending)

    def _send_pending(self) -> None:
        self._is_scheduled = False
        self._drop_closed()
        self._send(tuple(self._peers), self.exchange.take_pending())

    def _drop_closed(self) -> None:
        for peer in [peer for peer in self._peers if peer.closed]:
            self._peers.discard(peer)
            self.exchange.forget_peer(peer.name)

    def _send(self, peers: tuple[EvidencePeer, ...], evidence: Evidence) -> None:
        if evidence.is_empty:
            return
        message = EvidenceRows(rows=to_rows(evidence))
        for peer in peers:
            self._tasks.start(_try_send(peer, message), name=f"evidence to {peer.name}")


async def _try_send(peer: EvidencePeer, message: EvidenceRows) -> None:
    try:
        await peer.send(message)
    except PeerLostError:
        # A peer that connects again gets all that is known.
        return
