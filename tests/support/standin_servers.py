"""Stand-ins served over HTTP on free ports of loopback."""

import asyncio
import contextlib

from cicadatiller.kernel import LoopBridge, TaskSet
from cicadatiller.standins import EngineStandin
from cicadatiller.standins._http_server import StandinServer
from cicadatiller.standins._target_routes import engine_feed, engine_routes

FREE_PORT = "127.0.0.1:0"


@contextlib.asynccontextmanager
async def serve_routes(routes, feeds=None):
    """Serve routes and yield the base URL."""
    server = StandinServer(
        address=FREE_PORT,
        bridge=LoopBridge(asyncio.get_running_loop()),
        routes=routes,
        feeds=feeds,
        threads=8,
        poll_s=0.02,
    )
    server.start()
    try:
        yield f"http://{server.address}"
    finally:
        await asyncio.to_thread(server.stop)


@contextlib.asynccontextmanager
async def serve_engine(engine: EngineStandin):
    """Run an engine, serve it and yield the base URL."""
    tasks = TaskSet()
    tasks.keep_running(engine.run, name="engine")
    try:
        async with serve_routes(engine_routes(engine), {"/outputs": engine_feed(engine)}) as url:
            yield url
    finally:
        await tasks.close()
