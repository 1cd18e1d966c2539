"""The connections of an entry to sidecars."""

import asyncio
import random
from collections.abc import Callable, Coroutine

from ..backing import LogRecord
from ..channels import Transport
from ..config import ConfigStore
from ..kernel import Event, TaskSet, log_event
from ..membership import InstanceView
from ..peer import (
    ConfigRecords,
    EvidenceSpread,
    LoadReport,
    PeerConnection,
    PeerLostError,
    PeerTiming,
    WorkspaceUse,
    dial_peer,
)
from ._config_push import ConfigPusher

MIN_IDLE_PING_S = 2.0
MAX_IDLE_PING_S = 12.0
PING_SIZE_BYTES = 700
PING_BYTES_PER_S = 2000
PING_JITTER = 0.2
FIRST_REDIAL_S = 0.5
MAX_REDIAL_S = 10.0
NEIGHBOUR_DELAY_S = 0.5
JITTER_RANGE = (1 - PING_JITTER, 1.0)


class PeerPool:
    """Keeps at most one connection to each sidecar.

    Args:
        name: Name of the entry.
        secret: The secret shared by entries and sidecars.
        transport: Carries the frames.
        timing: Timeouts after which a connection counts as lost.
        view: The instances that the entry knows.
        store: The current configuration.
        evidence: Exchanges with the sidecars what crashes targets.

    Attributes:
        on_use: Called with the sidecars' reports of the workspaces' use.
        on_run: Called for each report of a sidecar with its address and the run of its target.
        pusher: Sends configuration over the connections.
    """

    def __init__(
        self,
        *,
        name: str,
        secret: str,
        transport: Transport,
        timing: PeerTiming,
        view: InstanceView,
        store: ConfigStore,
        evidence: EvidenceSpread,
    ) -> None:
        self._name = name
        self._secret = secret
        self._transport = transport
        self._timing = timing
        self._view = view
        self._store = store
        self._evidence = evidence
        self._connections: dict[str, PeerConnection] = {}
        self._dial_tasks: dict[str, asyncio.Task[PeerConnection]] = {}
        self._keep_tasks: dict[str, asyncio.Task[None]] = {}
        self._wake_events: dict[str, asyncio.Event] = {}
        self._tasks = TaskSet()
        self.pusher = ConfigPusher(store=store, connections=lambda: self._connections)
        self._random = random.Random(name)
        self.on_use: Callable[[WorkspaceUse], None] | None = None
        self.on_run: Callable[[str, str], None] | None = None

    async def get(self, address: str) -> PeerConnection:
        """Return the connection to a sidecar; opens one if there is none.

        Raises:
            PeerLostError: If the sidecar is unreachable.
        """
        connection = self._connections.get(address)
        if connection is not None and not connection.closed:
            return connection
        dialling = self._dial_tasks.get(address)
        if dialling is None:
            dialling = asyncio.get_running_loop().create_task(self._dial(address))
            self._dial_tasks[address] = dialling
            dialling.add_done_callback(lambda task: self._end_dial(address, task))
        return await asyncio.shield(dialling)

    def keep(self, addresses: set[str]) -> None:
        """Keep connections to these sidecars so that their load is known; close other idle ones."""
        gone = set(self._keep_tasks) - addresses
        for address in gone:
            self._keep_tasks.pop(address).cancel()
        self.pusher.forget(gone)
        for address in addresses - set(self._keep_tasks):
            self._keep_tasks[address] = self._tasks.start(
                self._keep_connected(address), name=f"peer {address}"
            )
        for address in set(self._connections) - addresses:
            self._close_if_idle(address)

    def start(self, coroutine: Coroutine[object, object, None], *, name: str) -> None:
        """Run a coroutine in a task of the pool, so that it may outlive the request it is for."""
        self._tasks.start(coroutine, name=name)

    async def close(self) -> None:
        """Close all connections."""
        await self._tasks.close()
        await self.pusher.close()
        for dialling in list(self._dial_tasks.values()):
            dialling.cancel()
        for connection in list(self._connections.values()):
            await connection.close()

    def _end_dial(self, address: str, task: asyncio.Task[PeerConnection]) -> None:
        self._dial_tasks.pop(address, None)
        if not task.cancelled():
            # Marks the exception as retrieved; all tasks that waited for it may be cancelled.
            task.exception()

    def _close_if_idle(self, address: str) -> None:
        if not self._connections[address].idle:
            return
        connection = self._connections.pop(address)
        target = self._view.target_at(address)
        if target is not None:
            target.clear_load()
        self._tasks.start(connection.close(), name=f"close {address}")

    async def _dial(self, address: str) -> PeerConnection:
        on_load = self._make_load_callback(address)
        try:
            connection = await self._dial_peer(address, on_load)
        except PeerLostError:
            self._record_unreachable(address)
            raise
        self._connections[address] = connection
        self._evidence.add_peer(connection)
        target = self._view.target_at(address)
        if target is not None:
            target.breaker.record_reachable(asyncio.get_running_loop().time())
        return connection

    async def _dial_peer(
        self, address: str, on_load: Callable[[LoadReport], None]
    ) -> PeerConnection:
        target = self._view.target_at(address)
        return await dial_peer(
            transport=self._transport,
            address=address,
            name=self._name,
            secret=self._secret,
            timing=self._timing,
            expected_name="" if target is None else target.instance.name,
            on_load=on_load,
            on_config=self._apply_config,
            config_offset=lambda: self._store.state.offset,
            offers_config=True,
            on_use=self.on_use,
            on_evidence=self._evidence.receive,
        )

    def _record_unreachable(self, address: str) -> None:
        target = self._view.target_at(address)
        if target is not None:
            target.breaker.record_failure(asyncio.get_running_loop().time(), unreachable=True)

    async def _keep_connected(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        # Its own draws: they don't depend on the order in which the tasks of all peers started.
        rng = random.Random(f"{self._name} {address}")
        redial_s = FIRST_REDIAL_S
        try:
            while True:
                share = rng.uniform(*JITTER_RANGE)
                next_ping_s = loop.time() + share * self._idle_ping_s()
                if await self._is_reachable(address):
                    wait_s = max(0.0, next_ping_s - loop.time())
                    redial_s = FIRST_REDIAL_S
                else:
                    wait_s = share * redial_s
                    redial_s = min(MAX_REDIAL_S, 2 * redial_s)
                await self._wait_or_wake(address, wait_s)
        finally:
            self._wake_events.pop(address, None)

    async def _is_reachable(self, address: str) -> bool:
        """Check the connection to a sidecar.

        If its reachability changed, the sidecars of its data centre are checked soon too.
        """
        target = self._view.target_at(address)
        was_unreachable = target is not None and target.breaker.is_unreachable
        try:
            connection = await self.get(address)
            if self._is_report_due(address):
                await connection.check()
        except PeerLostError:
            if not was_unreachable:
                self._wake_neighbours(address)
            return False
        if was_unreachable:
            self._wake_neighbours(address)
        return True

    async def _wait_or_wake(self, address: str, wait_s: float) -> None:
        wake = self._wake_events.setdefault(address, asyncio.Event())
        try:
            async with asyncio.timeout(wait_s):
                await wake.wait()
        except TimeoutError:
            return
        wake.clear()
        await asyncio.sleep(self._random.uniform(0, NEIGHBOUR_DELAY_S))

    def _wake_neighbours(self, address: str) -> None:
        """Check the other sidecars of a data centre soon, as they are often lost together."""
        target = self._view.target_at(address)
        for other, wake in self._wake_events.items():
            neighbour = self._view.target_at(other)
            if target is None or neighbour is None or other == address:
                continue
            if neighbour.instance.data_centre == target.instance.data_centre:
                wake.set()

    def _idle_ping_s(self) -> float:
        """Return the interval that keeps the pings to all sidecars within `PING_BYTES_PER_S`."""
        wanted_s = len(self._keep_tasks) * PING_SIZE_BYTES / PING_BYTES_PER_S
        return min(MAX_IDLE_PING_S, max(MIN_IDLE_PING_S, wanted_s))

    def _is_report_due(self, address: str) -> bool:
        target = self._view.target_at(address)
        if target is None:
            return False
        age_s = asyncio.get_running_loop().time() - target.load_received_s
        return age_s >= self._idle_ping_s() * (1 - PING_JITTER)

    def _make_load_callback(self, address: str) -> Callable[[LoadReport], None]:
        first = True

        def record_load(load: LoadReport) -> None:
            nonlocal first
            self.pusher.observe(address, load.config_offset)
            if self.on_run is not None:
                self.on_run(address, load.target_run)
            target = self._view.target_at(address)
            if target is not None:
                target.observe(load, asyncio.get_running_loop().time(), first=first)
            first = False

        return record_load

    def _apply_config(self, message: ConfigRecords) -> None:
        advanced = self._store.advance(
            LogRecord(offset=record.offset, time_ms=record.time_ms, payload=record.payload)
            for record in message.records
        )
        if advanced:
            log_event(Event.CONFIG_FROM_PEER, offset=self._store.state.offset)
