"""The configuration of operators: routes, services, workspaces and limits."""

from ._table import RouteTable, hash_key
from ._types import (
    EngineModel,
    Route,
    RouteKind,
    Service,
    Split,
    Workspace,
)

__all__ = [
    "EngineModel",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "Split",
    "Workspace",
    "hash_key",
]
