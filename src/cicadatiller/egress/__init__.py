"""HTTP/1.1 connections that the system opens: to targets and to the platform."""

from ._connection import (
    AnswerBrokenError,
    ConnectionLostError,
    EgressConnection,
    EgressError,
    ResponseHead,
    open_connection,
)
from ._dial import DialTimer
from ._pool import ConnectionPool, PoolLimits
from ._request import render_request
from ._silence import SilenceTiming, watch_for_silence

__all__ = [
    "AnswerBrokenError",
    "ConnectionLostError",
    "ConnectionPool",
    "DialTimer",
    "EgressConnection",
    "EgressError",
    "PoolLimits",
    "ResponseHead",
    "SilenceTiming",
    "open_connection",
    "render_request",
    "watch_for_silence",
]
