"""The HTTP/1.1 client for targets and the platform."""

from ._buffers import BufferBudget
from ._connection import EgressConnection
from ._dial import ConnectTimeoutEstimator, open_connection
from ._discard_timeout import DiscardPolicy
from ._errors import ConnectionLostError, EgressError, MalformedResponseError
from ._keepalive import TcpKeepalive, configure_keepalive
from ._matcher import ExchangeHistory, ResponseMatch, ResponseMatcher, Substitute
from ._pool import ConnectionPool, PoolLimits
from ._request import render_request, render_request_head
from ._response import ResponseHead

__all__ = [
    "BufferBudget",
    "MalformedResponseError",
    "ConnectTimeoutEstimator",
    "ConnectionLostError",
    "ConnectionPool",
    "DiscardPolicy",
    "EgressConnection",
    "EgressError",
    "ExchangeHistory",
    "PoolLimits",
    "ResponseHead",
    "ResponseMatch",
    "ResponseMatcher",
    "Substitute",
    "TcpKeepalive",
    "configure_keepalive",
    "open_connection",
    "render_request",
    "render_request_head",
]
