"""A fleet in two regions of three data centres, parts of which can be cut off or lost."""

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
from .spread import CutLog, SpreadFleet

NORTH = ("north-a", "north-b", "north-c")
SOUTH = ("south-a", "south-b", "south-c")
DATA_CENTRES = NORTH + SOUTH
SOUTH_SERVICE = "verdicts"
MIDDLING_CHARACTERS = 24_000


class CutList:
    """One node's way to the instance list, which can be cut."""

    def __init__(self, instances):
        self._instances = instances
        self.cut = False

    async def list_instances(self):
        if self.cut:
            raise PlatformUnavailableError("cut off")
        return await self._instances.list_instances()

    def __getattr__(self, name):
        return getattr(self._instances, name)


@dataclass
class Asked(Outcome):
    """A request with what a caller saw of it."""

    entry: int = 0
    prompt: str = ""
    payload: bytes = b""
    limit_s: float = 0.0
    asked_s: float = 0.0
    first_s: float | None = None

    def emit(self, event) -> None:
        """Take one event of the answer."""
        super().emit(event)
        if self.first_s is None and (self.texts or self.done):
            self.first_s = asyncio.get_running_loop().time()

    @property
    def ttft_s(self) -> float:
        """Return the time to the first token."""
        return float("inf") if self.first_s is None else self.first_s - self.asked_s


@dataclass
class Traffic:
    """Dials and bytes by node and second."""

    dials: dict[str, Counter] = field(default_factory=dict)
    sent_bytes: dict[str, Counter] = field(default_factory=dict)

    def note_dial(self, source, _address):
        """Count a dial."""
        self._note(self.dials, source, 1)

    def note_frame(self, source, _destination, frame):
        """Count the bytes of a frame and let it pass."""
        self._note(self.sent_bytes, source, len(frame))
        return [frame]

    def total(self, counts, name, from_s, to_s):
        """Return the sum of one node's counts over a time."""
        found = counts.get(name, Counter())
        return sum(found[second] for second in range(int(from_s), int(to_s)))

    def _note(self, counts, name, amount):
        second = int(asyncio.get_running_loop().time())
        counts.setdefault(name, Counter())[second] += amount


class RegionFleet(SpreadFleet):
    """A fleet whose nodes are spread over data centres in turn."""

    def __init__(self, **fields):
        super().__init__(**fields)
        self.shared_instances = self.instances
        self.cut_lists = {}
        self.south_service = ServiceStandin(epoch="verdicts-1")
        self.asked: list[Asked] = []
        self.traffic = Traffic()
        self.lost: set[str] = set()
        self._numbers = itertools.count()
        self.network.filter = self.traffic.note_frame
        self.network.on_dial = self.traffic.note_dial

    async def add_sidecar(self, name, **fields):
        self.instances = self.cut_lists[name] = CutList(self.shared_instances)
        return await super().add_sidecar(name, **fields)

    async def add_entry(self, number):
        name = f"entry-{number}"
        self.instances = self.cut_lists[name] = CutList(self.shared_instances)
        return await super().add_entry(number)

    async def configure(self):
        await super().configure()
        name, address = "south-service", "10.0.2.1:9100"
        self.instances = self.cut_lists[name] = CutList(self.shared_instances)
        self.log = self.cut_logs[name] = CutLog(self.shared_log)
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
        """Return the names of the nodes in data centres."""
        listed = self.shared_instances._instances.values()
        return {item.name for item in listed if item.data_centre in data_centres}

    def entries_in(self, *data_centres):
        """Return the numbers of the entries in data centres."""
        return [n for n in range(self.entry_count) if self.data_centre(n) in data_centres]

    def cut_off(self, names, *, platform=True):
        """Let nothing pass between some nodes and all others, nor the platform."""
        inside = {self.addresses.get(name, name) for name in names}
        self.network.severed = lambda a, b: (a in inside) != (b in inside)
        for name in names if platform else ():
            for way in (self.cut_lists.get(name), self.cut_logs.get(name)):
                if way is not None:
                    way.cut = True

    def heal(self):
        """Let everything pass again."""
        self.network.severed = None
        for way in (*self.cut_lists.values(), *self.cut_logs.values()):
            way.cut = False

    def lose(self, names):
        """End nodes for good, with no word to others, and the engines beside them."""
        self.cut_off(names)
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
        """Return the address of the engine beside a sidecar."""
        return f"10.0.0.{int(name.split('-')[1]) + 1}:9000"

    async def drive(self, entries, seconds, *, interval_s=0.25):
        """Send a mix through some entries for a while and wait until all has ended."""
        loop = asyncio.get_running_loop()
        tasks = []
        end_s = loop.time() + seconds
        for turn in itertools.count():
            if loop.time() >= end_s:
                break
            for entry in entries:
                tasks.append(loop.create_task(self.ask_one(entry, turn)))
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*tasks)

    async def ask_one(self, entry, turn):
        """Send one request of the mix: most are short, some middling, some may run only once."""
        number = next(self._numbers)
        if turn % 8 == 5:
            return await self.call_service(entry, payload=b"order %d" % number)
        prompt = f"stock check {number} " + "x" * (MIDDLING_CHARACTERS * (turn % 8 == 7))
        request = self.generation(prompt, tokens=4, time_limit_s=15.0)
        return await self.ask_as(entry, request)

    async def call_service(self, entry, *, payload, service=None):
        """Send a call that may run only once."""
        changes = {"service": service} if service else {}
        return await self.ask_as(entry, self.service_call(payload, **changes))

    async def ask_as(self, entry, request):
        """Run a request to its end and keep what its caller saw."""
        loop = asyncio.get_running_loop()
        asked = Asked(
            entry=entry,
            prompt=request.prompt,
            payload=request.payload,
            limit_s=request.time_limit_s,
            asked_s=loop.time(),
        )
        self.asked.append(asked)
        return await Fleet.ask(self, request, entry=entry, outcome=asked)

    def broken_promises(self):
        """Return what any request that was asked shows to be broken."""
        found = []
        for asked in self.asked:
            if f"entry-{asked.entry}" in self.lost:
                continue
            if asked.took_s > asked.limit_s + 0.1:
                found.append(f"too late: {asked}")
            if (asked.done is None) == (asked.failure is None):
                found.append(f"no clear end: {asked}")
            runs = self.runs(asked)
            if asked.failure and asked.failure.run_state is RunState.NOT_RUN and runs:
                found.append(f"said not to have run, ran {runs} times: {asked}")
            if asked.payload and runs > 1:
                found.append(f"ran {runs} times: {asked}")
        return found

    def runs(self, asked):
        """Return how often a target started a request."""
        if asked.payload:
            services = (self.service, self.south_service)
            return sum(service.executions[asked.payload] for service in services)
        return self.executions(asked.prompt)

    async def wait_empty(self, limit_s):
        """Wait until the engines hold no KV."""
        async with asyncio.timeout(limit_s):
            while self.kv_used_tokens():
                await asyncio.sleep(0.1)


__all__ = ["DATA_CENTRES", "NORTH", "SOUTH", "SOUTH_SERVICE", "WORKSPACE", "Asked", "RegionFleet"]
