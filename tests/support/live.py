"""A fleet on the real clock in its own thread, with an RPC server on the loopback interface."""

import asyncio
import socket
import threading

from cicadatiller.kernel import LoopBridge
from cicadatiller.rpc import RpcServer
from cicadatiller.settings import HttpOptions

from .fleet import Fleet


def free_port() -> int:
    """Return a free port of the loopback interface."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class LiveFleet:
    """Runs a fleet and its RPC server until `close`."""

    def __init__(self, **fields):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.fleet = self.run(self._make(fields))
        self.url = f"http://127.0.0.1:{free_port()}"
        self._server = RpcServer(
            options=HttpOptions(address=self.url.removeprefix("http://"), threads=8),
            entry=self.fleet.entries[0],
            bridge=LoopBridge(self._loop),
            entry_name="entry-0",
        )
        self._server.start()
        self._serving = threading.Thread(target=self._server.serve, daemon=True)
        self._serving.start()

    def run(self, coroutine):
        """Run a coroutine on the fleet's event loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(60)

    def close(self):
        """Stop the RPC server, the fleet and its event loop."""
        self._server.stop()
        self._serving.join()
        self.run(self.fleet.__aexit__(None, None, None))
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _make(self, fields):
        return await Fleet(**fields).__aenter__()
