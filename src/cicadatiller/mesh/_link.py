"""The outbound link to another entry."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from ..kernel import Event, log_event
from ..peer import Channel, ChannelClosedError, Transport, encode
from ._messages import Greeting, Update

MAX_QUEUED_FRAMES = 512


@dataclass(frozen=True, kw_only=True, slots=True)
class MeshTiming:
    """Heartbeat, timeout and redial intervals of links.

    Attributes:
        heartbeat_s: The time between heartbeats; the peer acknowledges each.
        silence_s: A link on which nothing arrives for this time is closed as lost.
        dial_timeout_s: The time limit for opening a link.
        initial_backoff_s: The backoff after a failed dial; it doubles with each further failure.
        max_backoff_s: The longest backoff between dials.
        give_up_after_s: After this time without a connection, the peer is no longer dialled until
            it dials this entry.
    """

    heartbeat_s: float = 0.5
    silence_s: float = 1.6
    dial_timeout_s: float = 1.0
    initial_backoff_s: float = 0.1
    max_backoff_s: float = 2.0
    give_up_after_s: float = 60.0


class OutboundLink:
    """Sends updates to one peer; `run` dials the peer and writes queued frames.

    Args:
        address: The peer's address, "host:port".
        transport: Opens channels.
        greeting: The first message on each channel.
        snapshot: Returns the full state for the peer; it is sent after the greeting.
        heartbeat: Returns the update that is sent as a heartbeat.
        timing: The heartbeat, timeout and redial intervals.
    """

    def __init__(
        self,
        *,
        address: str,
        transport: Transport,
        greeting: Greeting,
        snapshot: Callable[[], Update],
        heartbeat: Callable[[], Update],
        timing: MeshTiming,
    ) -> None:
        self.address = address
        self.is_up = False
        self._transport = transport
        self._greeting = greeting
        self._snapshot = snapshot
        self._heartbeat = heartbeat
        self._timing = timing
        self._frames: list[bytes] = []
        self._has_frames = asyncio.Event()
        self._channel: Channel | None = None

    def enqueue(self, frame: bytes) -> None:
        """Queue a frame for sending.

        A frame is dropped while the link is down, as the snapshot sent on reconnection covers it.
        If more than `MAX_QUEUED_FRAMES` are queued, the channel is closed and dialled again.
        """
        if not self.is_up:
            return
        self._frames.append(frame)
        self._has_frames.set()
        if len(self._frames) > MAX_QUEUED_FRAMES and self._channel is not None:
            asyncio.get_running_loop().create_task(self._channel.close())

    async def run(self) -> None:
        """Stay connected until cancelled or until `give_up_after_s` pass without a connection."""
        loop = asyncio.get_running_loop()
        last_connected_s = loop.time()
        delay_s = self._timing.initial_backoff_s
        while loop.time() - last_connected_s < self._timing.give_up_after_s:
            try:
                async with asyncio.timeout(self._timing.dial_timeout_s):
                    channel = await self._transport.dial(self.address)
            except (ChannelClosedError, TimeoutError):
                await asyncio.sleep(delay_s * random.uniform(0.7, 1.3))
                delay_s = min(2 * delay_s, self._timing.max_backoff_s)
                continue
            delay_s = self._timing.initial_backoff_s
            await self._use_channel(channel)
            last_connected_s = loop.time()
            await asyncio.sleep(delay_s)

    async def _use_channel(self, channel: Channel) -> None:
        self._channel = channel
        reader = asyncio.get_running_loop().create_task(self._read_replies(channel))
        try:
            await channel.send(encode(self._greeting))
            self._frames.clear()
            self.is_up = True
            await channel.send(encode(self._snapshot()))
            log_event(Event.PEER_CONNECTED, peer=self.address)
            await self._send_frames(channel)
        except ChannelClosedError as error:
            log_event(Event.PEER_LOST, peer=self.address, reason=str(error))
        finally:
            self.is_up = False
            reader.cancel()
            await channel.close()

    async def _send_frames(self, channel: Channel) -> None:
        loop = asyncio.get_running_loop()
        heartbeat_due_s = loop.time() + self._timing.heartbeat_s
        while True:
            try:
                async with asyncio.timeout_at(heartbeat_due_s):
                    await self._has_frames.wait()
            except TimeoutError:
                heartbeat_due_s = loop.time() + self._timing.heartbeat_s
                await channel.send(encode(self._heartbeat()))
            self._has_frames.clear()
            frames, self._frames = self._frames, []
            for frame in frames:
                await channel.send(frame)

    async def _read_replies(self, channel: Channel) -> None:
        """Close the channel when the peer closes it or stops acknowledging heartbeats."""
        try:
            while True:
                async with asyncio.timeout(self._timing.silence_s):
                    await channel.receive()
        except (ChannelClosedError, TimeoutError):
            await channel.close()
