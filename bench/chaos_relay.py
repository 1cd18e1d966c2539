"""A TCP relay that can stop forwarding open connections without closing them."""

import asyncio
import contextlib

HOST = "127.0.0.1"
BLOCK_BYTES = 64 * 1024


class _ConnectionPair:
    """A client connection and its target connection; the relay copies bytes between them."""

    def __init__(self) -> None:
        self.drops_data = False

    async def forward(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        while block := await source.read(BLOCK_BYTES):
            if self.drops_data:
                continue
            sink.write(block)
            await sink.drain()


class Relay:
    """Forwards the connections of one loopback port to another port.

    Args:
        port: The port to listen on.
        target_port: The port to which new connections are forwarded.

    Attributes:
        target_port: The port to which new connections are forwarded.
        dropping_connections: Number of connections affected by `drop_data` so far.
    """

    def __init__(self, *, port: int, target_port: int) -> None:
        self._port = port
        self.target_port = target_port
        self.dropping_connections = 0
        self._pairs: set[_ConnectionPair] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, HOST, self._port)

    def drop_data(self) -> None:
        """Discard all further data on the open connections; new connections are not affected."""
        for pair in self._pairs:
            self.dropping_connections += not pair.drops_data
            pair.drops_data = True

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            with contextlib.suppress(OSError):
                target = await asyncio.open_connection(HOST, self.target_port)
                await self._relay((reader, writer), target)
        finally:
            writer.close()

    async def _relay(self, client, target) -> None:
        pair = _ConnectionPair()
        self._pairs.add(pair)
        directions = [
            asyncio.ensure_future(pair.forward(client[0], target[1])),
            asyncio.ensure_future(pair.forward(target[0], client[1])),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            # A close at one end is not forwarded either while data is discarded.
            if pair.drops_data:
                await asyncio.wait(directions)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            self._pairs.discard(pair)
            target[1].close()
