"""An entry on HTTP/1.1, put together."""

import asyncio
import random

from ..egress import ConnectionPool
from ..fleet import KeyedLog, KeyedPage, Target, TargetDirectory, Topic
from ..ingress import Answer, IngressServer, Request, Responder
from ..kernel import Event, TaskSet, log_event, new_incarnation
from ..mesh import Greeting
from ..peer import Transport, split_address
from ..placement import LoadBoard
from ..routes import RouteTable, Service
from ._followers import TopicFollower
from ._forwarder import Forwarder
from ._handler import RequestHandler
from ._members import Membership
from ._node import NodeSettings
from ._orders import EngineOrders
from ._retry_budget import RetryBudget
from ._scheduler import Scheduler
from ._sinks import ConfigurationSink, DocumentDecoder, TargetSink
from ._team import Team
from ._tickets import TicketOffice
from ._wire import WireCodec

CONFIGURATION_WAIT_S = 10.0
TARGET_READ_INTERVAL_S = 0.5
SWEEP_INTERVAL_S = 1.0
OWNER_ID_DIGITS = 6

BALANCER_DELAY_S = 2.5
SHUTDOWN_MARGIN_S = 0.5
SHUTDOWN_POLL_S = 0.05

OK = 200
UNAVAILABLE = 503


class Gateway:
    """One entry that serves HTTP/1.1 callers.

    Args:
        node: Where it runs.
        log: The store.
        codec: The headers of the deployment.
        decoder: Decodes the documents of the store.
        pool: The connections to targets.
        orders: Sends orders to engines.
        transport: Carries frames between entries.
    """

    def __init__(
        self,
        *,
        node: NodeSettings,
        log: KeyedLog,
        codec: WireCodec,
        decoder: DocumentDecoder,
        pool: ConnectionPool,
        orders: EngineOrders,
        transport: Transport,
    ) -> None:
        self._node = node
        self._pool = pool
        self._stopping = False
        self._tasks = TaskSet()
        self._board = LoadBoard()
        self._directory = TargetDirectory()
        self._configuration = ConfigurationSink(decoder=decoder, on_change=self._take_table)
        self._budget = RetryBudget(
            ratio=node.bounds.retry_ratio,
            slack=node.bounds.retry_slack,
            window_s=node.bounds.retry_window_s,
        )
        self._followers = self._make_followers(log, decoder)
        self._team = self._make_team(transport)
        self._membership = Membership(
            log=log, name=node.name, address=node.peer_address, mesh=self._team.mesh
        )
        self._scheduler = Scheduler(
            owner=f"{node.name}-{new_incarnation()[:OWNER_ID_DIGITS]}",
            data_centre=node.data_centre,
            directory=self._directory,
            board=self._board,
            services=self._find_service,
            listener=self._team,
        )
        handler = RequestHandler(
            codec=codec,
            configuration=self._configuration,
            forwarder=Forwarder(
                codec=codec,
                pool=pool,
                scheduler=self._scheduler,
                tickets=TicketOffice(orders=orders, bounds=node.bounds, tasks=self._tasks),
                budget=self._budget,
                on_lost=self._note_lost,
            ),
            chance=random.Random(),
        )
        self._callers = IngressServer(handler=handler.handle)
        self._readiness = IngressServer(handler=self._answer_readiness)

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until the event is set, then shut down gracefully."""
        await self._callers.start(*split_address(self._node.caller_address))
        await self._readiness.start(*split_address(self._node.readiness_address))
        await self._team.mesh.start(self._node.peer_address)
        for topic, follower in self._followers.items():
            self._tasks.keep_running(follower.run, name=f"follow {topic.value}")
        self._tasks.keep_running(self._membership.run, name="membership")
        self._tasks.keep_running(self._sweep, name="sweep")
        log_event(Event.PROCESS_STARTED, name=self._node.name)
        await stopping.wait()
        await self._shut_down()

    async def _shut_down(self) -> None:
        """Finish what was let in; the balancer needs a while to send callers elsewhere."""
        loop = asyncio.get_running_loop()
        log_event(Event.PROCESS_STOPPING, name=self._node.name)
        self._stopping = True
        ends_s = loop.time() + self._node.bounds.shutdown_s - SHUTDOWN_MARGIN_S
        await asyncio.sleep(BALANCER_DELAY_S)
        self._callers.stop_listening()
        self._callers.drain()
        while self._callers.open_connections and loop.time() < ends_s:
            await asyncio.sleep(SHUTDOWN_POLL_S)
        self._callers.close()
        self._readiness.close()
        await self._team.mesh.close()
        await self._tasks.close()
        log_event(Event.PROCESS_STOPPED, name=self._node.name)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._pool.sweep()

    def _make_followers(
        self, log: KeyedLog, decoder: DocumentDecoder
    ) -> dict[Topic, TopicFollower]:
        targets = TargetSink(
            decoder=decoder,
            directory=self._directory,
            on_run=self._note_run,
            on_gone=self._note_gone,
        )
        return {
            Topic.CONFIGURATION: TopicFollower(
                log=log,
                topic=Topic.CONFIGURATION,
                sink=self._configuration,
                wait_s=CONFIGURATION_WAIT_S,
                on_read=self._note_read,
            ),
            Topic.TARGETS: TopicFollower(
                log=log,
                topic=Topic.TARGETS,
                sink=targets,
                interval_s=TARGET_READ_INTERVAL_S,
                on_read=self._note_read,
            ),
        }

    def _make_team(self, transport: Transport) -> Team:
        greeting = Greeting(
            name=self._node.name,
            incarnation=new_incarnation(),
            address=self._node.peer_address,
        )
        return Team(
            greeting=greeting,
            transport=transport,
            tasks=self._tasks,
            board=self._board,
            directory=self._directory,
            budget=self._budget,
            followers=self._followers,
            on_change=self._wake,
        )

    def _note_read(self, topic: Topic, from_offset: int, page: KeyedPage) -> None:
        self._team.topic_read(topic, from_offset, page)
        self._wake()

    def _note_run(self, instance_id: str) -> None:
        """Drop what was believed of an earlier run."""
        self._board.forget_target(instance_id)

    def _note_gone(self, instance_id: str) -> None:
        self._board.forget_target(instance_id)

    def _note_lost(self, target: Target, reason: str) -> None:
        self._pool.drop(target.record.address)
        self._team.target_failed(target.instance_id, reason)

    def _wake(self) -> None:
        self._scheduler.wake()

    def _find_service(self, name: str) -> Service | None:
        table = self._configuration.table
        return None if table is None else table.services.get(name)

    def _take_table(self, table: RouteTable) -> None:
        self._callers.limits = table.limits

    async def _answer_readiness(self, request: Request, responder: Responder) -> None:
        ready = self._configuration.table is not None and not self._stopping
        await responder.answer(Answer(status=OK if ready else UNAVAILABLE))
