"""Socket options by which the kernel detects connections to unresponsive hosts."""

import socket
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class TcpKeepalive:
    """The TCP keepalive and user timeout of a connection.

    Attributes:
        idle_s: The idle time before the first keepalive probe, in whole seconds.
        interval_s: The time between probes, in whole seconds.
        probes: The number of unanswered probes after which the kernel closes the connection.
        user_timeout_s: How long sent data may stay unacknowledged before the kernel closes the
            connection.
    """

    idle_s: int = 1
    interval_s: int = 1
    probes: int = 2
    user_timeout_s: float = 2.5


def configure_keepalive(sock: socket.socket, timing: TcpKeepalive) -> None:
    """Set the keepalive and user timeout of a socket, and disable Nagle's algorithm."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, timing.idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, timing.interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, timing.probes)
    user_timeout_ms = int(timing.user_timeout_s * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
