"""The links between one entry and its peers."""

import asyncio
from collections.abc import Mapping
from dataclasses import replace
from typing import Protocol

from ..channels import Channel, ChannelClosedError, Listener, Transport, decode, encode
from ..kernel import Event, FailureError, TaskSet, log_event
from ._compact import expand
from ._link import MeshTiming, OutboundLink, UpdateFrames
from ._messages import (
    COMPACT_PROTOCOL,
    CompactUpdate,
    Greeting,
    HeartbeatAck,
    TopicPage,
    TopicRequest,
    Update,
)

_HEARTBEAT_ACK = encode(HeartbeatAck(protocol=COMPACT_PROTOCOL))
# Entries learn of a change of the fleet at slightly different times. For this time an entry sends
# its updates also to a peer that it does not share targets with, if that peer sends to it.
UNSELECTED_LINK_S = 5.0


class MeshListener(Protocol):
    """Applies the updates of peers and supplies the state that is sent to them."""

    def peer_connected(self, name: str, incarnation: str) -> None:
        """Handle the inbound link of a run of a peer, before its first update.

        Args:
            name: The peer's instance name.
            incarnation: Identifies the run of its process.
        """

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

    def topic_page(self, request: TopicRequest) -> TopicPage | None:
        """Return the reply to a peer's request; None if this entry has nothing newer."""

    def peer_given_up(self, name: str) -> None:
        """Handle a selected peer that could not be reached for `give_up_after_s`."""


class Mesh:
    """Links to the selected peers.

    Each entry dials its peers and sends updates only on the channels that it dialled. A pair of
    entries thus has two channels and needs no rule for which side dials. Requests are answered on
    the channel that carried them, which has no other traffic in that direction but acknowledgements.

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
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._selected: dict[str, str] = {}
        # The names of the peers at the other end of links, also of those no longer selected.
        self._peer_names: dict[str, str] = {}
        # When links to peers that are not selected are closed, by address.
        self._closing_due_s: dict[str, float] = {}
        self._inbound: dict[str, Channel] = {}
        self._inbound_greetings: dict[str, Greeting] = {}
        self._server: Listener | None = None

    @property
    def connected_peers(self) -> tuple[str, ...]:
        """Return the names of the peers whose inbound links are open."""
        return tuple(self._inbound)

    @property
    def selected_peers(self) -> frozenset[str]:
        """Return the names of the peers that this entry shares targets with."""
        return frozenset(self._selected.values())

    async def start(self, address: str) -> None:
        """Accept inbound links at an address, "host:port"."""
        self._server = await self._transport.listen(address, self._accept)

    async def close(self) -> None:
        """Stop accepting inbound links."""
        if self._server is not None:
            await self._server.close()

    @property
    def is_started(self) -> bool:
        """Return whether inbound links are accepted."""
        return self._server is not None

    @property
    def queued_bytes(self) -> int:
        """Return the size of the frames that wait to be written to peers."""
        return sum(link.queued_bytes for link in self._links.values())

    @property
    def round_trip_s(self) -> float:
        """Return the mean time until peers acknowledge a heartbeat; 0 without open links."""
        times_s = [link.round_trip_s for link in self._links.values() if link.is_up]
        return sum(times_s) / len(times_s) if times_s else 0.0

    def select_peers(self, addresses: Mapping[str, str]) -> None:
        """Open links to the peers that this entry shares targets with, and close other links.

        Args:
            addresses: The address of each such peer, "host:port", by name.
        """
        self._selected = {
            address: name
            for name, address in addresses.items()
            if address != self._greeting.address
        }
        self._peer_names |= self._selected
        for address in self._selected:
            self._closing_due_s.pop(address, None)
            self._open_link(address)
        for address in self._links.keys() - self._selected.keys() - self._closing_due_s.keys():
            self._close_later(address)

    def broadcast(self, update: Update) -> None:
        """Queue an update on all outbound links."""
        frames = UpdateFrames(update=update, incarnation=self._greeting.incarnation)
        for link in self._links.values():
            link.send_update(frames)

    async def request(
        self, name: str, request: TopicRequest, *, timeout_s: float
    ) -> TopicPage | None:
        """Ask one peer for records; return None if it can't answer or does not in time.

        A link to it is opened if there is none, for the next request.
        """
        greeting = self._inbound_greetings.get(name)
        if greeting is None:
            return None
        link = self._links.get(greeting.address)
        if link is None:
            self._answer_link(greeting)
            return None
        return await link.request(request, timeout_s=timeout_s)

    def _open_link(self, address: str) -> None:
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
        self._link_tasks[address] = self._tasks.start(self._run(link), name=f"link to {address}")

    async def _run(self, link: OutboundLink) -> None:
        name = None
        try:
            await link.run()
        finally:
            if self._links.get(link.address) is link:
                del self._links[link.address]
                del self._link_tasks[link.address]
                name = self._peer_names.pop(link.address, None)
        if name is not None:
            self._listener.peer_given_up(name)

    def _close_later(self, address: str) -> None:
        """Close the link to a peer after `UNSELECTED_LINK_S`, unless it is selected by then."""
        loop = asyncio.get_running_loop()
        due_s = loop.time() + UNSELECTED_LINK_S
        self._closing_due_s[address] = due_s
        loop.call_at(due_s, self._close_unselected, address, due_s)

    def _close_unselected(self, address: str, due_s: float) -> None:
        if self._closing_due_s.get(address) != due_s:
            return
        del self._closing_due_s[address]
        # Peers that understand only the first version of the protocol expect updates of all entries.
        is_kept = any(
            greeting.address == address and greeting.protocol < COMPACT_PROTOCOL
            for greeting in self._inbound_greetings.values()
        )
        task = self._link_tasks.get(address)
        if task is not None and not is_kept:
            task.cancel()

    def _answer_link(self, greeting: Greeting) -> None:
        """Open a link to a peer that dialled this entry, without a backoff from before."""
        self._open_link(greeting.address)
        if greeting.address in self._links:
            self._links[greeting.address].dial_now()
        if greeting.address not in self._selected:
            self._close_later(greeting.address)

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
        self._inbound_greetings[name] = greeting
        self._listener.peer_connected(name, greeting.incarnation)
        if replaced is not None:
            await replaced.close()
        self._answer_link(greeting)
        reason = ""
        timed_out = False
        try:
            while True:
                message = await self._receive(channel)
                if self._inbound.get(name) is not channel:
                    # What has arrived on a closed channel can still be received.
                    log_event(Event.FRAME_DROPPED, peer=name, incarnation=greeting.incarnation)
                    return
                await self._handle_message(greeting, channel, message)
        except (ChannelClosedError, FailureError, ValueError) as error:
            reason = repr(error)
        except TimeoutError:
            reason = f"no frame received for {self._timing.silence_s} s"
            timed_out = True
        finally:
            if self._inbound.get(name) is channel:
                del self._inbound[name]
                del self._inbound_greetings[name]
                self._listener.peer_lost(name, timed_out=timed_out)
                log_event(Event.PEER_LOST, peer=name, reason=reason)

    async def _handle_message(self, greeting: Greeting, channel: Channel, received: object) -> None:
        if isinstance(received, TopicRequest):
            page = self._listener.topic_page(received)
            if page is not None:
                await channel.send(encode(replace(page, number=received.number)))
            return
        if isinstance(received, CompactUpdate):
            received = expand(received.fields, greeting.incarnation)
        if not isinstance(received, Update):
            return
        self._listener.apply_update(greeting.name, received)
        if received.known_offsets is not None:
            await channel.send(_HEARTBEAT_ACK)

    async def _receive(self, channel: Channel) -> object:
        async with asyncio.timeout(self._timing.silence_s):
            return decode(await channel.receive())
