"""The entry's side that serves HTTP/1.1 callers."""

from ._node import Bounds, NodeSettings
from ._orders import EngineOrders, ReserveResult
from ._process import Gateway
from ._wire import RequestFields, TargetFields, WireCodec

__all__ = [
    "Bounds",
    "EngineOrders",
    "Gateway",
    "NodeSettings",
    "RequestFields",
    "ReserveResult",
    "TargetFields",
    "WireCodec",
]
