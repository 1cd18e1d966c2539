"""The HTTP/1.1 server for callers."""

from ._connection import Handler, IngressConnection, Responder
from ._framing import LINE_OVERHEAD_BYTES, FramingCounter
from ._limits import IngressLimits
from ._parser import BadRequestError, RequestParser
from ._request import Header, Request, find_header
from ._response import REASON_PHRASES, Response, render_response
from ._server import MAX_CONNECTIONS, IngressServer

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
    "find_header",
    "render_response",
]
