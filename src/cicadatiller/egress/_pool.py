"""Keeps idle connections for reuse, within a limit for each address."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass

from ._connection import ConnectionLostError, EgressConnection, ResponseHead, open_connection
from ._dial import DialTimer
from ._silence import SilenceTiming

KEEP_ALIVE_MARGIN_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolLimits:
    """How connections are kept.

    Attributes:
        max_idle: The most idle connections to one address.
        max_idle_s: An idle connection is not used after so long.
        connect_timeout_s: The limit on opening one.
        silence: When a connection counts as silent.
    """

    max_idle: int = 16
    max_idle_s: float = 4.0
    connect_timeout_s: float = 1.0
    silence: SilenceTiming = SilenceTiming()


class ConnectionPool:
    """Connections to servers by address.

    Args:
        limits: How connections are kept.

    Attributes:
        opened: How many connections were opened.
        reused: How many exchanges went over a kept one.
        dials: How long opening one may take, judged by how long it took.
    """

    def __init__(self, *, limits: PoolLimits | None = None) -> None:
        self._limits = limits or PoolLimits()
        self._idle: dict[str, list[EgressConnection]] = defaultdict(list)
        self.dials = DialTimer()
        self.opened = 0
        self.reused = 0

    async def take(
        self, address: str, *, max_idle_s: float | None = None, timeout_s: float | None = None
    ) -> EgressConnection:
        """Return a connection that is kept, or open one.

        Args:
            address: Where to, "host:port".
            max_idle_s: Use no connection that was idle for longer; None for the pool's limit.
            timeout_s: The limit on opening one; None for the pool's limit.

        Raises:
            ConnectionLostError: If none can be opened.
        """
        connection = self._take_idle(address, max_idle_s)
        if connection is not None:
            self.reused += 1
            return connection
        limit_s = self._limits.connect_timeout_s if timeout_s is None else timeout_s
        return await self.open(address, timeout_s=limit_s)

    async def open(self, address: str, *, timeout_s: float) -> EgressConnection:
        """Open a new connection, whatever is kept.

        Raises:
            ConnectionLostError: If none can be opened in time.
        """
        self.opened += 1
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            connection = await open_connection(
                address, timeout_s=timeout_s, silence=self._limits.silence
            )
        except ConnectionLostError as error:
            if isinstance(error.__cause__, TimeoutError):
                self.dials.note_timeout()
            raise
        self.dials.note_opened(loop.time() - began_s)
        return connection

    async def exchange(
        self, address: str, request: bytes, *, timeout_s: float, max_answer_bytes: int
    ) -> tuple[ResponseHead, bytes]:
        """Send one request and return the whole answer.

        Raises:
            EgressError: If no whole answer comes.
            TimeoutError: If it does not come in time.
        """
        async with asyncio.timeout(timeout_s):
            connection = await self.take(address)
            try:
                connection.start(request)
                head = await connection.read_head()
                return head, await connection.read_whole_body(max_answer_bytes)
            finally:
                self.give_back(connection)

    def give_back(self, connection: EgressConnection) -> None:
        """End the exchange on a connection and keep it if it may be used again."""
        if connection.finish():
            self.keep(connection)

    def keep(self, connection: EgressConnection) -> None:
        """Keep a connection that is idle."""
        idle = self._idle[connection.address]
        idle.append(connection)
        if len(idle) > self._limits.max_idle:
            idle.pop(0).close()

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        for address in list(self._idle):
            kept = [c for c in self._idle[address] if self._is_usable(c, None)]
            for connection in self._idle[address]:
                if connection not in kept:
                    connection.close()
            self._idle[address] = kept
            if not kept:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)

    def _take_idle(self, address: str, max_idle_s: float | None) -> EgressConnection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if self._is_usable(connection, max_idle_s):
                return connection
            connection.close()
        return None

    def _is_usable(self, connection: EgressConnection, max_idle_s: float | None) -> bool:
        if not connection.is_open:
            return False
        limit_s = self._limits.max_idle_s if max_idle_s is None else max_idle_s
        if connection.keep_alive_s is not None:
            limit_s = min(limit_s, connection.keep_alive_s - KEEP_ALIVE_MARGIN_S)
        return asyncio.get_running_loop().time() - connection.idle_since_s < limit_s
