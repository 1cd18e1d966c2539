"""A transport that adds the latency between data centres, registered by the bench only.

The latency table is a JSON file whose path is in `CICADATILLER_BENCH_LATENCY`:
`{"own": "hall-a", "data_centres": {"127.0.0.1:20100": "hall-b"}, "one_way_s": 0.0015}`.
"""

import asyncio
import json
import os
from pathlib import Path

from cicadatiller.channels import Channel, Handler, Listener, WebSocketTransport, transport_registry

TABLE_VARIABLE = "CICADATILLER_BENCH_LATENCY"


class DelayedChannel:
    """Delays the frames of a channel in both directions and keeps their order."""

    def __init__(self, channel: Channel, one_way_s: float) -> None:
        self._channel = channel
        self._one_way_s = one_way_s
        self._outgoing: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        self._incoming: asyncio.Queue[tuple[float, bytes | Exception]] = asyncio.Queue()
        loop = asyncio.get_running_loop()
        self._tasks = (
            loop.create_task(self._send_delayed()),
            loop.create_task(self._receive_frames()),
        )

    async def send(self, frame: bytes) -> None:
        """Send a frame after the delay."""
        self._outgoing.put_nowait((self._due_s(), frame))

    async def receive(self) -> bytes:
        """Wait for the next frame."""
        due_s, item = await self._incoming.get()
        await asyncio.sleep(due_s - asyncio.get_running_loop().time())
        if isinstance(item, Exception):
            raise item
        return item

    async def close(self) -> None:
        """Close the channel."""
        for task in self._tasks:
            task.cancel()
        await self._channel.close()

    def _due_s(self) -> float:
        return asyncio.get_running_loop().time() + self._one_way_s

    async def _send_delayed(self) -> None:
        while True:
            due_s, frame = await self._outgoing.get()
            await asyncio.sleep(due_s - asyncio.get_running_loop().time())
            await self._channel.send(frame)

    async def _receive_frames(self) -> None:
        while True:
            try:
                frame = await self._channel.receive()
            except Exception as error:
                self._incoming.put_nowait((self._due_s(), error))
                return
            self._incoming.put_nowait((self._due_s(), frame))


@transport_registry.register("bench-latency")
class LatencyTransport:
    """WebSocket channels that emulate the latency between data centres."""

    def __init__(self) -> None:
        self._inner = WebSocketTransport()
        table = json.loads(Path(os.environ[TABLE_VARIABLE]).read_text())
        self._data_centres: dict[str, str] = table["data_centres"]
        self._own: str = table["own"]
        self._one_way_s: float = table["one_way_s"]

    async def dial(self, address: str) -> Channel:
        """Open a channel."""
        channel = await self._inner.dial(address)
        if self._data_centres.get(address, self._own) == self._own:
            return channel
        return DelayedChannel(channel, self._one_way_s)

    async def listen(self, address: str, handler: Handler) -> Listener:
        """Accept channels; the dialling side adds the delay."""
        return await self._inner.listen(address, handler)
