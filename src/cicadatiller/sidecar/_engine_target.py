"""An engine target with its queue, memory, gangs and orders."""

import asyncio
from collections.abc import Callable

from ..backing import Instance, LogClient, WeightStore
from ..channels import Transport
from ..config import ConfigStore, PolicyWeights
from ..kernel import TaskSet
from ..targets import Engine
from ._engine_driver import EngineDriver
from ._gang_coordinator import GangCoordinator
from ._gang_member import GangMember
from ._load import EngineLoadSource
from ._options import SidecarOptions
from ._orders import EngineController
from ._orders_fence import Fence
from ._orders_guard import AvailabilityGuard
from ._orders_plan import Planner
from ._peers import SidecarPeers
from ._reconcile import Reconciler
from ._runner import EngineRunner
from ._scheduler import Scheduler
from ._slots import Slot, SlotView

CAPACITY_POLL_INTERVAL_S = 0.1


class EngineTarget:
    """An engine with the components that serve only it: queue, memory, gangs and orders.

    Args:
        options: The options of the sidecar.
        engine: The engine.
        incarnation: The incarnation of the sidecar.
        store: The current configuration.
        transport: Carries frames to other sidecars.
        log: The platform's log.
        weights: The platform's weight store.
        is_leaving: Returns whether the sidecar refuses new work.

    Attributes:
        scheduler: The request queue and the memory accounting of the engine.
        peers: The connections to other sidecars.
        gang_member: The holds of gangs on the engine.
        runner: Runs generations.
        load: Reports the load.
    """

    def __init__(
        self,
        *,
        options: SidecarOptions,
        engine: Engine,
        incarnation: str,
        store: ConfigStore,
        transport: Transport,
        log: LogClient,
        weights: WeightStore,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._options = options
        self._incarnation = incarnation
        self._store = store
        self._tasks = TaskSet()
        self._driver = EngineDriver(engine=engine)
        self.scheduler = Scheduler(weights=PolicyWeights())
        store.subscribe(lambda _: self._apply_configuration())
        self.peers = self._make_peers(transport)
        self.gang_member = GangMember(
            driver=self._driver,
            engine=engine,
            scheduler=self.scheduler,
            chunk_tokens=self._long_chunk_tokens,
            is_leaving=is_leaving,
        )
        self._gang = self._make_gang()
        self._fence = Fence(log=log, slot=options.name, incarnation=incarnation)
        self._slots = self._make_slots()
        self._controller = self._make_controller(engine, weights)
        self.runner = EngineRunner(
            driver=self._driver,
            scheduler=self.scheduler,
            store=store,
            incarnation=incarnation,
            gang=self._gang,
        )
        self.load = EngineLoadSource(
            driver=self._driver,
            scheduler=self.scheduler,
            store=store,
            order_error=self._controller.error,
        )

    def start(self) -> None:
        """Start the background tasks."""
        reconciler = Reconciler(
            driver=self._driver, incarnation=self._incarnation, exports=self.gang_member
        )
        self._tasks.keep_running(self._driver.run, name="engine")
        self._tasks.keep_running(reconciler.run, name="reconciliation")
        self._tasks.keep_running(self._sync_capacity, name="engine memory")
        self._tasks.keep_running(self._fence.run, name="incarnation record")
        self._tasks.keep_running(self._controller.run, name="engine orders")

    async def update_instances(self, instances: tuple[Instance, ...]) -> None:
        """Apply the platform's list of instances; an empty one, as in an outage, is ignored."""
        self.peers.update_instances(instances)
        await self.peers.close_idle()
        self._slots.update_instances(instances, asyncio.get_running_loop().time())

    async def close(self) -> None:
        """Stop without waiting for running requests."""
        await self._gang.close()
        await self.gang_member.close()
        await self.peers.close()
        await self._tasks.close()
        await self._driver.close()

    def _apply_configuration(self) -> None:
        deployment = self._store.state.deployment(self._options.deployment)
        if deployment is not None:
            self.scheduler.use_weights(deployment.policy)

    def _long_chunk_tokens(self) -> int:
        deployment = self._store.state.deployment(self._options.deployment)
        return 0 if deployment is None else deployment.policy.long_chunk_tokens

    def _make_peers(self, transport: Transport) -> SidecarPeers:
        return SidecarPeers(
            name=self._options.name,
            address=self._options.address,
            deployment=self._options.deployment,
            secret=self._options.peer_secret,
            transport=transport,
            timing=self._options.timing,
            store=self._store,
        )

    def _make_gang(self) -> GangCoordinator:
        return GangCoordinator(
            address=self._options.address,
            member=self.gang_member,
            peers=self.peers,
            driver=self._driver,
            scheduler=self.scheduler,
            store=self._store,
            seed=self._options.name,
        )

    def _make_slots(self) -> SlotView:
        own = Slot(name=self._options.name, address=self._options.address)
        return SlotView(own=own, deployment=self._options.deployment)

    def _make_controller(self, engine: Engine, weights: WeightStore) -> EngineController:
        name = self._options.name
        return EngineController(
            engine=engine,
            driver=self._driver,
            store=self._store,
            weights=weights,
            planner=Planner(deployment=self._options.deployment, own_name=name, view=self._slots),
            fence=self._fence,
            guard=AvailabilityGuard(own_name=name, peers=self.peers),
            seed=name,
        )

    async def _sync_capacity(self) -> None:
        """Keep the scheduler's memory capacity equal to that of the engine's description."""
        while True:
            info = self._driver.info
            if info is not None and info.kv_capacity_tokens != self.scheduler.capacity_tokens:
                self.scheduler.capacity_tokens = info.kv_capacity_tokens
                self.scheduler.wake()
            await asyncio.sleep(CAPACITY_POLL_INTERVAL_S)
