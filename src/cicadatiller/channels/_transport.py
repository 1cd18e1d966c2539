"""Channels for frames between processes; transports are registered by name."""

import ssl
from collections.abc import Awaitable, Callable
from typing import Protocol

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from ..kernel import PeerTlsSettings, Registry

MAX_FRAME_BYTES = 16 * 1024 * 1024
DIAL_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
SEND_BUFFER_BYTES = 1024 * 1024


class ChannelClosedError(Exception):
    """The channel is closed or could not be opened."""


class Channel(Protocol):
    """A bidirectional channel for frames."""

    async def send(self, frame: bytes) -> None:
        """Send a frame; raises `ChannelClosedError`."""

    async def receive(self) -> bytes:
        """Wait for the next frame; raises `ChannelClosedError`."""

    async def close(self) -> None:
        """Close the channel without waiting for the peer."""


Handler = Callable[[Channel], Awaitable[None]]


class Listener(Protocol):
    """A listening address that accepts channels."""

    async def close(self) -> None:
        """Stop accepting channels and close the open ones."""


class Transport(Protocol):
    """Opens and accepts channels."""

    async def dial(self, address: str) -> Channel:
        """Open a channel to "host:port"; raises `ChannelClosedError`."""

    async def listen(self, address: str, handler: Handler) -> Listener:
        """Run the handler for each channel that is opened to an address."""


transport_registry: Registry[Transport] = Registry("transport")


def split_address(address: str) -> tuple[str, int]:
    """Split "host:port" into host and port.

    Raises:
        ValueError: If the address has no numeric port.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit():
        raise ValueError(f"address {address!r} is not of the form host:port")
    return host, int(port)


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


@transport_registry.register("websocket")
class WebSocketTransport:
    """Opens and accepts channels over WebSocket.

    Args:
        server_tls: The TLS context for accepted channels; None for plain connections.
        client_tls: The TLS context for dialled channels; None for plain connections.
    """

    def __init__(
        self,
        *,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
    ) -> None:
        self._server_tls = server_tls
        self._client_tls = client_tls

    async def dial(self, address: str) -> Channel:
        """Open a channel to "host:port"; raises `ChannelClosedError`."""
        scheme = "wss" if self._client_tls else "ws"
        try:
            connection = await connect(
                f"{scheme}://{address}/peer",
                ssl=self._client_tls,
                open_timeout=DIAL_TIMEOUT_S,
                close_timeout=CLOSE_TIMEOUT_S,
                ping_interval=None,
                compression=None,
                proxy=None,
                max_size=MAX_FRAME_BYTES,
                write_limit=SEND_BUFFER_BYTES,
            )
        except (TimeoutError, OSError, InvalidHandshake, ConnectionClosed) as error:
            raise ChannelClosedError(f"cannot connect to {address}: {error}") from error
        return _WebSocketChannel(connection)

    async def listen(self, address: str, handler: Handler) -> Listener:
        """Run the handler for each channel that is opened to an address."""
        host, port = split_address(address)

        async def accept(connection: Connection) -> None:
            await handler(_WebSocketChannel(connection))

        server = await serve(
            accept,
            host,
            port,
            ssl=self._server_tls,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=None,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            write_limit=SEND_BUFFER_BYTES,
        )
        return _WebSocketListener(server)


def open_transport(name: str, tls: PeerTlsSettings | None) -> Transport:
    """Return a new transport by its registered name, with mutual TLS if it is configured."""
    if tls is None:
        return transport_registry.create(name)
    return transport_registry.create(
        name, server_tls=tls.server_context(), client_tls=tls.client_context()
    )
