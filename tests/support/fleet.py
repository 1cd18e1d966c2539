"""A small fleet of entries and sidecars on stand-ins, all in one event loop."""

import asyncio
import json
from dataclasses import dataclass, field

from cicadatiller.backing import Instance, InstanceKind
from cicadatiller.config import ChangeRecord, ObjectEdit, hash_key
from cicadatiller.entry import (
    AnswerDone,
    AnswerTokens,
    Entry,
    EntryOptions,
    RequestOpened,
    WorkRequest,
)
from cicadatiller.kernel import Failure, FailureError, TaskSet
from cicadatiller.sidecar import Sidecar, SidecarOptions
from cicadatiller.standins import (
    EngineModel,
    EngineStandin,
    InstanceListStandin,
    LogStandin,
    MemoryNetwork,
    ServiceStandin,
    WeightStoreStandin,
)

from .target_proxies import EngineProxy, ServiceProxy

DEPLOYMENT = "north"
MODEL = "glacier"
SERVICE = "dispatch"
WORKSPACE = "depots"
WORKSPACE_KEY = "workspace-key"
OPERATOR_KEY = "operator-key"
SECRET = "peer-secret"


@dataclass
class Outcome:
    """How a request ended for its caller."""

    request_id: str = ""
    texts: list[str] = field(default_factory=list)
    done: AnswerDone | None = None
    failure: Failure | None = None
    took_s: float = 0.0

    def emit(self, event) -> None:
        """Record one event of the answer."""
        if isinstance(event, RequestOpened):
            self.request_id = event.request_id
        elif isinstance(event, AnswerTokens):
            if event.first_index != len(self.texts):
                raise AssertionError(f"expected index {len(self.texts)}, got {event}")
            self.texts.extend(event.texts)
        else:
            self.done = event


class Fleet:
    """Entries and sidecars whose network, targets and platform are stand-ins.

    Args:
        engines: The number of engines, each with a sidecar.
        entries: The number of entries.
        services: The number of sidecars of the plain service.
        model: The performance model of the engines.
        routing: The name of the routing policy.
        queue: The name of the queue policy.
        data_centres: The data centres, assigned to the processes round-robin.
        one_way_s: The one-way latency of the network.
        sidecar_options: Further fields of `SidecarOptions`.
    """

    def __init__(
        self,
        *,
        engines: int = 2,
        entries: int = 2,
        services: int = 1,
        model: EngineModel | None = None,
        routing: str = "affinity",
        queue: str = "classes",
        data_centres: tuple[str, ...] = ("hall-a", "hall-b"),
        one_way_s: float = 0.001,
        **sidecar_options,
    ):
        self.sidecar_options = sidecar_options
        self.queue = queue
        self.data_centres = data_centres
        self.routing = routing
        self.network = MemoryNetwork(latency_s=one_way_s)
        self.log = LogStandin()
        self.instances = InstanceListStandin()
        self.weights = WeightStoreStandin()
        self.service = ServiceStandin()
        self.engine_model = model or EngineModel(kv_capacity_tokens=100_000)
        self.engines: dict[str, EngineStandin] = {}
        self.engine_count = engines
        self.entry_count = entries
        self.service_count = services
        self.sidecars: dict[str, Sidecar] = {}
        self.addresses: dict[str, str] = {}
        self.target_proxies: dict[str, EngineProxy | ServiceProxy] = {}
        self.entries: list[Entry] = []
        self.tasks = TaskSet()

    async def __aenter__(self) -> "Fleet":
        for number in range(self.engine_count):
            await self.add_engine(number)
        for number in range(self.service_count):
            slot = self.engine_count + number
            await self.add_sidecar(f"service-{number}", service=self.service, number=slot)
        for number in range(self.entry_count):
            await self.add_entry(number)
        await self.configure()
        await self.wait_ready()
        return self

    async def __aexit__(self, *_) -> None:
        for entry in self.entries:
            await entry.close()
        for sidecar in list(self.sidecars.values()):
            await sidecar.close()
        await self.tasks.close()

    def data_centre(self, number: int) -> str:
        """Return the data centre of the process with a number."""
        return self.data_centres[number % len(self.data_centres)]

    async def add_engine(self, number: int) -> None:
        """Add an engine with its sidecar."""
        address = f"10.0.0.{number + 1}:9000"
        engine = EngineStandin(address=address, model=self.engine_model, peers=self.engines.get)
        self.engines[address] = engine
        self.tasks.keep_running(engine.run, name=f"engine {number}")
        await self.add_sidecar(f"engine-{number}", engine=engine, number=number)

    async def add_sidecar(self, name: str, *, number: int, engine=None, service=None) -> Sidecar:
        """Add a sidecar and put its instance on the instance list."""
        address = f"10.0.1.{number + 1}:9100"
        sidecar = await self.start_sidecar(name, address, engine=engine, service=service)
        self.instances.put(
            Instance(
                name=name,
                kind=InstanceKind.ENGINE if engine else InstanceKind.SERVICE,
                data_centre=self.data_centre(number),
                deployment=DEPLOYMENT,
                address=address,
                service="" if engine else SERVICE,
            )
        )
        return sidecar

    async def start_sidecar(self, name: str, address: str, *, engine=None, service=None) -> Sidecar:
        """Start a sidecar at an address; it replaces the earlier one of that name, if any."""
        proxy = EngineProxy(engine) if engine else ServiceProxy(service)
        sidecar = Sidecar(
            options=SidecarOptions(
                name=name,
                address=address,
                deployment=DEPLOYMENT,
                peer_secret=SECRET,
                **self.sidecar_options,
            ),
            transport=self.network.bind(address),
            log=self.log,
            instances=self.instances,
            weights=self.weights,
            engine=proxy if engine else None,
            service=proxy if service else None,
        )
        await sidecar.start()
        self.addresses[name] = address
        self.target_proxies[name] = proxy
        self.sidecars[name] = sidecar
        return sidecar

    def kill_sidecar(self, name: str, address: str) -> None:
        """Kill a sidecar as SIGKILL does: no later action of it has an effect."""
        self.target_proxies[name].sidecar_dead = True
        self.network.stop_listening(address)
        self.tasks.start(self.sidecars[name].close(), name=f"close {name}")

    def kill_entry(self, number: int) -> None:
        """Kill an entry as SIGKILL does."""
        self.network.reset(f"entry-{number}")
        self.tasks.start(self.entries[number].close(), name=f"close entry {number}")

    async def add_entry(self, number: int) -> Entry:
        """Add an entry."""
        name = f"entry-{number}"
        entry = Entry(
            options=EntryOptions(
                name=name,
                data_centre=self.data_centre(number),
                peer_secret=SECRET,
                bootstrap_key_hash=hash_key(OPERATOR_KEY),
                seed=number,
            ),
            transport=self.network.bind(name),
            log=self.log,
            instances=self.instances,
        )
        await entry.start()
        self.entries.append(entry)
        return entry

    async def configure(self) -> None:
        """Publish a configuration: a deployment with a model, a service and a workspace."""
        bodies = {
            ("deployment", DEPLOYMENT): {"policy": {"routing": self.routing, "queue": self.queue}},
            ("model", MODEL): {"deployment": DEPLOYMENT, "version": "v1"},
            ("service", SERVICE): {"deployment": DEPLOYMENT},
            ("workspace", WORKSPACE): {
                "deployment": DEPLOYMENT,
                "key_hashes": [hash_key(WORKSPACE_KEY)],
            },
        }
        edits = tuple(
            ObjectEdit(kind=kind, name=name, body_json=json.dumps(body))
            for (kind, name), body in bodies.items()
        )
        change = ChangeRecord(change_id="setup", operator="test", reason="setup", edits=edits)
        entry = await self.entries[0].operators.apply(change, timeout_s=10)
        if not entry.accepted:
            raise AssertionError(entry.message)

    async def wait_ready(self) -> None:
        """Wait until every entry can route to every target."""
        async with asyncio.timeout(60):
            while not all(self._ready(entry) for entry in self.entries):
                await asyncio.sleep(0.05)

    def _ready(self, entry: Entry) -> bool:
        targets = entry.view.targets()
        return len(targets) == len(self.sidecars) and all(
            t.load is not None and (t.load.loaded or t.instance.kind is InstanceKind.SERVICE)
            for t in targets
        )

    def generation(self, prompt: str, tokens: int = 8, **changes) -> WorkRequest:
        """Return a generation request."""
        fields = {
            "workspace": WORKSPACE,
            "model": MODEL,
            "prompt": prompt,
            "max_output_tokens": tokens,
            "time_limit_s": 30.0,
        }
        return WorkRequest(**(fields | changes))

    def service_call(self, payload: bytes, **changes) -> WorkRequest:
        """Return a request for the plain service that may not be repeated."""
        fields = {
            "workspace": WORKSPACE,
            "service": SERVICE,
            "method": "echo",
            "payload": payload,
            "time_limit_s": 10.0,
            "repeatable": False,
        }
        return WorkRequest(**(fields | changes))

    async def ask(self, request: WorkRequest, *, entry: int = 0, outcome=None) -> Outcome:
        """Run a request and return its outcome."""
        outcome = outcome or Outcome()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            await self.entries[entry].service.run(request, outcome.emit)
        except FailureError as error:
            outcome.failure = error.failure
        outcome.took_s = loop.time() - started_s
        return outcome

    async def attach(self, request_id: str, *, entry: int, outcome, time_limit_s: float) -> Outcome:
        """Attach to a request and read its answer from the beginning."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        service = self.entries[entry].service
        try:
            await service.attach(WORKSPACE, request_id, 0, time_limit_s, outcome.emit)
        except FailureError as error:
            outcome.failure = error.failure
        outcome.took_s = loop.time() - started_s
        return outcome

    def executions(self, prompt: str) -> int:
        """Return how many times the engines started a prompt."""
        return sum(engine.executions[prompt] for engine in self.engines.values())

    def kv_used_tokens(self) -> int:
        """Return the KV tokens that all engines hold together."""
        return sum(engine.kv_used_tokens() for engine in self.engines.values())
