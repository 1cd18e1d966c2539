"""A fleet with an RPC server over HTTP; its event loop runs in its own thread."""

import asyncio
import threading

from cicadatiller.kernel import LoopBridge
from cicadatiller.rpc import RpcServer
from cicadatiller.settings import HttpOptions
from cicadatiller.standins import EngineModel

from .fleet import Fleet

FAST_MODEL = EngineModel(kv_capacity_tokens=100_000, step_base_s=0.002)
FREE_PORT = "127.0.0.1:0"


class ServedFleet:
    """One entry with its RPC server, an engine and a plain service.

    Args:
        options: Fields of `HttpOptions`; by default a free port and 8 threads.
    """

    def __init__(self, **options) -> None:
        self._options = HttpOptions(**({"address": FREE_PORT, "threads": 8} | options))
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self.fleet: Fleet | None = None
        self.server: RpcServer | None = None

    def start(self) -> None:
        """Start the event loop, the fleet and the RPC server."""
        self._thread.start()
        self.run(self._start())
        threading.Thread(target=self.server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop the RPC server, the fleet and the event loop."""
        self.server.stop()
        self.run(self.fleet.__aexit__())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run(self, coroutine):
        """Run a coroutine on the fleet's event loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    @property
    def address(self) -> str:
        """Return the address of the RPC server."""
        return self.server.address

    async def _start(self) -> None:
        self.fleet = Fleet(engines=1, entries=1, model=FAST_MODEL)
        await self.fleet.__aenter__()
        self.server = RpcServer(
            options=self._options,
            entry=self.fleet.entries[0],
            bridge=LoopBridge(asyncio.get_running_loop()),
            entry_name="entry-0",
        )
        self.server._server.expiration_interval = 0.02
        self.server.start()
