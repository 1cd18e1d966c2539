"""Assembles a sidecar and runs it until shutdown."""

import asyncio
import contextlib
import zlib

from ..backing import (
    Instance,
    InstanceList,
    InstanceState,
    LogClient,
    PlatformUnavailableError,
    WeightStore,
)
from ..channels import Transport
from ..config import ConfigStore, ConfigTail
from ..kernel import Event, TaskSet, log_event, new_incarnation
from ..peer import PeerServer
from ..targets import Engine, PlainService
from ._engine_target import EngineTarget
from ._handover import drain
from ._ledger import Ledger
from ._options import SidecarOptions
from ._service import SidecarService
from ._target import ServiceTarget, SidecarTarget

LIST_POLL_INTERVAL_S = 1.0
CONFIG_INTERVAL_S = 12.0


class Sidecar:
    """A sidecar and its target, which is an engine or a plain service.

    Args:
        options: The identity and limits of the sidecar.
        transport: Carries frames to peers.
        log: The platform's log.
        instances: The platform's list of instances.
        weights: The platform's weight store.
        engine: The target, if it is an engine.
        service: The target, if it is a plain service.

    Attributes:
        incarnation: The id of this run of the sidecar.
        store: The current configuration.
        ledger: The requests of this run.
        target: The target and the components that depend on its kind.
        service: Serves the messages of peers.

    Raises:
        ValueError: If neither an engine nor a plain service is given.
    """

    def __init__(
        self,
        *,
        options: SidecarOptions,
        transport: Transport,
        log: LogClient,
        instances: InstanceList,
        weights: WeightStore,
        engine: Engine | None = None,
        service: PlainService | None = None,
    ) -> None:
        self._options = options
        self._instances = instances
        self._tasks = TaskSet()
        self.incarnation = new_incarnation()
        self.store = ConfigStore()
        self._tail = ConfigTail(
            log=log,
            store=self.store,
            interval_s=CONFIG_INTERVAL_S,
            seed=zlib.crc32(options.name.encode()),
        )
        self.ledger = Ledger(
            address=options.address,
            incarnation=self.incarnation,
            replay_bytes=options.replay_bytes,
        )
        if engine is not None:
            self.target: SidecarTarget = self._engine_target(engine, transport, log, weights)
        elif service is not None:
            self.target = self._service_target(service)
        else:
            raise ValueError("a sidecar needs a target: pass an engine or a plain service")
        self.service = self._make_service()
        self._server = self._make_server(transport)

    async def start(self) -> None:
        """Start the background tasks and accept peers."""
        self.target.start()
        self._tasks.keep_running(self._tail.run, name="configuration tail")
        self._tasks.keep_running(self._poll_instances, name="instance list")
        await self._server.start()
        log_event(Event.PROCESS_STARTED, name=self._options.name, incarnation=self.incarnation)

    async def drain(self) -> None:
        """Drain the requests (see `drain`), then wait up to `drain_timeout_s` for gangs to end."""
        log_event(Event.PROCESS_STOPPING, name=self._options.name)
        timeout_s = self._options.drain_timeout_s
        await drain(self.service, self.ledger, linger_s=self._options.linger_s, timeout_s=timeout_s)
        if self.target.gang_member is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self.target.gang_member.wait_until_idle()

    async def close(self) -> None:
        """Stop without waiting for running requests."""
        await self._server.close()
        await self.service.close()
        await self._tasks.close()
        await self.target.close()
        log_event(Event.PROCESS_STOPPED, name=self._options.name)

    def _engine_target(
        self, engine: Engine, transport: Transport, log: LogClient, weights: WeightStore
    ) -> EngineTarget:
        return EngineTarget(
            options=self._options,
            engine=engine,
            incarnation=self.incarnation,
            store=self.store,
            transport=transport,
            log=log,
            weights=weights,
            is_leaving=lambda: self.service.leaving,
        )

    def _service_target(self, service: PlainService) -> ServiceTarget:
        return ServiceTarget(service=service, incarnation=self.incarnation, store=self.store)

    def _make_service(self) -> SidecarService:
        return SidecarService(
            incarnation=self.incarnation,
            ledger=self.ledger,
            runner=self.target.runner,
            load=self.target.load,
            store=self.store,
            orphan_grace_s=self._options.orphan_grace_s,
            gang_member=self.target.gang_member,
        )

    def _make_server(self, transport: Transport) -> PeerServer:
        return PeerServer(
            transport=transport,
            address=self._options.address,
            name=self._options.name,
            secret=self._options.peer_secret,
            timing=self._options.timing,
            service=self.service,
        )

    async def _poll_instances(self) -> None:
        while True:
            try:
                instances = await self._instances.list_instances()
            except PlatformUnavailableError:
                instances = ()
            await self.target.update_instances(instances)
            if any(self._is_own_leaving(instance) for instance in instances):
                self.service.start_leaving()
            await asyncio.sleep(LIST_POLL_INTERVAL_S)

    def _is_own_leaving(self, instance: Instance) -> bool:
        return instance.name == self._options.name and instance.state is InstanceState.LEAVING
