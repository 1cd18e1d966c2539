"""The RPC server of an entry, for callers and operators."""

from ._http import RpcServer
from ._main import main

__all__ = ["RpcServer", "main"]
