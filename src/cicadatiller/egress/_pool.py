"""A pool of idle connections, with a limit for each address."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass

from ..kernel import StrayResponse, log_stray
from ._buffers import BufferBudget
from ._connection import EgressConnection
from ._dial import ConnectTimeoutEstimator, open_connection
from ._errors import ConnectionLostError
from ._keepalive import TcpKeepalive
from ._matcher import ResponseMatcher
from ._response import ResponseHead

KEEP_ALIVE_MARGIN_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolLimits:
    """Limits of a connection pool.

    Attributes:
        max_idle: The largest number of idle connections to one address.
        max_idle_s: The idle time after which a connection is not reused.
        connect_timeout_s: The time limit for opening a connection.
        keepalive: The TCP keepalive of new connections.
    """

    max_idle: int = 16
    max_idle_s: float = 4.0
    connect_timeout_s: float = 1.0
    keepalive: TcpKeepalive = TcpKeepalive()


class ConnectionPool:
    """A pool of connections by server address.

    Args:
        limits: The limits of the pool; None for the defaults.

    Attributes:
        opened: The number of attempts to open a connection.
        reused: The number of times that an idle connection was reused.
        strays: The number of responses that did not belong to the exchange that read them.
        buffers: Limits the response bodies of all connections of this pool together.
        connect_timeout: Estimates a connect timeout from the connect times of this pool.
    """

    def __init__(self, *, limits: PoolLimits | None = None) -> None:
        self._limits = limits or PoolLimits()
        self._idle: dict[str, list[EgressConnection]] = defaultdict(list)
        # The addresses of servers whose latest response to an exchange with an id bore it, until
        # their connections are closed.
        self._naming_servers: set[str] = set()
        self.buffers = BufferBudget()
        self.connect_timeout = ConnectTimeoutEstimator()
        self.opened = 0
        self.reused = 0
        self.strays = 0

    async def acquire(
        self,
        address: str,
        *,
        matcher: ResponseMatcher,
        max_idle_s: float | None = None,
        timeout_s: float | None = None,
    ) -> EgressConnection:
        """Return an idle connection, or open one.

        Args:
            address: The address of the server, "host:port".
            matcher: Tells the response to the exchange from others; a connection is reused only if
                no earlier response on it could be taken for that one.
            max_idle_s: The longest idle time of a reused connection; None for the pool's limit.
            timeout_s: The time limit for opening a connection; None for the pool's limit.

        Raises:
            ConnectionLostError: If no connection can be opened in time.
        """
        connection = self._pop_idle(address, matcher, max_idle_s)
        if connection is not None:
            self.reused += 1
            return connection
        limit_s = self._limits.connect_timeout_s if timeout_s is None else timeout_s
        return await self.open(address, timeout_s=limit_s)

    async def open(self, address: str, *, timeout_s: float) -> EgressConnection:
        """Open a new connection, even if there are idle ones.

        Raises:
            ConnectionLostError: If the connection can't be opened in time.
        """
        self.opened += 1
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            connection = await open_connection(
                address,
                timeout_s=timeout_s,
                keepalive=self._limits.keepalive,
                budget=self.buffers,
                on_stray=self._record_stray,
            )
        except ConnectionLostError as error:
            if isinstance(error.__cause__, TimeoutError):
                self.connect_timeout.record_timeout()
            raise
        self.connect_timeout.record_connect(loop.time() - started_s)
        connection.history.names_responses = address in self._naming_servers
        return connection

    async def exchange(
        self,
        address: str,
        request: bytes,
        *,
        matcher: ResponseMatcher,
        timeout_s: float,
        max_response_bytes: int,
    ) -> tuple[ResponseHead, bytes]:
        """Send one request and return the complete response.

        Raises:
            EgressError: If no connection can be opened, or the response is malformed, incomplete
                or longer than `max_response_bytes`.
            TimeoutError: If the response is not complete in time.
        """
        async with asyncio.timeout(timeout_s):
            connection = await self.acquire(address, matcher=matcher)
            try:
                connection.start(request, matcher=matcher)
                head = await connection.read_head()
                return head, await connection.read_whole_body(max_response_bytes)
            finally:
                self.release(connection)

    def release(self, connection: EgressConnection) -> None:
        """End the exchange on a connection and return it to the pool if it is reusable."""
        if connection.last_response_had_id:
            self._naming_servers.add(connection.address)
        elif connection.last_response_had_id is False:
            self._naming_servers.discard(connection.address)
        if connection.finish():
            self.add_idle(connection)

    def add_idle(self, connection: EgressConnection) -> None:
        """Add an idle connection, closing the oldest one if there are too many."""
        idle = self._idle[connection.address]
        idle.append(connection)
        if len(idle) > self._limits.max_idle:
            idle.pop(0).close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, which another server may have from now on."""
        self._naming_servers.discard(address)
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close the connections whose idle time has passed its limit."""
        for address in list(self._idle):
            usable = [c for c in self._idle[address] if self._is_usable(c, None)]
            for connection in self._idle[address]:
                if connection not in usable:
                    connection.close()
            self._idle[address] = usable
            if not usable:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def _record_stray(self, stray: StrayResponse) -> None:
        self.strays += 1
        log_stray(stray)

    def _pop_idle(
        self, address: str, matcher: ResponseMatcher, max_idle_s: float | None
    ) -> EgressConnection | None:
        idle = self._idle.get(address, [])
        for connection in idle:
            connection.history.names_responses = address in self._naming_servers
        usable = [c for c in reversed(idle) if matcher.may_follow(c.history)]
        usable.sort(key=lambda connection: matcher.preference(connection.history))
        for connection in usable:
            if self._is_usable(connection, max_idle_s):
                idle.remove(connection)
                return connection
        return None

    def _is_usable(self, connection: EgressConnection, max_idle_s: float | None) -> bool:
        if not connection.is_open:
            return False
        limit_s = self._limits.max_idle_s if max_idle_s is None else max_idle_s
        if connection.keep_alive_s is not None:
            limit_s = min(limit_s, connection.keep_alive_s - KEEP_ALIVE_MARGIN_S)
        return asyncio.get_running_loop().time() - connection.idle_since_s < limit_s
