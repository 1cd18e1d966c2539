"""The HTTP/1.1 server that callers connect to."""

from ._connection import Handler, IngressConnection, Responder
from ._limits import IngressLimits
from ._parser import BadRequestError, RequestParser
from ._request import Header, Request, find_header
from ._server import IngressServer
from ._writing import REASONS, Answer, render_answer

__all__ = [
    "Answer",
    "BadRequestError",
    "Handler",
    "Header",
    "IngressConnection",
    "IngressLimits",
    "IngressServer",
    "REASONS",
    "Request",
    "RequestParser",
    "Responder",
    "find_header",
    "render_answer",
]
