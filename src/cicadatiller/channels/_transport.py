"""Channels for frames between processes; transports are registered by name."""

import ssl
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

from ..kernel import Registry

if TYPE_CHECKING:
    from ..settings import PeerTlsSettings


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
        # Imported on first use: an entry serves callers before it has loaded the library.
        from ._websocket import dial

        return await dial(address, self._client_tls)

    async def listen(self, address: str, handler: Handler) -> Listener:
        """Run the handler for each channel that is opened to an address."""
        from ._websocket import listen

        return await listen(address, handler, self._server_tls)


def open_transport(name: str, tls: "PeerTlsSettings | None") -> Transport:
    """Return a new transport by its registered name, with mutual TLS if it is configured."""
    if tls is None:
        return transport_registry.create(name)
    return transport_registry.create(
        name, server_tls=tls.server_context(), client_tls=tls.client_context()
    )
