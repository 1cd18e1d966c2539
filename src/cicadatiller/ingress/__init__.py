"""The HTTP/1.1 server for callers."""

from ._connection import Handler, IngressConnection
from ._framing import LINE_OVERHEAD_BYTES, FramingCounter
from ._limits import IngressLimits
from ._parser import BadRequestError, RequestParser
from ._request import Header, Request, find_header
from ._responder import Responder
from ._response import REASON_PHRASES, Response, render_response
from ._server import MAX_CONNECTIONS, SEND_TIMEOUT_S, IngressServer

__all__ = [
    "Response",
    "BadRequestError",
    "FramingCounter",
    "Handler",
    "Header",
    "IngressConnection",
    "IngressLimits",
    "IngressServer",
    "LINE_OVERHEAD_BYTES",
    "MAX_CONNECTIONS",
    "REASON_PHRASES",
    "Request",
    "RequestParser",
    "Responder",
    "SEND_TIMEOUT_S",
    "find_header",
    "render_response",
]
