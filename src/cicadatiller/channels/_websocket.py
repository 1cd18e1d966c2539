"""Channels over WebSocket."""

import ssl
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from ._transport import Channel, ChannelClosedError, Handler, Listener, split_address

MAX_FRAME_BYTES = 16 * 1024 * 1024
DIAL_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
SEND_BUFFER_BYTES = 1024 * 1024
# Both ends keep the same limits; heartbeats of the links take the place of pings.
OPTIONS: Any = {
    "close_timeout": CLOSE_TIMEOUT_S,
    "ping_interval": None,
    "compression": None,
    "max_size": MAX_FRAME_BYTES,
    "write_limit": SEND_BUFFER_BYTES,
}


class _WebSocketChannel:
    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    async def send(self, frame: bytes) -> None:
        try:
            await self._connection.send(frame)
        except ConnectionClosed as error:
            raise ChannelClosedError(str(error)) from error

    async def receive(self) -> bytes:
        try:
            frame = await self._connection.recv()
        except ConnectionClosed as error:
            raise ChannelClosedError(str(error)) from error
        return frame.encode() if isinstance(frame, str) else frame

    async def close(self) -> None:
        self._connection.transport.abort()


class _WebSocketListener:
    def __init__(self, server: Server) -> None:
        self._server = server

    async def close(self) -> None:
        self._server.close()
        await self._server.wait_closed()


async def dial(address: str, tls: ssl.SSLContext | None) -> Channel:
    """Open a channel to "host:port"; raises `ChannelClosedError`."""
    scheme = "wss" if tls else "ws"
    try:
        connection = await connect(
            f"{scheme}://{address}/peer",
            ssl=tls,
            open_timeout=DIAL_TIMEOUT_S,
            proxy=None,
            **OPTIONS,
        )
    except (TimeoutError, OSError, InvalidHandshake, ConnectionClosed) as error:
        raise ChannelClosedError(f"cannot connect to {address}: {error}") from error
    return _WebSocketChannel(connection)


async def listen(address: str, handler: Handler, tls: ssl.SSLContext | None) -> Listener:
    """Run the handler for each channel that is opened to an address."""
    host, port = split_address(address)

    async def accept(connection: Connection) -> None:
        await handler(_WebSocketChannel(connection))

    server = await serve(
        accept,
        host,
        port,
        ssl=tls,
        **OPTIONS,
    )
    return _WebSocketListener(server)
