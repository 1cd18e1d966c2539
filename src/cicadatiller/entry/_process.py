"""Composes the components of an entry process."""

import zlib
from dataclasses import dataclass

from ..backing import InstanceList, LogClient
from ..channels import Transport
from ..config import ConfigStore, ConfigTail, Publisher, SnapshotWriter
from ..kernel import Event, TaskSet, log_event
from ..membership import InstanceView
from ..peer import EvidenceSpread, PeerTiming
from ._admin import AdminService
from ._claims import ClaimLog
from ._crash_guard import CrashGuard
from ._lost_sidecars import LostSidecars
from ._peer_selector import PeerSelector
from ._peers import PeerPool
from ._service import EntryService


@dataclass(frozen=True, kw_only=True)
class EntryOptions:
    """The options of an entry.

    Attributes:
        name: Name of the instance in the platform's list.
        data_centre: Data centre of the instance.
        peer_secret: The secret shared by entries and sidecars.
        bootstrap_key_hash: Hash of a key that is valid while no operator is configured.
        seed: Seeds the random choices of versions and of routing policies.
        timing: Timeouts after which a peer connection counts as lost.
        log_retention_s: Time for which the platform's log keeps a record.
    """

    name: str
    data_centre: str
    peer_secret: str
    bootstrap_key_hash: str = ""
    seed: int = 0
    timing: PeerTiming = PeerTiming()
    log_retention_s: float = 24 * 3600.0


class Entry:
    """One entry, without its RPC server.

    Args:
        options: The options of the entry.
        transport: Carries the frames.
        log: The platform's log.
        instances: The platform's list of instances.

    Attributes:
        store: The current configuration.
        view: The instances that the entry knows.
        pool: The connections to sidecars.
        service: Serves callers.
        operators: Serves operators.
    """

    def __init__(
        self,
        *,
        options: EntryOptions,
        transport: Transport,
        log: LogClient,
        instances: InstanceList,
    ) -> None:
        self._options = options
        self._tasks = TaskSet()
        self.store = ConfigStore()
        self._tail = ConfigTail(log=log, store=self.store)
        self.view = InstanceView(instances=instances)
        self._evidence = EvidenceSpread()
        self.pool = PeerPool(
            name=options.name,
            secret=options.peer_secret,
            transport=transport,
            timing=options.timing,
            view=self.view,
            store=self.store,
            evidence=self._evidence,
        )
        self._claims = ClaimLog(name=options.name, log=log)
        breakers = self._evidence.exchange.breakers
        guard = CrashGuard(
            name=options.name,
            breakers=breakers,
            entries=self.view.entry_names,
            lost_sidecars=LostSidecars(breakers=breakers, view=self.view),
        )
        self.pool.on_run = guard.observe_run
        self.service = EntryService(
            data_centre=options.data_centre,
            store=self.store,
            view=self.view,
            pool=self.pool,
            claims=self._claims,
            guard=guard,
            seed=options.seed,
        )
        self._selector = PeerSelector(
            name=options.name,
            data_centre=options.data_centre,
            view=self.view,
            pool=self.pool,
        )
        self.service.dispatcher.on_missing = self._selector.widen
        self.operators = AdminService(
            store=self.store,
            tail=self._tail,
            publisher=Publisher(log=log, store=self.store, refresh=self._tail.read_once),
            view=self.view,
            pool=self.pool,
            bootstrap_key_hash=options.bootstrap_key_hash,
            data_centre=options.data_centre,
        )
        self._snapshots = SnapshotWriter(
            log=log,
            store=self.store,
            retention_s=options.log_retention_s,
            seed=zlib.crc32(options.name.encode()),
        )

    async def start(self) -> None:
        """Start following the log and the list of instances."""
        self._tasks.keep_running(self._tail.run, name="configuration tail")
        self._tasks.keep_running(self.view.run, name="instance list")
        self._tasks.keep_running(self.pool.pusher.run, name="configuration to sidecars")
        self._tasks.keep_running(self._snapshots.run, name="configuration snapshots")
        self._tasks.keep_running(self._claims.run, name="claims")
        log_event(Event.PROCESS_STARTED, name=self._options.name)

    async def close(self) -> None:
        """Stop at once, without waiting for open requests."""
        await self._tasks.close()
        await self.pool.close()
        await self._evidence.close()
        log_event(Event.PROCESS_STOPPED, name=self._options.name)
