"""Opens connections, and adapts the connect timeout to the connect times of the network."""

import asyncio
from collections.abc import Callable

from ..kernel import StrayResponse, log_stray
from ._buffers import BufferBudget
from ._connection import EgressConnection
from ._errors import ConnectionLostError
from ._keepalive import TcpKeepalive, configure_keepalive

MAX_CONNECT_TIMEOUT_S = 0.5
MIN_CONNECT_TIMEOUT_S = 0.12
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4


class ConnectTimeoutEstimator:
    """Estimates a connect timeout.

    The timeout follows the mean and the deviation of the observed connect times, like the
    retransmission timeout of TCP. It doubles with each timeout, so that connections succeed again
    on a network that has become slower.

    Attributes:
        timeout_s: The timeout for the next connection.
    """

    def __init__(self) -> None:
        self.timeout_s = MAX_CONNECT_TIMEOUT_S
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def record_connect(self, elapsed_s: float) -> None:
        """Record the time that it took to open a connection."""
        if self._mean_s is None:
            self._mean_s = elapsed_s
            self._deviation_s = elapsed_s / 2
        else:
            error_s = abs(elapsed_s - self._mean_s)
            self._deviation_s += DEVIATION_GAIN * (error_s - self._deviation_s)
            self._mean_s += MEAN_GAIN * (elapsed_s - self._mean_s)
        bound_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        self.timeout_s = min(MAX_CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, bound_s))

    def record_timeout(self) -> None:
        """Double the timeout after a connection that was not opened in time."""
        self.timeout_s = min(MAX_CONNECT_TIMEOUT_S, 2 * self.timeout_s)


async def open_connection(
    address: str,
    *,
    timeout_s: float,
    keepalive: TcpKeepalive,
    budget: BufferBudget | None = None,
    on_stray: Callable[[StrayResponse], None] = log_stray,
) -> EgressConnection:
    """Open a connection to "host:port".

    Args:
        address: The address.
        timeout_s: The time limit.
        keepalive: The TCP keepalive of the connection.
        budget: Limits the bodies that are read whole; None for a budget of its own.
        on_stray: Called for each response that does not belong to the exchange that reads it.

    Raises:
        ConnectionLostError: If the connection can't be opened in time; no request was sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    budget = budget or BufferBudget()
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(
                lambda: EgressConnection(address=address, budget=budget, on_stray=on_stray),
                host,
                int(port),
            )
    except (OSError, ValueError) as error:
        raise ConnectionLostError(f"cannot connect to {address}: {error!r}") from error
    sock = transport.get_extra_info("socket")
    if sock is not None:
        configure_keepalive(sock, keepalive)
    connection.idle_since_s = loop.time()
    return connection
