"""A fleet in two regions of three data centres each, whose nodes can be isolated or killed."""

import asyncio
import itertools
import json
from collections import Counter
from dataclasses import dataclass, field

from cicadatiller.backing import Instance, InstanceKind, PlatformUnavailableError
from cicadatiller.config import ObjectEdit
from cicadatiller.kernel import RunState
from cicadatiller.standins import ServiceStandin

from .configuration import change
from .fleet import DEPLOYMENT, WORKSPACE, Fleet, Outcome
from .spread import CuttableLog, PartitionableFleet

NORTH = ("north-a", "north-b", "north-c")
SOUTH = ("south-a", "south-b", "south-c")
DATA_CENTRES = NORTH + SOUTH
SOUTH_SERVICE = "verdicts"
MEDIUM_PROMPT_CHARACTERS = 24_000


class CuttableInstanceList:
    """One node's access to the instance list; can be cut."""

    def __init__(self, instances):
        self._instances = instances
        self.cut = False

    async def list_instances(self):
        if self.cut:
            raise PlatformUnavailableError("access to the instance list is cut")
        return await self._instances.list_instances()

    def __getattr__(self, name):
        return getattr(self._instances, name)


@dataclass
class ObservedRequest(Outcome):
    """A request and what its caller observed."""

    entry: int = 0
    prompt: str = ""
    payload: bytes = b""
    limit_s: float = 0.0
    sent_s: float = 0.0
    first_s: float | None = None

    def emit(self, event) -> None:
        """Record one event of the answer."""
        super().emit(event)
        if self.first_s is None and (self.texts or self.done):
            self.first_s = asyncio.get_running_loop().time()

    @property
    def ttft_s(self) -> float:
        """Return the time to the first token."""
        return float("inf") if self.first_s is None else self.first_s - self.sent_s


@dataclass
class Traffic:
    """Counts of dials and of bytes sent, by node and second."""

    dials: dict[str, Counter] = field(default_factory=dict)
    sent_bytes: dict[str, Counter] = field(default_factory=dict)

    def record_dial(self, source, _address):
        """Count a dial."""
        self._record(self.dials, source, 1)

    def record_frame(self, source, _destination, frame):
        """Count the bytes of a frame and return it for delivery."""
        self._record(self.sent_bytes, source, len(frame))
        return [frame]

    def total(self, counts, name, from_s, to_s):
        """Return the sum of a node's counts from `from_s` until before `to_s`, in whole seconds."""
        found = counts.get(name, Counter())
        return sum(found[second] for second in range(int(from_s), int(to_s)))

    def _record(self, counts, name, amount):
        second = int(asyncio.get_running_loop().time())
        counts.setdefault(name, Counter())[second] += amount


class RegionFleet(PartitionableFleet):
    """A fleet whose nodes are assigned round-robin to the data centres of two regions."""

    def __init__(self, **fields):
        super().__init__(**fields)
        self.shared_instances = self.instances
        self.instance_lists = {}
        self.south_service = ServiceStandin(epoch="verdicts-1")
        self.observed: list[ObservedRequest] = []
        self.traffic = Traffic()
        self.lost: set[str] = set()
        self._request_numbers = itertools.count()
        self.network.filter = self.traffic.record_frame
        self.network.on_dial = self.traffic.record_dial

    async def add_sidecar(self, name, **fields):
        self.instances = self.instance_lists[name] = CuttableInstanceList(self.shared_instances)
        return await super().add_sidecar(name, **fields)

    async def add_entry(self, number):
        name = f"entry-{number}"
        self.instances = self.instance_lists[name] = CuttableInstanceList(self.shared_instances)
        return await super().add_entry(number)

    async def configure(self):
        await super().configure()
        name, address = "south-service", "10.0.2.1:9100"
        self.instances = self.instance_lists[name] = CuttableInstanceList(self.shared_instances)
        self.log = self.partitionable_logs[name] = CuttableLog(self.shared_log)
        await self.start_sidecar(name, address, service=self.south_service)
        self.shared_instances.put(
            Instance(
                name=name,
                kind=InstanceKind.SERVICE,
                data_centre=SOUTH[0],
                deployment=DEPLOYMENT,
                address=address,
                service=SOUTH_SERVICE,
            )
        )
        body = json.dumps({"deployment": DEPLOYMENT})
        service = ObjectEdit(kind="service", name=SOUTH_SERVICE, body_json=body)
        await self.entries[0].operators.apply(change("south", service), timeout_s=10)

    def data_centre(self, number):
        return DATA_CENTRES[number % len(DATA_CENTRES)]

    def nodes_in(self, *data_centres):
        """Return the names of the nodes in some data centres."""
        listed = self.shared_instances._instances.values()
        return {item.name for item in listed if item.data_centre in data_centres}

    def entries_in(self, *data_centres):
        """Return the numbers of the entries in some data centres."""
        return [n for n in range(self.entry_count) if self.data_centre(n) in data_centres]

    def isolate(self, names, *, platform=True):
        """Sever some nodes from all others and, unless `platform` is false, from the platform."""
        inside = {self.addresses.get(name, name) for name in names}
        self.network.severed = lambda a, b: (a in inside) != (b in inside)
        for name in names if platform else ():
            for access in (self.instance_lists.get(name), self.partitionable_logs.get(name)):
                if access is not None:
                    access.cut = True

    def restore_network(self):
        """Restore all connections."""
        self.network.severed = None
        for access in (*self.instance_lists.values(), *self.partitionable_logs.values()):
            access.cut = False

    def kill_nodes(self, names):
        """Kill nodes and their engines permanently, without notice to other nodes."""
        self.isolate(names)
        self.lost |= set(names)
        for name in names:
            if name in self.sidecars:
                address = self.addresses[name]
                self.kill_sidecar(name, address)
                if name.startswith("engine-"):
                    self.engines.pop(self.engine_address(name)).crash()
                del self.sidecars[name]
            elif name.startswith("entry-"):
                self.kill_entry(int(name.split("-")[1]))

    def engine_address(self, name):
        """Return the address of a sidecar's engine."""
        return f"10.0.0.{int(name.split('-')[1]) + 1}:9000"

    async def send_load(self, entries, seconds, *, interval_s=0.25):
        """Send a mix of requests through some entries for a time; return all after their end."""
        loop = asyncio.get_running_loop()
        tasks = []
        end_s = loop.time() + seconds
        for round_number in itertools.count():
            if loop.time() >= end_s:
                break
            for entry in entries:
                tasks.append(loop.create_task(self.send_one(entry, round_number)))
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*tasks)

    async def send_one(self, entry, round_number):
        """Send a request of the mix: most are short, some medium, some not repeatable."""
        number = next(self._request_numbers)
        if round_number % 8 == 5:
            return await self.call_service(entry, payload=b"order %d" % number)
        prompt = f"stock check {number} " + "x" * (
            MEDIUM_PROMPT_CHARACTERS * (round_number % 8 == 7)
        )
        request = self.generation(prompt, tokens=4, time_limit_s=15.0)
        return await self.send(entry, request)

    async def call_service(self, entry, *, payload, service=None):
        """Send a call that is not repeatable."""
        changes = {"service": service} if service else {}
        return await self.send(entry, self.service_call(payload, **changes))

    async def send(self, entry, request):
        """Run a request and record what its caller observed."""
        loop = asyncio.get_running_loop()
        observed = ObservedRequest(
            entry=entry,
            prompt=request.prompt,
            payload=request.payload,
            limit_s=request.time_limit_s,
            sent_s=loop.time(),
        )
        self.observed.append(observed)
        return await Fleet.ask(self, request, entry=entry, outcome=observed)

    def violations(self):
        """Return the violated guarantees of all requests, except those of killed entries."""
        found = []
        for observed in self.observed:
            if f"entry-{observed.entry}" in self.lost:
                continue
            if observed.took_s > observed.limit_s + 0.1:
                found.append(f"ended after its time limit: {observed}")
            if (observed.done is None) == (observed.failure is None):
                found.append(f"ended with both or neither of answer and failure: {observed}")
            runs = self.runs(observed)
            if observed.failure and observed.failure.run_state is RunState.NOT_RUN and runs:
                found.append(
                    f"failure states NOT_RUN, but the request ran {runs} times: {observed}"
                )
            if observed.payload and runs > 1:
                found.append(f"not repeatable, but ran {runs} times: {observed}")
        return found

    def runs(self, observed):
        """Return how many times targets started a request."""
        if observed.payload:
            services = (self.service, self.south_service)
            return sum(service.executions[observed.payload] for service in services)
        return self.executions(observed.prompt)

    async def wait_kv_released(self, limit_s):
        """Wait until the engines hold no KV memory."""
        async with asyncio.timeout(limit_s):
            while self.kv_used_tokens():
                await asyncio.sleep(0.1)


__all__ = [
    "DATA_CENTRES",
    "NORTH",
    "SOUTH",
    "SOUTH_SERVICE",
    "WORKSPACE",
    "ObservedRequest",
    "RegionFleet",
]
