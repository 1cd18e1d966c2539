"""Has the kernel notice connections whose other end has fallen silent."""

import socket
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class SilenceTiming:
    """When a connection counts as silent.

    Attributes:
        idle_s: Without traffic for so long, a keep-alive probe is sent. Whole seconds.
        interval_s: The time between probes. Whole seconds.
        probes: After so many unanswered probes the connection is broken.
        unacknowledged_s: Bytes that were sent and not acknowledged for so long break it.
    """

    idle_s: int = 1
    interval_s: int = 1
    probes: int = 2
    unacknowledged_s: float = 2.5


def watch_for_silence(sock: socket.socket, timing: SilenceTiming) -> None:
    """Set the options of a socket by which the kernel notices silence."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, timing.idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, timing.interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, timing.probes)
    unacknowledged_ms = int(timing.unacknowledged_s * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
