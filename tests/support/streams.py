"""In-memory byte streams on a loop with a virtual clock."""

import asyncio
import itertools
from collections import deque

from .paused_loop import PausedCase, PausedLoop

HIGH_WATER_BYTES = 64 * 1024
FIRST_PORT = 50_000


class StreamNetwork:
    """An in-memory network with injectable faults.

    Attributes:
        latency_s: The one-way latency.
        unreachable: Unreachable hosts and "host:port" addresses: connects hang, and sent data is
            lost.
        links: The open connections, as (connecting end, accepting end).
        segment_bytes: The largest part in which written data arrives; None for no limit.
    """

    def __init__(self) -> None:
        self.latency_s = 0.001
        self.segment_bytes: int | None = None
        self.unreachable: set[str] = set()
        self.links: list[tuple[MemoryTransport, MemoryTransport]] = []
        self._listeners = {}
        self._ports = itertools.count(FIRST_PORT)

    def listen(self, host, port, factory):
        """Accept connections on a host and port, and return the port."""
        port = port or next(self._ports)
        self._listeners[f"{host}:{port}"] = factory
        return port

    def stop_listening(self, host, port):
        self._listeners.pop(f"{host}:{port}", None)

    def is_unreachable(self, address):
        return address in self.unreachable or address.rpartition(":")[0] in self.unreachable

    def links_to(self, address):
        """Return the open connections to an address, as (connecting end, accepting end)."""
        return [pair for pair in self.links if pair[1].address == address]

    def reset_links_to(self, address):
        """Reset both ends of all connections to an address."""
        for near, far in self.links_to(address):
            near.disconnect(ConnectionResetError("reset"))
            far.disconnect(ConnectionResetError("reset"))

    def drop_data_on_links_to(self, address):
        """Drop all further data on the open connections to an address; new ones work."""
        for near, far in self.links_to(address):
            near.drops_data = far.drops_data = True

    async def connect(self, loop, factory, address):
        await asyncio.sleep(2 * self.latency_s)
        if self.is_unreachable(address):
            await asyncio.sleep(3600)
        accept = self._listeners.get(address)
        if accept is None:
            raise ConnectionRefusedError(f"nothing listens at {address}")
        near = MemoryTransport(loop, self, factory(), address)
        far = MemoryTransport(loop, self, accept(), address)
        near.other, far.other = far, near
        self.links.append((near, far))
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        return near, near.protocol


class MemoryTransport(asyncio.Transport):
    """One end of a stream."""

    def __init__(self, loop, network, protocol, address):
        super().__init__()
        self.address = address
        self.protocol = protocol
        self.other = None
        self.drops_data = False
        self._loop = loop
        self._network = network
        self._closing = False
        self._lost = False
        self._reading = True
        self._incoming = []
        self._in_transit = deque()
        self._high_water_bytes = HIGH_WATER_BYTES
        self._unread_bytes = 0
        self._paused = False

    def get_extra_info(self, name, default=None):
        return default

    def set_write_buffer_limits(self, high=None, low=None):
        self._high_water_bytes = HIGH_WATER_BYTES if high is None else high

    def is_closing(self):
        return self._closing

    def is_reading(self):
        return self._reading

    def pause_reading(self):
        self._reading = False

    def resume_reading(self):
        self._reading = True
        self._loop.call_soon(self._read)

    def get_write_buffer_size(self):
        return self._unread_bytes

    def write(self, data):
        if self._closing or not data:
            return
        self._unread_bytes += len(data)
        if self._unread_bytes > self._high_water_bytes and not self._paused:
            self._paused = True
            self.protocol.pause_writing()
        size_bytes = self._network.segment_bytes or len(data)
        for start in range(0, len(data), size_bytes):
            self._send(bytes(data[start : start + size_bytes]))

    def can_write_eof(self):
        return True

    def write_eof(self):
        """Close the sending side."""
        self._send(None)

    def close(self):
        if self._closing:
            return
        self._closing = True
        self._send(None)
        self._loop.call_soon(self.disconnect, None)

    def abort(self):
        if self._lost:
            return
        self._closing = True
        self._send(ConnectionResetError("reset by peer"))
        self._loop.call_soon(self.disconnect, None)

    def disconnect(self, error):
        """Disconnect this end of the stream."""
        if self._lost:
            return
        self._lost = self._closing = True
        self._network.links = [pair for pair in self._network.links if self not in pair]
        self.protocol.connection_lost(error)

    def _send(self, item):
        if self.drops_data or self._network.is_unreachable(self.address):
            return
        # Timers that are due at the same time fire in any order, so each delivers the next item.
        self._in_transit.append(item)
        self._loop.call_later(self._network.latency_s, self._deliver)

    def _deliver(self):
        self.other._receive(self._in_transit.popleft())

    def _receive(self, item):
        if self._lost:
            return
        if isinstance(item, Exception):
            self.disconnect(item)
            return
        self._incoming.append(item)
        self._read()

    def _read(self):
        while self._reading and self._incoming and not self._lost:
            item = self._incoming.pop(0)
            if item is None:
                if not self.protocol.eof_received():
                    self.close()
                continue
            self.other._on_peer_read(len(item))
            self.protocol.data_received(item)

    def _on_peer_read(self, size_bytes):
        self._unread_bytes -= size_bytes
        if self._paused and self._unread_bytes <= self._high_water_bytes // 4 and not self._lost:
            self._paused = False
            self.protocol.resume_writing()


class _Listener:
    """The part of `asyncio.Server` that the code under test uses."""

    def __init__(self, network, host, port):
        self.sockets = (_BoundSocket(host, port),)
        self._network = network
        self._host = host
        self._port = port

    def close(self):
        self._network.stop_listening(self._host, self._port)


class _BoundSocket:
    def __init__(self, host, port):
        self._name = (host, port)

    def getsockname(self):
        return self._name


class NetworkLoop(PausedLoop):
    """A `PausedLoop` whose connections go through a `StreamNetwork`."""

    def __init__(self) -> None:
        super().__init__()
        self.network = StreamNetwork()

    async def create_connection(self, factory, host, port, **_):
        return await self.network.connect(self, factory, f"{host}:{port}")

    async def create_server(self, factory, host, port, **_):
        port = self.network.listen(host, port, factory)
        return _Listener(self.network, host, port)


class NetworkCase(PausedCase):
    """A test case on a `NetworkLoop`; tasks that outlive the test's coroutine are cancelled."""

    loop_type = NetworkLoop

    def run_paused(self, coroutine):
        return super().run_paused(_run_then_cancel_tasks(coroutine))


async def _run_then_cancel_tasks(coroutine):
    try:
        return await coroutine
    finally:
        # A cancelled task may start another one to clean up.
        while others := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
