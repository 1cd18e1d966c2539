"""Tests which sidecar may send orders to an engine."""

import asyncio
import json

from cicadatiller.sidecar._orders_fence import LEASE_S
from cicadatiller.targets import ModelRef

from .support import PausedCase
from .support.orders import V1, V2, OrdersFleet


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
