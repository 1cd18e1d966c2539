"""A fleet whose engines record the orders that sidecars send."""

import asyncio
import json

from cicadatiller.config import ChangeRecord, ObjectEdit, hash_key
from cicadatiller.standins import EngineModel, EngineStandin
from cicadatiller.targets import ModelRef, TargetRefusedError

from .fleet import DEPLOYMENT, MODEL, WORKSPACE, WORKSPACE_KEY, Fleet

V1 = ModelRef(model=MODEL, version="v1")
V2 = ModelRef(model=MODEL, version="v2")
LOAD_S = 3.0


class RecordingEngine(EngineStandin):
    """Records its orders; refuses the versions in `bad_versions` and adapters in `bad_adapters`."""

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self.orders = []
        self.applied_fences = []
        self.bad_versions = set()
        self.bad_adapters = set()

    async def order(self, order):
        """Record an order with its time, then apply it."""
        self.orders.append((asyncio.get_running_loop().time(), order))
        if any(
            ref.version in self.bad_versions or ref.adapter in self.bad_adapters
            for ref in order.models
        ):
            raise TargetRefusedError("invalid", "the weights are damaged")
        await super().order(order)
        self.applied_fences.append(order.fence)


class OrdersFleet(Fleet):
    """A fleet whose engines record their orders."""

    def __init__(self, *, checks_fencing=True, **model_fields):
        super().__init__(engines=0, entries=1, model=EngineModel(model_load_s=LOAD_S))
        self.checks_fencing = checks_fencing
        self.model_fields = model_fields
        self.changes = 0

    async def configure(self):
        """Publish the deployment, its workspace and the model."""
        key = {"deployment": DEPLOYMENT, "key_hashes": [hash_key(WORKSPACE_KEY)]}
        await self.change("deployment", DEPLOYMENT, {})
        await self.change("workspace", WORKSPACE, key)
        await self.set_version("v1")

    async def change(self, kind, name, body):
        """Publish an object; remove it if `body` is None."""
        self.changes += 1
        text = "" if body is None else json.dumps(body)
        edit = ObjectEdit(kind=kind, name=name, body_json=text)
        change = ChangeRecord(
            change_id=f"change-{self.changes}", operator="test", reason="test", edits=(edit,)
        )
        entry = await self.entries[0].operators.apply(change, timeout_s=10)
        if not entry.accepted:
            raise AssertionError(entry.message)

    async def set_version(self, version, **fields):
        """Publish the model in a version."""
        body = {"deployment": DEPLOYMENT, "version": version} | self.model_fields | fields
        await self.change("model", MODEL, body)

    async def add_engines(self, count):
        """Add engines with their sidecars."""
        for number in range(count):
            engine = RecordingEngine(
                address=f"10.0.0.{number + 1}:9000",
                model=self.engine_model,
                checks_fencing=self.checks_fencing,
            )
            self.engines[engine.address] = engine
            await self.add_sidecar(f"engine-{number}", engine=engine, number=number)

    def loaded(self):
        """Return the models that each engine serves."""
        return [engine._loaded for engine in self.engines.values()]

    async def until(self, condition, limit_s=120.0):
        """Wait until a condition holds."""
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.05)

    async def until_all_serve(self, *refs):
        """Wait until every engine serves exactly these models."""
        await self.until(lambda: all(set(loaded) == set(refs) for loaded in self.loaded()))

    def serving(self, ref=V1):
        """Return the numbers of the engines that serve a model."""
        return {number for number, loaded in enumerate(self.loaded()) if ref in loaded}
