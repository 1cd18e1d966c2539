"""The entry: admits, routes and relays requests, and publishes configuration changes."""

from ._admin import AdminService, Preview
from ._metrics import EntryMetrics, LatencyFigures
from ._process import Entry, EntryOptions
from ._requests import AnswerDone, AnswerEvent, AnswerTokens, Emit, RequestOpened, WorkRequest
from ._routing import RouteQuery, RoutingPolicy, routing_registry
from ._service import EntryService, RequestStatus
from ._settings import EntrySettings

__all__ = [
    "AdminService",
    "AnswerDone",
    "AnswerEvent",
    "AnswerTokens",
    "Emit",
    "Entry",
    "EntryMetrics",
    "EntryOptions",
    "EntryService",
    "EntrySettings",
    "LatencyFigures",
    "Preview",
    "RequestOpened",
    "RequestStatus",
    "RouteQuery",
    "RoutingPolicy",
    "WorkRequest",
    "routing_registry",
]
