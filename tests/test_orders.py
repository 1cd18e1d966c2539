"""Tests which models sidecars order their engines to load, and when."""

import asyncio

from cicadatiller.targets import ModelRef

from .support import PausedCase
from .support.fleet import DEPLOYMENT, MODEL
from .support.orders import V1, V2, OrdersFleet


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

    def test_version_that_was_rolled_back_rolls_out_one_by_one_again(self):
        async def scenario(settled):
            async with OrdersFleet(min_available=3) as fleet:
                await fleet.add_engines(4)
                await fleet.until_all_serve(V1)
                self.track_swaps(fleet)
                watching = asyncio.create_task(self.watch_serving(fleet, 3))
                for version, ref in (("v2", V2), ("v1", V1), ("v2", V2), ("v1", V1)):
                    await fleet.set_version(version)
                    if settled:
                        await fleet.until_all_serve(ref)
                    else:
                        await fleet.until(lambda ref=ref: len(fleet.serving(ref)) >= 2)
                await fleet.until_all_serve(V1)
                self.assertFalse(watching.done())
                watching.cancel()

        for settled in (True, False):
            with self.subTest(settled=settled):
                self.run_paused(scenario(settled))

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
