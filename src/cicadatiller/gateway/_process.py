"""Assembles an entry that serves HTTP/1.1 callers, and runs it until shutdown."""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable
from dataclasses import asdict

from ..channels import Transport, split_address
from ..cold_start import ColdTargets
from ..egress import ConnectionPool
from ..evacuation import count_requests
from ..evidence import StoredEvidence
from ..fleet import KeyedLog, TargetDirectory, TargetSubset, Topic
from ..ingress import IngressServer
from ..kernel import Event, StallWatch, TaskSet, log_event, new_incarnation, read_build
from ..memory_budget import MemoryBudget
from ..mesh import COMPACT_PROTOCOL, Greeting
from ..placement import LoadBoard
from ..routes import RouteTable, Service
from ._candidates import CandidateTargets
from ._clock import ClockWatch, boot_clock_s
from ._contention import Contention
from ._crash_check import CrashCheck
from ._exposition import Exposition
from ._figures import FiguresLog, pool_gauges
from ._forwarder import Forwarder
from ._handler import RequestHandler
from ._members import Membership
from ._metrics import GatewayMetrics
from ._node import NodeSettings
from ._open_requests import OpenRequests
from ._orders import EngineClient
from ._peer_sync import PeerSync
from ._prober import EngineProber
from ._redialer import Redialer
from ._reload import SettingsRevision
from ._request_guard import RequestGuard
from ._retry_budget import RetryBudget
from ._scheduler import Scheduler
from ._settings import GatewaySettings
from ._shutdown import drain
from ._sinks import DocumentDecoder
from ._slot_arbiter import SlotArbiter
from ._status import StatusServer
from ._target_failures import TargetFailures
from ._target_notices import TargetNotices
from ._target_users import TargetUsers
from ._tickets import ReservationManager
from ._topics import StoreTopics
from ._wire import WireCodec

SWEEP_INTERVAL_S = 1.0
# After a cut that lasted so long that both sides gave up their links, they are dialled again.
PEER_SELECTION_INTERVAL_S = 30.0
RUN_ID_DIGITS = 6

MAX_MESH_DELAY_S = 0.3


class Gateway:
    """One entry that serves HTTP/1.1 callers.

    Args:
        node: The entry's addresses and the bounds of the deployment.
        settings: The settings that operators choose; None for the defaults.
        log: The store.
        codec: Encodes and decodes the deployment's headers.
        decoder: Decodes the documents of the store.
        pool: The connections to targets.
        orders: Sends orders to engines.
        transport: Carries frames between entries.
        boot_time_s: Returns the time of the clock that advances while the machine is suspended.

    Attributes:
        board: The known load of all targets.
        peer_sync: Exchanges state with the peers.
        settings_revision: The revision of the platform's settings that are in force.
    """

    def __init__(
        self,
        *,
        node: NodeSettings,
        settings: GatewaySettings | None = None,
        log: KeyedLog,
        codec: WireCodec,
        decoder: DocumentDecoder,
        pool: ConnectionPool,
        orders: EngineClient,
        transport: Transport,
        boot_time_s: Callable[[], float] = boot_clock_s,
    ) -> None:
        self._node = node
        self._settings = settings or GatewaySettings()
        self._pool = pool
        self._loop = asyncio.get_running_loop()
        self._tasks = TaskSet()
        self._build = read_build()
        self.settings_revision = SettingsRevision(number=1, digest="")
        self.board = LoadBoard()
        self._directory = TargetDirectory()
        self._subset = TargetSubset(name=node.name, directory=self._directory)
        self._run_id = f"{node.name}-{new_incarnation()[:RUN_ID_DIGITS]}"
        self._metrics = GatewayMetrics()
        self._stall = StallWatch()
        self._memory = MemoryBudget(
            limit_bytes=self._settings.max_held_bytes or node.limits.held_bytes
        )
        pool.buffers.relieve = lambda missing_bytes: self._memory.relieve(
            missing_bytes, self._loop.time()
        )
        self._synced = asyncio.Event()
        self._figures = FiguresLog(metrics=self._metrics, gauges=self._gauges)
        self._open_requests = OpenRequests()
        self._clock = ClockWatch(loop_time_s=self._loop.time, boot_time_s=boot_time_s)
        self._budget = RetryBudget(
            ratio=node.bounds.retry_ratio,
            slack=node.bounds.retry_slack,
            window_s=node.bounds.retry_window_s,
            knows_entries_from_s=math.inf,
        )
        self._reservations = ReservationManager(
            orders=orders, bounds=node.bounds, tasks=self._tasks
        )
        self._topics = self._make_topics(log, decoder)
        self.peer_sync = self._make_peer_sync(transport)
        self._users = TargetUsers(
            name=node.name,
            subset=self._subset,
            connected_peers=lambda: self.peer_sync.mesh.connected_peers,
        )
        self._guard = RequestGuard(
            name=node.name,
            breakers=self.peer_sync.evidence.breakers,
            entries=lambda: self._subset.entries,
            crashes=CrashCheck(pool=pool),
            tasks=self._tasks,
        )
        self._membership = self._make_membership(log)
        self._stored_evidence = self._make_stored_evidence(log)
        self._cold_targets = self._make_cold_targets()
        self._redialer = Redialer(directory=self._directory, pool=pool, tasks=self._tasks)
        self._failures = TargetFailures(
            directory=self._directory, pool=pool, listener=self.peer_sync.targets
        )
        self._notices = self._make_notices(codec)
        orders.listen(self._notices.record_head_at)
        self._prober = self._make_prober(orders)
        self._scheduler = self._make_scheduler()
        self._caller_server = IngressServer(
            handler=self._make_handler(codec).handle,
            max_connections=node.limits.caller_connections(self._settings.max_caller_connections),
            max_per_host=self._settings.max_connections_per_host,
            memory=self._memory,
            send_timeout_s=self._settings.send_timeout_s,
        )
        self._status_server = StatusServer(
            is_ready=self._synced.is_set,
            exposition=Exposition(metrics=self._metrics, gauges=self._gauges, infos=self._infos),
            metrics_path=self._settings.metrics_path,
            max_connections=node.limits.status_connections,
            memory=self._memory,
        )

    @property
    def config_version(self) -> int:
        """Return the version of the configuration in force; 0 before the first."""
        table = self._topics.configuration.table
        return 0 if table is None else table.version

    @property
    def known_entries(self) -> tuple[str, ...]:
        """Return the names of all registered entries, this one included."""
        return self._subset.entries

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve callers until `stopping` is set, then shut down gracefully."""
        self._stall.start()
        await self._caller_server.start(*split_address(self._node.caller_address))
        await self._status_server.start(
            self._node.readiness_address, self._node.host, self._settings.metrics_port
        )
        for topic, follower in self._topics.followers.items():
            self._tasks.keep_running(follower.run, name=f"follow {topic.value}")
        self._tasks.keep_running(self._keep_evidence, name="evidence")
        self._tasks.start(self._start_mesh(), name="start mesh")
        self._tasks.keep_running(self._membership.run, name="membership")
        self._tasks.keep_running(self._redialer.run, name="reviver")
        self._tasks.keep_running(self._prober.run, name="prober")
        self._tasks.keep_running(self._sweep, name="sweep")
        log_event(Event.PROCESS_STARTED, name=self._node.name, **asdict(self._build))
        await stopping.wait()
        await drain(
            name=self._node.name,
            callers=self._caller_server,
            status=self._status_server,
            open_requests=self._open_requests,
            shutdown_s=self._node.bounds.shutdown_s,
        )
        await self.close()

    async def _start_mesh(self) -> None:
        """Accept peers once callers can be served, or after `MAX_MESH_DELAY_S`.

        Loading the library for the links takes a part of the time that a restart takes.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_MESH_DELAY_S):
                await self._synced.wait()
        await self.peer_sync.mesh.start(self._node.peer_address)
        self._on_members_change()

    async def _keep_evidence(self) -> None:
        """Read the stored evidence once callers can be served, and keep it up to date."""
        await self._synced.wait()
        await self._stored_evidence.run()

    def apply_node_settings(self, node: NodeSettings, revision: SettingsRevision) -> None:
        """Apply reloaded settings; addresses and process limits need a restart."""
        self._node = node
        self.settings_revision = revision
        bounds = node.bounds
        self._budget.set_limits(
            ratio=bounds.retry_ratio, slack=bounds.retry_slack, window_s=bounds.retry_window_s
        )
        self._reservations.set_bounds(bounds)
        self._topics.set_bounds(bounds)

    async def close(self) -> None:
        """Stop at once and cut off open requests."""
        self._stall.close()
        self._caller_server.close()
        self._status_server.close()
        await self.peer_sync.mesh.close()
        await self._tasks.close()
        self._pool.close()

    async def _sweep(self) -> None:
        next_selection_s = self._loop.time() + PEER_SELECTION_INTERVAL_S
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._pool.close_expired()
            self._notices.close_idle()
            self._users.share_stated_rates(self._directory, self._loop.time())
            self._cold_targets.share()
            self._figures.log_if_due()
            if self._loop.time() >= next_selection_s:
                next_selection_s += PEER_SELECTION_INTERVAL_S
                self._on_members_change()
            suspended_s = self._clock.suspended_s()
            if suspended_s:
                log_event(Event.CLOCK_JUMPED, suspended_s=round(suspended_s, 1))
                self._topics.read_soon()

    def _make_topics(self, log: KeyedLog, decoder: DocumentDecoder) -> StoreTopics:
        return StoreTopics(
            log=log,
            decoder=decoder,
            directory=self._directory,
            bounds=self._node.bounds,
            target_read_interval_s=self._settings.target_read_interval_s,
            on_new_table=self._apply_limits,
            on_target_changed=self._forget_target,
            on_registered=lambda record: self._cold_targets.record_registration(record),
            on_evacuated=self._set_evacuated,
            on_members_change=self._on_members_change,
            on_read=lambda *read: self.peer_sync.topic_read(*read),
            on_change=self._on_topic_change,
        )

    def _make_peer_sync(self, transport: Transport) -> PeerSync:
        greeting = Greeting(
            name=self._node.name,
            incarnation=self._run_id,
            address=self._node.peer_address,
            protocol=COMPACT_PROTOCOL,
        )
        return PeerSync(
            greeting=greeting,
            transport=transport,
            tasks=self._tasks,
            board=self.board,
            directory=self._directory,
            budget=self._budget,
            followers=self._topics.followers,
            on_change=self._wake,
            on_breaker_opened=self._refuse_waiting,
            on_peer_given_up=self._remove_member,
            on_peer_cold=lambda *stated: self._cold_targets.apply_peer(*stated),
            cold_targets=lambda: self._cold_targets.cold(),
            on_peer_lost=lambda: self._stored_evidence.renew(),
        )

    def _make_cold_targets(self) -> ColdTargets:
        return ColdTargets(
            directory=self._directory,
            board=self.board,
            services=self._find_service,
            count_users=self._users.count,
            allowance=lambda: self._node.bounds.cold_allowance,
            listener=self.peer_sync.targets,
        )

    def _make_membership(self, log: KeyedLog) -> Membership:
        return Membership(
            log=log,
            name=self._node.name,
            address=self._node.peer_address,
            sink=self._topics.members,
            follower=self._topics.followers[Topic.MEMBERS],
            connected_peers=lambda: self.peer_sync.mesh.connected_peers,
        )

    def _make_stored_evidence(self, log: KeyedLog) -> StoredEvidence:
        stored = StoredEvidence(
            log=log,
            exchange=self.peer_sync.evidence,
            name=self._node.name,
            connected_peers=lambda: self.peer_sync.mesh.connected_peers,
        )
        self._topics.era.add_listener(stored.renew)
        return stored

    def _make_notices(self, codec: WireCodec) -> TargetNotices:
        return TargetNotices(
            codec=codec,
            directory=self._directory,
            pool=self._pool,
            board=self.board,
            listener=self.peer_sync.targets,
            cold_targets=self._cold_targets,
            on_change=self._wake,
        )

    def _make_prober(self, orders: EngineClient) -> EngineProber:
        return EngineProber(
            name=self._node.name,
            directory=self._directory,
            orders=orders,
            tasks=self._tasks,
            is_engine=self._is_engine,
            users=self._users.connected,
            on_pace=self._notices.record_pace,
            on_unresponsive=self._failures.record_unresponsive,
        )

    def _make_scheduler(self) -> Scheduler:
        candidates = CandidateTargets(
            owner=self._run_id,
            data_centre=self._node.data_centre,
            targets=self._subset.targets_of,
            spare_targets=self._directory.targets_of,
            board=self.board,
            unknown_requests=self._make_contention().unknown_requests,
            may_place=SlotArbiter(name=self._node.name, users=self._users.connected).may_place,
        )
        return Scheduler(
            owner=self._run_id,
            candidates=candidates,
            board=self.board,
            services=self._find_service,
            listener=self.peer_sync,
            reservation_risk=lambda: self._reservations.loss_rate,
            weights=self._settings.weights,
        )

    def _make_contention(self) -> Contention:
        return Contention(
            owner=self._run_id,
            view_age_s=lambda: self.peer_sync.mesh.round_trip_s,
            unheard_s=self.peer_sync.unheard_s,
            users=self._subset.users,
            own_requests=lambda: self.peer_sync.own_requests,
            own_targets=lambda: self._subset.size,
        )

    def _make_handler(self, codec: WireCodec) -> RequestHandler:
        forwarder = Forwarder(
            codec=codec,
            pool=self._pool,
            scheduler=self._scheduler,
            tickets=self._reservations,
            budget=self._budget,
            guard=self._guard,
            metrics=self._metrics,
            open_requests=self._open_requests,
            on_failure=self._failures.record_attempt,
            on_head=self._notices.record_head,
            is_alive=self._prober.is_alive,
        )
        return RequestHandler(
            codec=codec,
            table=lambda: self._topics.configuration.table,
            forwarder=forwarder,
            metrics=self._metrics,
            stall=self._stall,
            synced=self._synced,
            open_requests=self._open_requests,
            rng=random.Random(),
        )

    def _forget_target(self, target_id: str) -> None:
        self.board.forget_target(target_id)
        self._cold_targets.forget(target_id)

    def _set_evacuated(self, data_centres: frozenset[str]) -> None:
        self._directory.set_evacuated(data_centres)
        self._cold_targets.set_evacuated(data_centres)

    def _on_members_read(self) -> None:
        """Handle registrations that were read."""
        self._budget.record_entries_read(self._loop.time())
        self._membership.members_changed()

    def _on_members_change(self) -> None:
        addresses = self._topics.members.addresses
        self._subset.set_entries(addresses)
        self._budget.all_entries = len(self._subset.entries)
        if not self.peer_sync.mesh.is_started:
            return
        self.peer_sync.mesh.select_peers(
            {name: addresses[name] for name in self._subset.peers if name in addresses}
        )

    def _remove_member(self, name: str) -> None:
        self._tasks.start(self._membership.remove(name), name=f"remove {name}")

    def _is_engine(self, name: str) -> bool:
        service = self._find_service(name)
        return service is not None and service.engine is not None

    def _on_topic_change(self, topic: Topic) -> None:
        """Handle records of a topic that this entry or a peer read from the store."""
        if topic is Topic.MEMBERS:
            self._on_members_read()
            return
        if topic is Topic.CONFIGURATION:
            self.peer_sync.offsets_changed()
        if self._topics.are_read:
            self._synced.set()
        self._wake()

    def _refuse_waiting(self) -> None:
        self._scheduler.refuse_waiting(self._guard.find_refusal)

    def _wake(self) -> None:
        self._scheduler.wake()

    def _find_service(self, name: str) -> Service | None:
        table = self._topics.configuration.table
        return None if table is None else table.services.get(name)

    def _apply_limits(self, table: RouteTable) -> None:
        self._caller_server.limits = table.limits

    def _infos(self) -> dict[str, dict[str, str]]:
        """Return what identifies the build, and the settings and configuration that are followed."""
        return {
            "build": asdict(self._build),
            "followed_settings": {
                "entry": self._node.name,
                "revision": str(self.settings_revision.number),
                "digest": self.settings_revision.digest,
            },
            "followed_config": {
                "version": str(self.config_version),
                "digest": self._topics.configuration.digest,
            },
        }

    def _gauges(self) -> dict[str, float]:
        return {
            "stalls": self._stall.stalls,
            "task_failures": self._tasks.failures.total(),
            "config_version": self.config_version,
            "requests_in_evacuated": count_requests(
                self._directory.evacuated(), self.board, self._run_id
            ),
            "held_bytes": self._memory.held_bytes,
            "held_refused": self._memory.refused,
            "connections_evicted": self._memory.evicted,
            "caller_connections": self._caller_server.open_connections,
            "caller_connections_idle_closed": self._caller_server.idle_closed,
            "requests_waiting": self._scheduler.waiting,
            "targets": sum(1 for _ in self._directory.targets()),
            **self._notices.gauges(),
            **self._cold_targets.gauges(),
            "fingerprints_refused": len(self.peer_sync.evidence.breakers.open_breakers),
            "peers_heard": len(self.peer_sync.mesh.connected_peers),
            "entries_known": len(self._subset.entries),
            "targets_used": self._subset.size,
            **self._topics.gauges(),
            "peer_bytes_queued": self.peer_sync.mesh.queued_bytes,
            "peer_round_trip_seconds": self.peer_sync.mesh.round_trip_s,
            **pool_gauges(self._pool),
        }
