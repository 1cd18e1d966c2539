"""An entry on HTTP/1.1, put together."""

import asyncio
import random

from ..egress import ConnectionPool
from ..fleet import KeyedLog, TargetDirectory, Topic
from ..ingress import Answer, IngressServer, Request, Responder
from ..kernel import Event, TaskSet, log_event
from ..routes import RouteTable
from ._followers import (
    LONG_POLL_S,
    TARGET_READ_INTERVAL_S,
    ConfigurationStore,
    DocumentDecoder,
    TargetFeed,
    TopicFollower,
)
from ._forwarder import Forwarder
from ._handler import RequestHandler
from ._node import NodeSettings
from ._wire import WireCodec


class Gateway:
    """One entry that serves HTTP/1.1 callers."""

    def __init__(
        self, *, node: NodeSettings, log: KeyedLog, codec: WireCodec, decoder: DocumentDecoder
    ) -> None:
        self._node = node
        self._log = log
        self._tasks = TaskSet()
        self._pool = ConnectionPool()
        self._directory = TargetDirectory()
        self._configuration = ConfigurationStore(decoder=decoder, on_change=self._take_table)
        self._feed = TargetFeed(decoder=decoder, directory=self._directory)
        self._handler = RequestHandler(
            codec=codec,
            configuration=self._configuration,
            forwarder=Forwarder(codec=codec, pool=self._pool, directory=self._directory),
            chance=random.Random(),
        )
        self._callers = IngressServer(handler=self._handler.handle)
        self._readiness = IngressServer(handler=self._answer_readiness)
        self._stopping = False

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until the event is set, then shut down gracefully."""
        await self._callers.start(*_split(self._node.caller_address))
        await self._readiness.start(*_split(self._node.readiness_address))
        self._follow(Topic.CONFIGURATION, self._configuration, LONG_POLL_S, 0.0)
        self._follow(Topic.TARGETS, self._feed, 0.0, TARGET_READ_INTERVAL_S)
        log_event(Event.PROCESS_STARTED, name=self._node.name)
        await stopping.wait()
        log_event(Event.PROCESS_STOPPING, name=self._node.name)
        self._stopping = True
        await asyncio.sleep(2.5)
        self._callers.stop_listening()
        self._callers.drain()
        limit_s = self._node.bounds.shutdown_s - 0.5
        ends_s = asyncio.get_running_loop().time() + limit_s - 2.5
        while self._callers.open_connections and asyncio.get_running_loop().time() < ends_s:
            await asyncio.sleep(0.05)
        self._callers.close()
        self._readiness.close()
        await self._tasks.close()
        log_event(Event.PROCESS_STOPPED, name=self._node.name)

    def _follow(self, topic, sink, wait_s: float, interval_s: float) -> None:
        follower = TopicFollower(
            log=self._log,
            topic=topic,
            apply=sink.apply,
            replace=sink.replace,
            wait_s=wait_s,
            interval_s=interval_s,
        )
        self._tasks.keep_running(follower.run, name=f"follow {topic.value}")

    def _take_table(self, table: RouteTable) -> None:
        self._callers.limits = table.limits

    async def _answer_readiness(self, request: Request, responder: Responder) -> None:
        ready = self._configuration.table is not None and not self._stopping
        await responder.answer(Answer(status=200 if ready else 503))


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
