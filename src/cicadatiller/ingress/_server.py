"""The listener for callers."""

import asyncio
from asyncio import trsock
from collections.abc import Iterable

from ..kernel import Event, log_event
from ..memory_budget import MemoryBudget, choose_for_slot
from ._connection import Handler, IngressConnection
from ._limits import IngressLimits

BACKLOG = 1024
# So many connections are accepted before those beyond the bound are closed again.
ACCEPT_BATCH = 8
# Leaves half of the descriptors of a process, usually 4096, to targets, peers and the store.
MAX_CONNECTIONS = 2048
# Longer than callers wait for an answer, so that only those that left without a close are affected.
SEND_TIMEOUT_S = 20.0


class IngressServer:
    """The listener and its open connections.

    Args:
        handler: Handles each request.
        limits: The initial limits; None for the defaults.
        max_connections: How many connections may be open at once.
        max_per_host: How many of them may come from one host address; 0 for no limit.
        memory: Limits what the connections hold; None for no limit.
        send_timeout_s: A connection is closed if its caller takes nothing of a response for this
            time.

    Attributes:
        limits: The current limits; a connection applies new ones from its next request on.
        idle_closed: The number of connections that were closed because no request came in time.
        max_connections: How many connections may be open at once. For a further one, one that
            makes no progress is closed; without any, the further one is closed at once, unread,
            so that its caller knows that nothing ran.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: IngressLimits | None = None,
        max_connections: int = MAX_CONNECTIONS,
        max_per_host: int = 0,
        memory: MemoryBudget | None = None,
        send_timeout_s: float = SEND_TIMEOUT_S,
    ) -> None:
        self.limits = limits or IngressLimits()
        self.idle_closed = 0
        self.max_connections = max_connections
        self._max_per_host = max_per_host
        self._memory = memory or MemoryBudget()
        self._send_timeout_s = send_timeout_s
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
            self._create_connection, host, port, backlog=ACCEPT_BATCH
        )
        for listener in self._server.sockets:
            _set_backlog(listener)
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
            memory=self._memory,
            send_timeout_s=self._send_timeout_s,
        )
        if self._is_draining:
            connection.announce_close()
        return connection

    def _admit(self, connection: IngressConnection) -> bool:
        if not self._has_room_for(connection):
            log_event(Event.CONNECTION_REFUSED, open=len(self._connections))
            return False
        self._connections.add(connection)
        return True

    def _has_room_for(self, connection: IngressConnection) -> bool:
        """Return whether a connection may stay open; another one may be closed for it."""
        if len(self._connections) >= self.max_connections:
            return self._make_room(self._connections)
        if not self._max_per_host:
            return True
        host = connection.caller_host
        of_host = [other for other in self._connections if other.caller_host == host]
        return len(of_host) < self._max_per_host or self._make_room(of_host)

    def _make_room(self, connections: Iterable[IngressConnection]) -> bool:
        """Close one of some connections that makes no progress; return False if there is none."""
        now_s = asyncio.get_running_loop().time()
        by_holding = {connection.holding: connection for connection in connections}
        chosen = choose_for_slot(by_holding, now_s)
        if chosen is None:
            return False
        self._connections.discard(by_holding[chosen])
        chosen.evict()
        return True


def _set_backlog(listener: object) -> None:
    """Let `BACKLOG` connections wait to be accepted; asyncio uses one value for this and its batch."""
    if isinstance(listener, trsock.TransportSocket):
        with listener.dup() as duplicate:
            duplicate.listen(BACKLOG)
