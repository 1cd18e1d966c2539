"""Tests which sidecar sends orders to an engine, when, and with which models."""

import asyncio
import json

from cicadatiller.config import ChangeRecord, ObjectEdit, hash_key
from cicadatiller.sidecar._orders_fence import LEASE_S
from cicadatiller.standins import EngineModel, EngineStandin
from cicadatiller.targets import ModelRef, TargetRefusedError

from .support import Fleet, PausedCase
from .support.fleet import DEPLOYMENT, MODEL, WORKSPACE, WORKSPACE_KEY

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


class SuspendingLog:
    """Suspends its reader after the first read, while a newer holder takes over the slot."""

    def __init__(self, log, *, slot):
        self.log = log
        self.slot = slot
        self.suspensions = 0

    async def read(self, stream, from_offset):
        """Read a page; after the first one, let the lease expire."""
        page = await self.log.read(stream, from_offset)
        if self.suspensions == 0:
            self.suspensions = 1
            record = {"slot": self.slot, "incarnation": "newer"}
            await self.log.append(stream, json.dumps(record).encode())
            asyncio.get_running_loop().advance(LEASE_S + 1)
        return page


class PlanTest(PausedCase):
    def test_replicas_are_kept_when_a_slot_disappears_and_returns(self):
        async def scenario():
            async with OrdersFleet(replicas=2) as fleet:
                await fleet.add_engines(5)
                await fleet.until(lambda: len(fleet.serving()) == 2)
                await asyncio.sleep(30)
                first = fleet.serving()
                self.assertEqual(len(first), 2)
                gone = min(first)
                sidecar = fleet.sidecars.pop(f"engine-{gone}")
                await sidecar.close()
                listed = await fleet.instances.list_instances()
                row = next(item for item in listed if item.name == f"engine-{gone}")
                fleet.instances.remove(row.name)
                await fleet.until(lambda: len(fleet.serving() - {gone}) == 2)
                orders = sum(len(engine.orders) for engine in fleet.engines.values())
                fleet.instances.put(row)
                await asyncio.sleep(60)
                self.assertEqual(len(fleet.serving() - {gone}), 2)
                self.assertEqual(orders, sum(len(e.orders) for e in fleet.engines.values()))

        self.run_paused(scenario())

    def test_brief_absence_from_the_list_moves_no_model(self):
        async def scenario():
            async with OrdersFleet(replicas=1) as fleet:
                await fleet.add_engines(3)
                await fleet.until(lambda: len(fleet.serving()) == 1)
                (holder,) = fleet.serving()
                listed = await fleet.instances.list_instances()
                row = next(item for item in listed if item.name == f"engine-{holder}")
                fleet.instances.remove(row.name)
                await asyncio.sleep(5)
                fleet.instances.put(row)
                await asyncio.sleep(30)
                self.assertEqual(fleet.serving(), {holder})

        self.run_paused(scenario())

    def test_fewer_replicas_and_a_removed_model_are_unloaded(self):
        async def scenario():
            async with OrdersFleet() as fleet:
                await fleet.add_engines(4)
                await fleet.until_all_serve(V1)
                await fleet.set_version("v1", replicas=1)
                # The next slot by rank may keep the model.
                await fleet.until(lambda: len(fleet.serving()) == 2)
                await fleet.change("model", MODEL, None)
                await fleet.until_all_serve()

        self.run_paused(scenario())


class RolloutTest(PausedCase):
    async def watch_serving(self, fleet, minimum):
        """Check continuously that enough engines serve the model and are not swapping."""
        while True:
            serving = sum(
                any(ref.model == MODEL for ref in loaded) and not engine.swapping
                for loaded, engine in zip(fleet.loaded(), fleet.engines.values(), strict=True)
            )
            self.assertGreaterEqual(serving, minimum)
            await asyncio.sleep(0.05)

    def track_swaps(self, fleet):
        """Set `swapping` on engines while an order that unloads a version runs."""
        for engine in fleet.engines.values():
            engine.swapping = False
            original_order = engine.order

            async def order(wanted, engine=engine, original_order=original_order):
                engine.swapping = bool(set(engine._loaded) - set(wanted.models))
                try:
                    await original_order(wanted)
                finally:
                    engine.swapping = False

            engine.order = order

    def test_rollout_keeps_the_minimum_available(self):
        for engines, minimum in ((1, 1), (2, 1), (4, 3), (4, 4), (9, 2)):
            with self.subTest(engines=engines, minimum=minimum):
                self.run_paused(self._roll_out(engines, minimum))

    async def _roll_out(self, engines, minimum):
        async with OrdersFleet(min_available=minimum) as fleet:
            await fleet.add_engines(engines)
            await fleet.until_all_serve(V1)
            self.track_swaps(fleet)
            watching = asyncio.create_task(self.watch_serving(fleet, minimum))
            await fleet.set_version("v2")
            await fleet.until_all_serve(V2)
            self.assertFalse(watching.done())
            watching.cancel()

    def test_requests_are_served_during_a_rollout(self):
        async def scenario():
            async with OrdersFleet(min_available=3) as fleet:
                await fleet.add_engines(4)
                for engine in fleet.engines.values():
                    fleet.tasks.keep_running(engine.run, name="engine")
                await fleet.until_all_serve(V1)
                await asyncio.sleep(3)
                await fleet.set_version("v2")
                rolling = asyncio.create_task(fleet.until_all_serve(V2))
                while not rolling.done():
                    outcome = await fleet.ask(fleet.generation("stock check"))
                    self.assertIsNone(outcome.failure)
                    await asyncio.sleep(0.05)
                await rolling

        self.run_paused(scenario())

    def test_last_serving_engine_loads_the_new_version_beside_the_old_one(self):
        async def scenario():
            async with OrdersFleet(min_available=1) as fleet:
                await fleet.add_engines(2)
                await fleet.until_all_serve(V1)
                first, second = fleet.engines.values()
                second.crash()
                await asyncio.sleep(5)
                self.track_swaps(fleet)
                await fleet.set_version("v2")
                await fleet.until(lambda: V2 in first._loaded)
                self.assertTrue(all(V1 in order.models for _, order in first.orders))

        self.run_paused(scenario())

    def test_version_that_does_not_load_stops_the_rollout(self):
        async def scenario():
            async with OrdersFleet(min_available=2) as fleet:
                await fleet.add_engines(4)
                await fleet.until_all_serve(V1)
                for engine in fleet.engines.values():
                    engine.bad_versions = {"v2"}
                    engine.orders.clear()
                await fleet.set_version("v2")
                await asyncio.sleep(120)
                self.assertEqual(len(fleet.serving(V1)), 4)
                tried = [engine for engine in fleet.engines.values() if engine.orders]
                self.assertEqual(len(tried), 1)
                self.assertLessEqual(len(tried[0].orders), 10)
                reports = [s.service.load_report() for s in fleet.sidecars.values()]
                self.assertEqual(sum("damaged" in r.order_error for r in reports), 1)
                await fleet.set_version("v3")
                await fleet.until_all_serve(ModelRef(model=MODEL, version="v3"))

        self.run_paused(scenario())

    def test_failing_model_does_not_delay_others(self):
        async def scenario():
            async with OrdersFleet() as fleet:
                await fleet.add_engines(1)
                await fleet.until_all_serve(V1)
                (engine,) = fleet.engines.values()
                engine.bad_versions = {"bad"}
                body = {"deployment": DEPLOYMENT, "version": "bad"}
                await fleet.change("model", "aaa", body)
                await fleet.change("model", "zzz", body | {"version": "good"})
                other = ModelRef(model="zzz", version="good")
                await fleet.until_all_serve(V1, other)

        self.run_paused(scenario())


class WeightStoreTest(PausedCase):
    def test_loads_respect_the_rate_limit_of_the_weight_store(self):
        async def scenario():
            async with OrdersFleet() as fleet:
                fleet.weights.interval_s = 5.0
                await fleet.add_engines(4)
                await fleet.until_all_serve(V1)
                times = sorted(e.orders[0][0] for e in fleet.engines.values())
                gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
                self.assertGreaterEqual(min(gaps), 5.0 - 0.01)

        self.run_paused(scenario())

    def test_weight_store_outage_is_reported_and_recovered_from(self):
        async def scenario():
            async with OrdersFleet() as fleet:
                fleet.weights.down = True
                await fleet.add_engines(1)
                await asyncio.sleep(20)
                sidecar = fleet.sidecars["engine-0"]
                self.assertIn("weight store", sidecar.service.load_report().order_error)
                self.assertEqual(fleet.serving(), set())
                fleet.weights.down = False
                await fleet.until_all_serve(V1)
                self.assertEqual(sidecar.service.load_report().order_error, "")

        self.run_paused(scenario())

    def test_error_of_a_version_that_is_no_longer_wanted_is_dropped(self):
        async def scenario():
            async with OrdersFleet() as fleet:
                await fleet.add_engines(1)
                await fleet.until_all_serve(V1)
                fleet.weights.down = True
                await fleet.set_version("v2")
                await asyncio.sleep(20)
                sidecar = fleet.sidecars["engine-0"]
                self.assertIn("v2", sidecar.service.load_report().order_error)
                await fleet.set_version("v1")
                await asyncio.sleep(10)
                self.assertEqual(sidecar.service.load_report().order_error, "")

        self.run_paused(scenario())

    def test_error_of_an_adapter_that_is_no_longer_wanted_is_dropped(self):
        async def scenario():
            async with OrdersFleet() as fleet:
                await fleet.add_engines(1)
                await fleet.until_all_serve(V1)
                (engine,) = fleet.engines.values()
                engine.bad_adapters = {"night"}
                await fleet.set_version("v1", adapters=["night"])
                await asyncio.sleep(20)
                sidecar = fleet.sidecars["engine-0"]
                self.assertIn("damaged", sidecar.service.load_report().order_error)
                await fleet.set_version("v1")
                await asyncio.sleep(10)
                self.assertEqual(sidecar.service.load_report().order_error, "")

        self.run_paused(scenario())


class FenceTest(PausedCase):
    async def add_second_holder(self, fleet):
        """Start a newer sidecar in the first engine's slot."""
        engine = next(iter(fleet.engines.values()))
        older = fleet.sidecars["engine-0"]
        newer = await fleet.add_sidecar("engine-0", engine=engine, number=20)
        fleet.sidecars["older"] = older
        return engine, older, newer

    def test_only_the_newer_of_two_holders_sends_orders(self):
        for checks in (True, False):
            with self.subTest(checks_fencing=checks):
                self.run_paused(self._two_holders(checks))

    async def _two_holders(self, checks):
        async with OrdersFleet(checks_fencing=checks) as fleet:
            await fleet.add_engines(1)
            await fleet.until_all_serve(V1)
            engine, older, newer = await self.add_second_holder(fleet)
            await asyncio.sleep(LEASE_S + 2)
            await fleet.set_version("v2")
            await fleet.until_all_serve(V2)
            await asyncio.sleep(20)
            self.assertEqual(engine.applied_fences, sorted(engine.applied_fences))
            self.assertEqual(engine.applied_fences[-1], newer.target._fence.number)
            self.assertEqual(set(engine._loaded), {V2})
            self.assertEqual(newer.service.load_report().order_error, "")

    def test_suspended_holder_reads_the_log_before_it_orders_an_unfenced_engine(self):
        async def scenario():
            async with OrdersFleet(checks_fencing=False) as fleet:
                await fleet.add_engines(1)
                await fleet.until_all_serve(V1)
                (engine,) = fleet.engines.values()
                engine.orders.clear()
                holder = fleet.sidecars["engine-0"]
                holder.target._fence._log = SuspendingLog(fleet.log, slot="engine-0")
                await fleet.set_version("v2")
                await asyncio.sleep(60)
                self.assertEqual(holder.target._fence._log.suspensions, 1)
                self.assertEqual(engine.orders, [])
                self.assertIn("newer sidecar", holder.service.load_report().order_error)

        self.run_paused(scenario())

    def test_new_holder_waits_for_the_old_lease_and_repeats_the_order(self):
        async def scenario():
            async with OrdersFleet(checks_fencing=False) as fleet:
                await fleet.add_engines(1)
                await fleet.until_all_serve(V1)
                engine, _, newer = await self.add_second_holder(fleet)
                engine.orders.clear()
                started_s = asyncio.get_running_loop().time()
                await asyncio.sleep(LEASE_S * 2)
                new_holder_orders = [
                    (at_s, o) for at_s, o in engine.orders if o.fence == newer.target._fence.number
                ]
                self.assertEqual(len(new_holder_orders), 1)
                self.assertGreaterEqual(new_holder_orders[0][0], started_s + LEASE_S)
                self.assertEqual(new_holder_orders[0][1].models, (V1,))

        self.run_paused(scenario())

    def test_holder_continues_while_the_log_is_down(self):
        async def scenario():
            async with OrdersFleet() as fleet:
                await fleet.add_engines(1)
                await fleet.until_all_serve(V1)
                fleet.log.down = True
                (engine,) = fleet.engines.values()
                engine.restart("engine-2")
                engine._loaded = ()
                await fleet.until_all_serve(V1)

        self.run_paused(scenario())

    def test_new_holder_without_a_record_sends_no_order_to_a_fencing_engine(self):
        async def scenario():
            async with OrdersFleet() as fleet:
                await fleet.add_engines(1)
                await fleet.until_all_serve(V1)
                records = fleet.sidecars["engine-0"].store.newer_than(0)
                fleet.log.down = True
                engine, _, newer = await self.add_second_holder(fleet)
                newer.store.advance(records)
                engine.orders.clear()
                newer.target._driver.info = None
                await asyncio.sleep(60)
                self.assertEqual(newer.target._fence.number, 0)
                self.assertNotIn(0, [order.fence for _, order in engine.orders])
                fleet.log.down = False
                await fleet.until(lambda: newer.target._fence.number > 0)

        self.run_paused(scenario())

    def test_unfenced_engine_gets_only_additive_orders_while_the_log_is_down(self):
        async def scenario():
            async with OrdersFleet(checks_fencing=False) as fleet:
                await fleet.add_engines(1)
                await fleet.until_all_serve(V1)
                (engine,) = fleet.engines.values()
                fleet.log.down = True
                engine._loaded = (ModelRef(model="stray", version="v0"),)
                await asyncio.sleep(30)
                self.assertEqual(set(engine._loaded), {V1, ModelRef(model="stray", version="v0")})
                fleet.log.down = False
                await fleet.until_all_serve(V1)

        self.run_paused(scenario())
