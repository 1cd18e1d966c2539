"""The listener for callers."""

import asyncio

from ..kernel import Event, log_event
from ._connection import Handler, IngressConnection
from ._limits import IngressLimits

BACKLOG = 1024
# Leaves half of the descriptors of a process, usually 4096, to targets, peers and the store.
MAX_CONNECTIONS = 2048


class IngressServer:
    """The listener and its open connections.

    Args:
        handler: Handles each request.
        limits: The initial limits; None for the defaults.
        max_connections: How many connections may be open at once.

    Attributes:
        limits: The current limits; a connection applies new ones from its next request on.
        idle_closed: The number of connections that were closed because no request came in time.
        max_connections: How many connections may be open at once; further ones are closed at once,
            unread, so that their callers know that nothing ran.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: IngressLimits | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.limits = limits or IngressLimits()
        self.idle_closed = 0
        self.max_connections = max_connections
        self._handler = handler
        self._connections: set[IngressConnection] = set()
        self._server: asyncio.Server | None = None
        self._is_draining = False

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def busy_connections(self) -> int:
        """Return the number of connections whose request is being handled."""
        return sum(connection.is_busy for connection in self._connections)

    async def start(self, host: str, port: int) -> int:
        """Listen on a host and port, and return the bound port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_connection, host, port, backlog=BACKLOG
        )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def announce_close(self) -> None:
        """Send `Connection: close` with the next response on each connection."""
        self._is_draining = True
        for connection in self._connections:
            connection.announce_close()

    def drain(self) -> None:
        """Close each connection once its current request has been answered."""
        for connection in list(self._connections):
            connection.drain()

    def close(self) -> None:
        """Close the listener and all connections at once."""
        self.stop_listening()
        for connection in list(self._connections):
            connection.abort()

    def _forget(self, connection: IngressConnection) -> None:
        self._connections.discard(connection)
        self.idle_closed += connection.was_idle_too_long

    def _create_connection(self) -> IngressConnection:
        connection = IngressConnection(
            handler=self._handler,
            limits=lambda: self.limits,
            on_open=self._admit,
            on_close=self._forget,
        )
        if self._is_draining:
            connection.announce_close()
        return connection

    def _admit(self, connection: IngressConnection) -> bool:
        if len(self._connections) >= self.max_connections:
            log_event(Event.CONNECTION_REFUSED, open=len(self._connections))
            return False
        self._connections.add(connection)
        return True
