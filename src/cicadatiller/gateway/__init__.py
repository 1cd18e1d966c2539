"""The HTTP/1.1 gateway of an entry: admits, schedules and forwards the requests of callers."""

from ._contention import Contention
from ._node import Bounds, NodeSettings
from ._orders import EngineClient, EngineReport, ReserveResult
from ._process import Gateway
from ._reload import SettingsWatch
from ._settings import GatewaySettings
from ._wire import RequestFields, TargetFields, WireCodec

__all__ = [
    "Bounds",
    "Contention",
    "EngineClient",
    "EngineReport",
    "Gateway",
    "GatewaySettings",
    "NodeSettings",
    "RequestFields",
    "ReserveResult",
    "SettingsWatch",
    "TargetFields",
    "WireCodec",
]
