"""The links between one entry and its peers."""

import asyncio
from typing import Protocol

from ..kernel import Event, FailureError, TaskSet, log_event
from ..peer import Channel, ChannelClosedError, Listener, Transport, decode, encode
from ._link import MeshTiming, OutboundLink
from ._messages import Greeting, HeartbeatAck, Update

_HEARTBEAT_ACK = encode(HeartbeatAck())


class MeshListener(Protocol):
    """Applies the updates of peers and supplies the state that is sent to them."""

    def apply_update(self, name: str, update: Update) -> None:
        """Apply an update of a peer."""

    def peer_lost(self, name: str, *, timed_out: bool) -> None:
        """Handle the loss of a peer's inbound link.

        Args:
            name: The peer's instance name.
            timed_out: Whether the link timed out; False if it was closed.
        """

    def snapshot(self) -> Update:
        """Return the full state, which is sent first on each new link."""

    def heartbeat(self) -> Update:
        """Return the update that is sent as a heartbeat."""


class Mesh:
    """Links to all known peers.

    Each entry dials every peer and sends updates only on the channels that it dialled. A pair of
    entries thus has two channels and needs no rule for which side dials.

    Args:
        greeting: The first message on each outbound link; identifies this entry.
        transport: Opens and accepts channels.
        listener: Applies the updates of peers.
        tasks: Runs the outbound links.
        timing: The heartbeat, timeout and redial intervals; None for the defaults.
    """

    def __init__(
        self,
        *,
        greeting: Greeting,
        transport: Transport,
        listener: MeshListener,
        tasks: TaskSet,
        timing: MeshTiming | None = None,
    ) -> None:
        self._greeting = greeting
        self._transport = transport
        self._listener = listener
        self._tasks = tasks
        self._timing = timing or MeshTiming()
        self._links: dict[str, OutboundLink] = {}
        self._inbound: dict[str, Channel] = {}
        self._server: Listener | None = None

    @property
    def connected_peers(self) -> tuple[str, ...]:
        """Return the names of the peers whose inbound links are open."""
        return tuple(self._inbound)

    async def start(self, address: str) -> None:
        """Accept inbound links at an address, "host:port"."""
        self._server = await self._transport.listen(address, self._accept)

    async def close(self) -> None:
        """Stop accepting inbound links."""
        if self._server is not None:
            await self._server.close()

    def add_peer(self, address: str) -> None:
        """Open an outbound link to a peer unless there is one already."""
        if address in self._links or address == self._greeting.address:
            return
        link = OutboundLink(
            address=address,
            transport=self._transport,
            greeting=self._greeting,
            snapshot=self._listener.snapshot,
            heartbeat=self._listener.heartbeat,
            timing=self._timing,
        )
        self._links[address] = link
        self._tasks.start(self._run(link), name=f"link to {address}")

    def broadcast(self, update: Update) -> None:
        """Queue an update on all outbound links."""
        if not self._links:
            return
        frame = encode(update)
        for link in self._links.values():
            link.enqueue(frame)

    async def _run(self, link: OutboundLink) -> None:
        try:
            await link.run()
        finally:
            self._links.pop(link.address, None)

    async def _accept(self, channel: Channel) -> None:
        try:
            greeting = await self._receive(channel)
            if not isinstance(greeting, Greeting):
                return
            await self._receive_updates(greeting, channel)
        except (ChannelClosedError, FailureError, TimeoutError) as error:
            log_event(Event.PEER_REFUSED, reason=repr(error))
        finally:
            await channel.close()

    async def _receive_updates(self, greeting: Greeting, channel: Channel) -> None:
        name = greeting.name
        replaced = self._inbound.get(name)
        self._inbound[name] = channel
        if replaced is not None:
            await replaced.close()
        self.add_peer(greeting.address)
        reason = ""
        timed_out = False
        try:
            while True:
                update = await self._receive(channel)
                if not isinstance(update, Update):
                    continue
                self._listener.apply_update(name, update)
                if update.known_offsets is not None:
                    await channel.send(_HEARTBEAT_ACK)
        except (ChannelClosedError, FailureError) as error:
            reason = repr(error)
        except TimeoutError:
            reason = f"no frame received for {self._timing.silence_s} s"
            timed_out = True
        finally:
            if self._inbound.get(name) is channel:
                del self._inbound[name]
                self._listener.peer_lost(name, timed_out=timed_out)
                log_event(Event.PEER_LOST, peer=name, reason=reason)

    async def _receive(self, channel: Channel) -> object:
        async with asyncio.timeout(self._timing.silence_s):
            return decode(await channel.receive())
