"""The sending end of a link to another entry."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from ..kernel import Event, log_event
from ..peer import Channel, ChannelClosedError, Transport, encode
from ._messages import Greeting, Update

MAX_WAITING_FRAMES = 512


@dataclass(frozen=True, kw_only=True, slots=True)
class MeshTiming:
    """When links count as lost and are dialled again.

    Attributes:
        heartbeat_s: The time between heartbeats; each is answered.
        silence_s: A link that brings nothing for so long is lost.
        dial_timeout_s: The limit on setting a link up.
        first_delay_s: The pause after a failed dial; it doubles with each further failure.
        max_delay_s: The longest pause between dials.
        forget_s: A peer that was not reached for so long is forgotten until it calls.
    """

    heartbeat_s: float = 0.5
    silence_s: float = 1.6
    dial_timeout_s: float = 1.0
    first_delay_s: float = 0.1
    max_delay_s: float = 2.0
    forget_s: float = 60.0


class SendingLink:
    """Keeps one peer informed; a task of its own dials and sends.

    Args:
        address: The peer, "host:port".
        transport: Opens channels.
        greeting: The first message on each channel.
        snapshot: Returns all that the peer has to know.
        heartbeat: Returns what an update says when there is nothing new.
        timing: When to dial again.
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
        self._wake = asyncio.Event()
        self._channel: Channel | None = None

    def put(self, frame: bytes) -> None:
        """Send a frame; one that the peer can't take now is in the next snapshot."""
        if not self.is_up:
            return
        self._frames.append(frame)
        self._wake.set()
        if len(self._frames) > MAX_WAITING_FRAMES and self._channel is not None:
            asyncio.get_running_loop().create_task(self._channel.close())

    async def run(self) -> None:
        """Stay connected until cancelled, or until the peer is not reached for long."""
        loop = asyncio.get_running_loop()
        last_up_s = loop.time()
        delay_s = self._timing.first_delay_s
        while loop.time() - last_up_s < self._timing.forget_s:
            try:
                async with asyncio.timeout(self._timing.dial_timeout_s):
                    channel = await self._transport.dial(self.address)
            except (ChannelClosedError, TimeoutError):
                await asyncio.sleep(delay_s * random.uniform(0.7, 1.3))
                delay_s = min(2 * delay_s, self._timing.max_delay_s)
                continue
            delay_s = self._timing.first_delay_s
            await self._serve(channel)
            last_up_s = loop.time()
            await asyncio.sleep(delay_s)

    async def _serve(self, channel: Channel) -> None:
        self._channel = channel
        reader = asyncio.get_running_loop().create_task(self._watch(channel))
        try:
            await channel.send(encode(self._greeting))
            self._frames.clear()
            self.is_up = True
            await channel.send(encode(self._snapshot()))
            log_event(Event.PEER_CONNECTED, peer=self.address)
            await self._send(channel)
        except ChannelClosedError as error:
            log_event(Event.PEER_LOST, peer=self.address, reason=str(error))
        finally:
            self.is_up = False
            reader.cancel()
            await channel.close()

    async def _send(self, channel: Channel) -> None:
        loop = asyncio.get_running_loop()
        beat_s = loop.time() + self._timing.heartbeat_s
        while True:
            try:
                async with asyncio.timeout_at(beat_s):
                    await self._wake.wait()
            except TimeoutError:
                beat_s = loop.time() + self._timing.heartbeat_s
                await channel.send(encode(self._heartbeat()))
            self._wake.clear()
            frames, self._frames = self._frames, []
            for frame in frames:
                await channel.send(frame)

    async def _watch(self, channel: Channel) -> None:
        """Close the channel once the peer is gone or does not answer heartbeats."""
        try:
            while True:
                async with asyncio.timeout(self._timing.silence_s):
                    await channel.receive()
        except (ChannelClosedError, TimeoutError):
            await channel.close()
