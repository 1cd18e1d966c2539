"""All links of one entry."""

import asyncio
from typing import Protocol

from ..kernel import Event, FailureError, TaskSet, log_event
from ..peer import Channel, ChannelClosedError, Listener, Transport, decode, encode
from ._link import MeshTiming, SendingLink
from ._messages import Greeting, Heard, Update

_HEARD = encode(Heard())


class MeshListener(Protocol):
    """Takes what peers say."""

    def peer_said(self, name: str, update: Update) -> None:
        """Take an update."""

    def peer_lost(self, name: str, *, is_silent: bool) -> None:
        """Note that nothing is heard of a peer any more.

        Args:
            name: The peer.
            is_silent: Whether it fell silent; else its end of the link was closed.
        """

    def snapshot(self) -> Update:
        """Return all that a peer has to know."""

    def heartbeat(self) -> Update:
        """Return what is said when there is nothing new."""


class Mesh:
    """Links to all other entries that are known.

    Each entry dials the others and speaks on the channels that it dialled, so that a pair of
    entries has two channels, and neither has to know who dials.

    Args:
        greeting: What this entry says of itself.
        transport: Carries the frames.
        listener: Takes what peers say.
        tasks: Runs the links.
        timing: When links count as lost.
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
        self._links: dict[str, SendingLink] = {}
        self._heard: dict[str, Channel] = {}
        self._server: Listener | None = None

    @property
    def heard_peers(self) -> tuple[str, ...]:
        """Return the names of the peers that are heard now."""
        return tuple(self._heard)

    async def start(self, address: str) -> None:
        """Accept links at an address, "host:port"."""
        self._server = await self._transport.listen(address, self._accept)

    async def close(self) -> None:
        """Accept no more links."""
        if self._server is not None:
            await self._server.close()

    def meet(self, address: str) -> None:
        """Keep a link to a peer from now on."""
        if address in self._links or address == self._greeting.address:
            return
        link = SendingLink(
            address=address,
            transport=self._transport,
            greeting=self._greeting,
            snapshot=self._listener.snapshot,
            heartbeat=self._listener.heartbeat,
            timing=self._timing,
        )
        self._links[address] = link
        self._tasks.start(self._run(link), name=f"link to {address}")

    def tell(self, update: Update) -> None:
        """Send an update to all peers."""
        if not self._links:
            return
        frame = encode(update)
        for link in self._links.values():
            link.put(frame)

    async def _run(self, link: SendingLink) -> None:
        try:
            await link.run()
        finally:
            self._links.pop(link.address, None)

    async def _accept(self, channel: Channel) -> None:
        try:
            greeting = await self._receive(channel)
            if not isinstance(greeting, Greeting):
                return
            await self._listen_to(greeting, channel)
        except (ChannelClosedError, FailureError, TimeoutError) as error:
            log_event(Event.PEER_REFUSED, reason=repr(error))
        finally:
            await channel.close()

    async def _listen_to(self, greeting: Greeting, channel: Channel) -> None:
        name = greeting.name
        older = self._heard.get(name)
        self._heard[name] = channel
        if older is not None:
            await older.close()
        self.meet(greeting.address)
        reason = ""
        is_silent = False
        try:
            while True:
                update = await self._receive(channel)
                if not isinstance(update, Update):
                    continue
                self._listener.peer_said(name, update)
                if update.known_offsets is not None:
                    await channel.send(_HEARD)
        except (ChannelClosedError, FailureError) as error:
            reason = repr(error)
        except TimeoutError:
            reason = f"silent for {self._timing.silence_s} s"
            is_silent = True
        finally:
            if self._heard.get(name) is channel:
                del self._heard[name]
                self._listener.peer_lost(name, is_silent=is_silent)
                log_event(Event.PEER_LOST, peer=name, reason=reason)

    async def _receive(self, channel: Channel) -> object:
        async with asyncio.timeout(self._timing.silence_s):
            return decode(await channel.receive())
