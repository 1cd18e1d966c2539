"""A fleet whose nodes can be disconnected from the log individually."""

import asyncio

from cicadatiller.backing import Instance, InstanceKind, PlatformUnavailableError

from .configuration import change, edit
from .fleet import Fleet

MODEL_BODY = {"deployment": "north", "version": "v1"}


class CuttableLog:
    """One node's access to the log; can be cut and counts the reads."""

    def __init__(self, log):
        self._log = log
        self.cut = False
        self.reads = 0

    async def append(self, stream, payload):
        self._check()
        return await self._log.append(stream, payload)

    async def read(self, stream, from_offset, *, limit=1000, wait_s=0.0):
        self.reads += 1
        self._check()
        page = await self._log.read(stream, from_offset, limit=limit, wait_s=wait_s)
        self._check()
        return page

    async def close(self):
        """Do nothing."""

    def _check(self):
        if self.cut:
            raise PlatformUnavailableError("access to the log is cut")


class PartitionableFleet(Fleet):
    """A fleet whose nodes can be disconnected from the log individually.

    Attributes:
        shared_log: The log of all nodes.
        partitionable_logs: Each node's access to the log, by node name.
        regressions: The names of nodes whose configuration offset went back.
    """

    def __init__(self, **fields):
        super().__init__(**fields)
        self.shared_log = self.log
        self.partitionable_logs = {}
        self.regressions = []

    async def add_sidecar(self, name, **fields):
        self.log = self.partitionable_logs[name] = CuttableLog(self.shared_log)
        sidecar = await super().add_sidecar(name, **fields)
        self._watch(name, sidecar.store)
        return sidecar

    async def add_entry(self, number):
        name = f"entry-{number}"
        self.log = self.partitionable_logs[name] = CuttableLog(self.shared_log)
        entry = await super().add_entry(number)
        self._watch(name, entry.store)
        self.instances.put(
            Instance(
                name=name,
                kind=InstanceKind.ENTRY,
                data_centre=self.data_centre(number),
                deployment="",
                address=f"{name}:80",
            )
        )
        return entry

    def _watch(self, name, store):
        newest = [store.state.offset]

        def check(state):
            if state.offset < newest[0]:
                self.regressions.append(name)
            newest[0] = state.offset

        store.subscribe(check)

    def log_reads(self):
        """Return the number of reads of the log by all nodes."""
        return sum(log.reads for log in self.partitionable_logs.values())

    def stores(self):
        """Return the configuration stores of all nodes."""
        nodes = [*self.entries, *self.sidecars.values()]
        return [node.store for node in nodes]

    async def publish(self, version, change_id=None, entry=0):
        """Publish a new version of the model."""
        content = change(
            change_id or version, edit("model", "glacier", MODEL_BODY | {"version": version})
        )
        return await self.entries[entry].operators.apply(content, timeout_s=5)

    def _has(self, store, version):
        model = store.state.model("glacier")
        return model is not None and model.version == version

    async def seconds_until(self, version, limit_s):
        """Wait until a version is current at all nodes; return the seconds waited."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        async with asyncio.timeout(limit_s):
            while not all(self._has(store, version) for store in self.stores()):
                await asyncio.sleep(0.01)
        return loop.time() - started_s
