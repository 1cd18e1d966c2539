"""The outbound link to another entry."""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from ..channels import Channel, ChannelClosedError, Transport, decode, encode
from ..kernel import Event, FailureError, log_event
from ._compact import compact
from ._messages import (
    COMPACT_PROTOCOL,
    FIRST_PROTOCOL,
    UNNUMBERED,
    CompactUpdate,
    Greeting,
    HeartbeatAck,
    TopicPage,
    TopicRequest,
    Update,
)

MAX_QUEUED_BYTES = 256 * 1024
ROUND_TRIP_GAIN = 0.3


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


class UpdateFrames:
    """Encodes an update once for all links that use the same version of the protocol.

    Args:
        update: The update.
        incarnation: The incarnation in the sender's greeting.
    """

    def __init__(self, *, update: Update, incarnation: str) -> None:
        self._update = update
        self._incarnation = incarnation
        self._frames: dict[bool, bytes] = {}

    @property
    def is_acknowledged(self) -> bool:
        """Return whether receivers acknowledge the update."""
        return self._update.known_offsets is not None

    def for_protocol(self, protocol: int) -> bytes:
        """Return the frame for a receiver that understands a version of the protocol."""
        is_compact = protocol >= COMPACT_PROTOCOL
        frame = self._frames.get(is_compact)
        if frame is None:
            frame = encode(self._compacted() if is_compact else self._update)
            self._frames[is_compact] = frame
        return frame

    def _compacted(self) -> CompactUpdate:
        return CompactUpdate(fields=compact(self._update, self._incarnation))


@dataclass(frozen=True, kw_only=True, slots=True)
class _OpenRequest:
    """A request on a link whose reply is awaited."""

    number: int
    reply: asyncio.Future[TopicPage]


class OutboundLink:
    """Sends updates and requests to one peer; `run` dials it and writes queued frames.

    Args:
        address: The peer's address, "host:port".
        transport: Opens channels.
        greeting: The first message on each channel.
        snapshot: Returns the full state for the peer; it is sent after the greeting.
        heartbeat: Returns the update that is sent as a heartbeat.
        timing: The heartbeat, timeout and redial intervals.

    Attributes:
        address: The peer's address.
        is_up: Whether a channel is open.
        protocol: The version of the protocol that the peer understands.
        queued_bytes: The size of the frames that wait to be written.
        round_trip_s: The smoothed time until the peer acknowledges a heartbeat; 0 before the first.
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
        self.protocol = FIRST_PROTOCOL
        self.queued_bytes = 0
        self.round_trip_s = 0.0
        self._heartbeats_sent_s: deque[float] = deque()
        self._transport = transport
        self._greeting = greeting
        self._snapshot = snapshot
        self._heartbeat = heartbeat
        self._timing = timing
        self._frames: list[bytes] = []
        self._has_frames = asyncio.Event()
        self._must_dial = asyncio.Event()
        self._channel: Channel | None = None
        self._requests: dict[str, _OpenRequest] = {}
        self._next_number = 1
        # The topics of requests on the channel whose replies did not come in time.
        self._late_topics: set[str] = set()

    def send_update(self, frames: UpdateFrames) -> None:
        """Queue an update for sending."""
        if not self.is_up:
            return
        if frames.is_acknowledged:
            self._heartbeats_sent_s.append(asyncio.get_running_loop().time())
        self._enqueue(frames.for_protocol(self.protocol))

    async def request(self, request: TopicRequest, *, timeout_s: float) -> TopicPage | None:
        """Ask the peer for records; return None if it can't answer or does not in time."""
        if not self.is_up or self.protocol < COMPACT_PROTOCOL or request.topic in self._requests:
            return None
        number = self._next_number
        self._next_number += 1
        waiting = _OpenRequest(number=number, reply=asyncio.get_running_loop().create_future())
        self._requests[request.topic] = waiting
        self._enqueue(encode(replace(request, number=number)))
        try:
            async with asyncio.timeout(timeout_s):
                return await waiting.reply
        except TimeoutError:
            return None
        finally:
            if not waiting.reply.done() or waiting.reply.cancelled():
                self._late_topics.add(request.topic)
            del self._requests[request.topic]

    def _enqueue(self, frame: bytes) -> None:
        """Queue a frame.

        A frame is dropped while the link is down, as the snapshot sent on reconnection covers it.
        If more than `MAX_QUEUED_BYTES` are queued, the channel is closed and dialled again.
        """
        self._frames.append(frame)
        self.queued_bytes += len(frame)
        self._has_frames.set()
        if self.queued_bytes > MAX_QUEUED_BYTES and self._channel is not None:
            log_event(Event.PEER_BACKLOG, peer=self.address, queued_bytes=self.queued_bytes)
            self.is_up = False
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
                await self._back_off(delay_s * random.uniform(0.7, 1.3))
                delay_s = min(2 * delay_s, self._timing.max_backoff_s)
                continue
            delay_s = self._timing.initial_backoff_s
            await self._use_channel(channel)
            last_connected_s = loop.time()
            await asyncio.sleep(delay_s)

    def dial_now(self) -> None:
        """End the backoff, as the peer can be reached again."""
        self._must_dial.set()

    async def _back_off(self, delay_s: float) -> None:
        self._must_dial.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._must_dial.wait()

    async def _use_channel(self, channel: Channel) -> None:
        self._channel = channel
        self.protocol = FIRST_PROTOCOL
        reader = asyncio.get_running_loop().create_task(self._read_replies(channel))
        try:
            await channel.send(encode(self._greeting))
            self._frames.clear()
            self.queued_bytes = 0
            self._heartbeats_sent_s.clear()
            self._late_topics.clear()
            self.is_up = True
            await self._send_heartbeat(channel, self._snapshot())
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
                await self._send_heartbeat(channel, self._heartbeat())
            self._has_frames.clear()
            frames, self._frames = self._frames, []
            for frame in frames:
                await channel.send(frame)
                self.queued_bytes -= len(frame)

    async def _send_heartbeat(self, channel: Channel, update: Update) -> None:
        frames = UpdateFrames(update=update, incarnation=self._greeting.incarnation)
        self._heartbeats_sent_s.append(asyncio.get_running_loop().time())
        await channel.send(frames.for_protocol(self.protocol))

    async def _read_replies(self, channel: Channel) -> None:
        """Close the channel when the peer closes it or stops acknowledging heartbeats."""
        try:
            while True:
                async with asyncio.timeout(self._timing.silence_s):
                    reply = decode(await channel.receive())
                if isinstance(reply, HeartbeatAck):
                    self.protocol = reply.protocol
                    self._record_acknowledgement()
                elif isinstance(reply, TopicPage):
                    self._deliver(reply)
        except (ChannelClosedError, FailureError, TimeoutError):
            await channel.close()

    def _record_acknowledgement(self) -> None:
        if not self._heartbeats_sent_s:
            return
        taken_s = asyncio.get_running_loop().time() - self._heartbeats_sent_s.popleft()
        gain = ROUND_TRIP_GAIN if self.round_trip_s else 1.0
        self.round_trip_s += gain * (taken_s - self.round_trip_s)

    def _deliver(self, page: TopicPage) -> None:
        waiting = self._requests.get(page.topic)
        if waiting is None or waiting.reply.done() or not self._answers(page, waiting):
            log_event(Event.FRAME_DROPPED, peer=self.address, topic=page.topic)
            return
        waiting.reply.set_result(page)

    def _answers(self, page: TopicPage, waiting: "_OpenRequest") -> bool:
        """Return whether a page answers a request.

        One without a number, of an older version, may answer an earlier request if one was late.
        """
        if page.number == UNNUMBERED:
            return page.topic not in self._late_topics
        return page.number == waiting.number
