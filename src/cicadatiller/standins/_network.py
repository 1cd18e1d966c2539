"""An in-memory transport that can inject the faults of real connections."""

import asyncio
from collections import deque
from collections.abc import Callable

from ..channels import Channel, ChannelClosedError, Handler, Listener, transport_registry
from ..channels import split_address as _split_address

FrameFilter = Callable[[str, str, bytes], list[bytes]]


class _MemoryChannel:
    def __init__(self, network: "MemoryNetwork", source: str, destination: str) -> None:
        self._network = network
        self.source = source
        self.destination = destination
        self.other: _MemoryChannel | None = None
        self.closed = False
        self.incoming: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.in_transit: deque[bytes | None] = deque()

    async def send(self, frame: bytes) -> None:
        if self.closed or self.other is None or self.other.closed:
            raise ChannelClosedError("the channel is closed")
        self._network.deliver(self, frame)
        await asyncio.sleep(0)

    async def receive(self) -> bytes:
        if self.closed and self.incoming.empty():
            raise ChannelClosedError("the channel is closed")
        frame = await self.incoming.get()
        if frame is None:
            raise ChannelClosedError("the other end closed the channel")
        return frame

    async def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.incoming.put_nowait(None)
        if self.other is not None and not self.other.closed:
            self._network.deliver_close(self)


class _MemoryListener:
    def __init__(self, network: "MemoryNetwork", address: str) -> None:
        self._network = network
        self._address = address

    async def close(self) -> None:
        self._network.stop_listening(self._address)


@transport_registry.register("memory")
class MemoryNetwork:
    """Connects processes that share an event loop.

    Attributes:
        latency_s: The one-way latency.
        unreachable: Addresses whose dials are refused.
        filter: If set, called with (source, destination, frame); returns the frames to deliver
            instead.
        on_dial: If set, called with (source, address) before a channel is opened.
        severed: If set, called with (source, destination); returns whether no frames pass between
            them now. A channel that lost a frame this way drops all later ones; a dial never
            returns.
    """

    def __init__(self, *, latency_s: float = 0.0) -> None:
        self.latency_s = latency_s
        self.unreachable: set[str] = set()
        self.filter: FrameFilter | None = None
        self.on_dial: Callable[[str, str], None] | None = None
        self.severed: Callable[[str, str], bool] | None = None
        self._handlers: dict[str, Handler] = {}
        self._channels: list[_MemoryChannel] = []
        self._dropping: set[_MemoryChannel] = set()
        self._paused: dict[str, asyncio.Event] = {}
        self._held_frames: list[tuple[_MemoryChannel, bytes | None]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def bind(self, name: str) -> "BoundNetwork":
        """Return the transport of a process; `name` is the source of its dials."""
        return BoundNetwork(network=self, name=name)

    async def dial(self, address: str, *, source: str = "client") -> Channel:
        """Open a channel.

        Raises:
            ChannelClosedError: If nothing listens on the address or it is unreachable.
        """
        _split_address(address)
        if self.on_dial is not None:
            self.on_dial(source, address)
        await asyncio.sleep(self.latency_s)
        while address in self._paused:
            await self._paused[address].wait()
        if self._is_severed(source, address):
            await asyncio.Event().wait()
        handler = self._handlers.get(address)
        if handler is None or address in self.unreachable:
            raise ChannelClosedError(f"nothing listens on {address}, or it is unreachable")
        near = _MemoryChannel(self, source, address)
        far = _MemoryChannel(self, address, source)
        near.other, far.other = far, near
        self._channels = [channel for channel in self._channels if not channel.closed]
        self._channels.extend((near, far))
        task = asyncio.get_running_loop().create_task(self._serve(handler, far))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return near

    async def listen(self, address: str, handler: Handler) -> Listener:
        """Accept channels to an address."""
        self._handlers[address] = handler
        return _MemoryListener(self, address)

    def stop_listening(self, address: str) -> None:
        """Refuse dials to an address and reset its open channels."""
        self._handlers.pop(address, None)
        self.reset(address)

    def reset(self, name: str) -> None:
        """Close every open channel to or from a process, as a TCP reset does."""
        for channel in self._channels:
            if name in (channel.source, channel.destination) and not channel.closed:
                channel.closed = True
                channel.incoming.put_nowait(None)

    def drop_frames(
        self, address: str, *, to_listener: bool = True, to_dialler: bool = True
    ) -> None:
        """Drop all frames on the channels that are open to an address now.

        Args:
            address: The address that listens.
            to_listener: Whether to drop frames to the address.
            to_dialler: Whether to drop frames from the address.
        """
        for channel in self._channels:
            if channel.destination == address and to_listener:
                self._dropping.add(channel)
            if channel.source == address and to_dialler:
                self._dropping.add(channel)

    def pause(self, name: str) -> None:
        """Hold all frames to and from a process, and dials to it, as if it got a SIGSTOP."""
        self._paused.setdefault(name, asyncio.Event())

    def resume(self, name: str) -> None:
        """Deliver the held frames in order and let the held dials go on."""
        paused = self._paused.pop(name, None)
        if paused is None:
            return
        paused.set()
        held, self._held_frames = self._held_frames, []
        for channel, item in held:
            self._deliver_item(channel, item)

    def inject(self, source: str, destination: str, frame: bytes) -> None:
        """Deliver a frame on the newest channel between two processes."""
        for channel in reversed(self._channels):
            if (channel.source, channel.destination) == (source, destination):
                self._deliver_item(channel, frame)
                return

    def deliver(self, channel: _MemoryChannel, frame: bytes) -> None:
        """Pass a frame through `filter` and deliver the result at the other end."""
        if channel in self._dropping:
            return
        frames = [frame]
        if self.filter is not None:
            frames = self.filter(channel.source, channel.destination, frame)
        for item in frames:
            self._deliver_item(channel, item)

    def deliver_close(self, channel: _MemoryChannel) -> None:
        """Deliver the close at the other end, after the frames sent before."""
        self._deliver_item(channel, None)

    def _deliver_item(self, channel: _MemoryChannel, item: bytes | None) -> None:
        other = channel.other
        if self._is_severed(channel.source, channel.destination):
            self._dropping.add(channel)
        if channel in self._dropping or other is None or other.closed:
            return
        if channel.source in self._paused or channel.destination in self._paused:
            self._held_frames.append((channel, item))
            return
        if self.latency_s <= 0:
            other.incoming.put_nowait(item)
            return
        other.in_transit.append(item)
        asyncio.get_running_loop().call_later(self.latency_s, self._arrive, other)

    def _arrive(self, channel: _MemoryChannel) -> None:
        # Timers due at the same time run in no defined order; the queue keeps the send order.
        channel.incoming.put_nowait(channel.in_transit.popleft())

    def _is_severed(self, source: str, destination: str) -> bool:
        return self.severed is not None and self.severed(source, destination)

    async def _serve(self, handler: Handler, channel: _MemoryChannel) -> None:
        try:
            await handler(channel)
        finally:
            await channel.close()


class BoundNetwork:
    """The transport of one process on a `MemoryNetwork`."""

    def __init__(self, *, network: MemoryNetwork, name: str) -> None:
        self._network = network
        self._name = name

    async def dial(self, address: str) -> Channel:
        """Open a channel.

        Raises:
            ChannelClosedError: If nothing listens on the address or it is unreachable.
        """
        return await self._network.dial(address, source=self._name)

    async def listen(self, address: str, handler: Handler) -> Listener:
        """Accept channels to an address."""
        return await self._network.listen(address, handler)
