"""The HTTP/1.1 client for targets and the platform."""

from ._connection import (
    ConnectionLostError,
    EgressConnection,
    EgressError,
    MalformedResponseError,
    ResponseHead,
    open_connection,
)
from ._dial import ConnectTimeoutEstimator
from ._keepalive import TcpKeepalive, configure_keepalive
from ._pool import ConnectionPool, PoolLimits
from ._request import render_request

__all__ = [
    "MalformedResponseError",
    "ConnectTimeoutEstimator",
    "ConnectionLostError",
    "ConnectionPool",
    "EgressConnection",
    "EgressError",
    "PoolLimits",
    "ResponseHead",
    "TcpKeepalive",
    "configure_keepalive",
    "open_connection",
    "render_request",
]
