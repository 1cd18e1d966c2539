"""The RPC of callers and operators."""

from ._http import RpcServer
from ._main import main

__all__ = ["RpcServer", "main"]
