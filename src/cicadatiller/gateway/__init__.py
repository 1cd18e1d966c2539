"""The HTTP/1.1 gateway of an entry: admits, schedules and forwards the requests of callers."""

from ._catch_up import CatchUp, answer_request
from ._contention import Contention
from ._followers import TopicFollower
from ._node import Bounds, NodeSettings
from ._orders import EngineClient, EngineReport, ReserveResult
from ._process import Gateway
from ._reload import SettingsRevision, SettingsWatch
from ._settings import GatewaySettings
from ._wire import RequestFields, TargetFields, TargetNotice, WireCodec

__all__ = [
    "Bounds",
    "CatchUp",
    "Contention",
    "EngineClient",
    "EngineReport",
    "Gateway",
    "GatewaySettings",
    "NodeSettings",
    "RequestFields",
    "ReserveResult",
    "SettingsRevision",
    "SettingsWatch",
    "TargetFields",
    "TargetNotice",
    "TopicFollower",
    "WireCodec",
    "answer_request",
]
