"""Tests how an HTTP/1.1 entry follows the registrations and configurations in the store."""

import asyncio
from dataclasses import replace

from .support.gateways import GatewayCase, configuration, route


class DiscoveryTest(GatewayCase):
    async def serving_targets(self, fleet, count=8, **options):
        """Send `count` requests and return the names of the targets that ran them."""
        before = {name: len(target.runs) for name, target in fleet.targets.items()}
        await fleet.ask_many(count, **options)
        return {name for name, t in fleet.targets.items() if len(t.runs) > before[name]}

    def test_draining_target_gets_no_new_requests(self):
        async def scenario(fleet):
            fleet.register(fleet.targets["t-1"], state="draining")
            await asyncio.sleep(1.0)
            return await self.serving_targets(fleet)

        self.assertEqual(self.run_scenario(scenario), {"t-2"})

    def test_target_whose_record_was_removed_gets_no_new_requests(self):
        async def scenario(fleet):
            fleet.store.write("keyed.servers", "t-1", None)
            await asyncio.sleep(1.0)
            return await self.serving_targets(fleet)

        self.assertEqual(self.run_scenario(scenario), {"t-2"})

    def test_unreadable_target_record_does_not_affect_others(self):
        good = {"service": "pool", "address": "10.0.1.1:80", "zone": "north-a", "version": "v1"}
        good |= {"slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1}
        bad = [
            b"\xff\xfe",
            b"[]",
            b"null",
            {},
            good | {"state": "dancing"},
            good | {"slots": "8"},
            good | {"slots": 0},
            good | {"slots": True},
            good | {"address": "nowhere"},
            good | {"address": 7},
            good | {"zone": None},
            good | {"version": 1},
            good | {"cold_remaining_ms": "0"},
            good | {"born": 1.5},
            {key: value for key, value in good.items() if key != "sequence"},
        ]

        async def scenario(fleet):
            for number, value in enumerate(bad):
                fleet.store.write("keyed.servers", f"bad-{number}", value)
            await asyncio.sleep(1.0)
            fleet.store.drop_history("keyed.servers")
            await asyncio.sleep(1.0)
            return await self.serving_targets(fleet)

        self.assertEqual(self.run_scenario(scenario), {"t-1", "t-2"})

    def test_changes_in_dropped_history_are_applied(self):
        async def scenario(fleet):
            await fleet.add_target("pool")
            fleet.store.write("keyed.servers", "t-1", None)
            fleet.store.write("keyed.op", "config", configuration(5, routes=[route("safe")]))
            fleet.store.drop_history("keyed.servers")
            fleet.store.drop_history("keyed.op")
            await asyncio.sleep(1.5)
            return await self.serving_targets(fleet), (await fleet.ask("unsafe")).status

        self.assertEqual(self.run_scenario(scenario), ({"t-2", "t-3"}, 404))

    def test_targets_whose_records_expired_during_a_store_outage_still_serve(self):
        async def scenario(fleet):
            fleet.store.fault_for_call = lambda path: 503
            await asyncio.sleep(4)
            for name in fleet.targets:
                fleet.store.write("keyed.servers", name, None)
            fleet.store.fault_for_call = None
            await asyncio.sleep(1.5)
            during = [reply.status for reply in await fleet.ask_many(4)]
            fleet.register(fleet.targets["t-2"])
            await asyncio.sleep(3.5)
            return during, await self.serving_targets(fleet)

        during, after = self.run_scenario(scenario)
        self.assertEqual(during, [200] * 4)
        self.assertEqual(after, {"t-2"})

    def test_entry_started_in_a_store_outage_keeps_targets_whose_records_expired(self):
        async def scenario(fleet):
            for log in fleet.logs:
                log.is_refused = True
            await asyncio.sleep(1.0)
            await fleet.restart(0, is_refused=True)
            await asyncio.sleep(1.2)
            for target in fleet.targets.values():
                fleet.store.write("keyed.servers", target.instance_id, None)
            for log in fleet.logs:
                log.is_refused = False
            statuses = []
            for step in range(16):
                await asyncio.sleep(0.1)
                if step == 12:
                    for target in fleet.targets.values():
                        fleet.register(target)
                statuses.append((await fleet.ask(entry=0)).status)
            return statuses

        self.assertEqual(self.run_scenario(scenario, entries=3, settle_s=2.5), [200] * 16)

    def test_record_removed_soon_after_an_outage_removes_its_target(self):
        async def scenario(fleet):
            fleet.store.fault_for_call = lambda path: 503
            await asyncio.sleep(4)
            fleet.store.fault_for_call = None
            await asyncio.sleep(1.8)
            fleet.store.write("keyed.servers", "t-1", None)
            await asyncio.sleep(1.9)
            return await self.serving_targets(fleet)

        self.assertEqual(self.run_scenario(scenario), {"t-2"})

    def test_target_restarted_under_the_same_id_gets_requests(self):
        async def scenario(fleet):
            target = fleet.targets["t-1"]
            target.stop()
            await fleet.ask_many(2)
            await target.start("10.0.1.1")
            fleet.register(target, born=1_700_000_009_000)
            await asyncio.sleep(1.0)
            return await self.serving_targets(fleet)

        self.assertEqual(self.run_scenario(scenario), {"t-1", "t-2"})

    def test_configuration_version_never_decreases(self):
        async def scenario(fleet):
            fleet.store.write("keyed.op", "config", configuration(9, routes=[route("safe")]))
            await asyncio.sleep(0.1)
            fleet.store.write("keyed.op", "config", configuration(5))
            fleet.store.write("keyed.op", "config", b"{")
            fleet.store.write("keyed.op", "other", configuration(20))
            await asyncio.sleep(0.1)
            return (await fleet.ask("unsafe")).status, (await fleet.ask("safe")).status

        self.assertEqual(self.run_scenario(scenario), (404, 200))

    def test_revoked_key_is_refused(self):
        async def scenario(fleet):
            before = (await fleet.ask()).status
            tenants = [{"name": "reef", "api_keys": []}]
            fleet.store.write("keyed.op", "config", configuration(4, tenants=tenants))
            await asyncio.sleep(0.1)
            return before, (await fleet.ask()).status

        self.assertEqual(self.run_scenario(scenario), (200, 401))

    def test_poll_lost_in_a_store_outage_is_renewed(self):
        async def scenario(fleet):
            fleet.store.fault_for_call = lambda path: "hang"
            fleet.network.drop_data_on_links_to("10.0.9.1:80")
            await asyncio.sleep(6.0)
            fleet.store.fault_for_call = None
            await asyncio.sleep(3.0)
            fleet.store.write("keyed.op", "config", configuration(4, routes=[route("safe")]))
            await asyncio.sleep(1.0)
            return (await fleet.ask("unsafe")).status

        self.assertEqual(self.run_scenario(scenario), 404)

    def test_silent_store_connection_is_replaced(self):
        async def scenario(fleet):
            fleet.network.drop_data_on_links_to("10.0.9.1:80")
            await asyncio.sleep(3.0)
            fleet.register(fleet.targets["t-1"], state="draining")
            await asyncio.sleep(1.0)
            return await self.serving_targets(fleet)

        self.assertEqual(self.run_scenario(scenario), {"t-2"})


class ReloadTest(GatewayCase):
    def test_bounds_that_a_reload_shortens_shorten_the_reads_of_registrations(self):
        async def scenario(fleet):
            gateway = fleet.gateways[0]
            bounds = replace(gateway._node.bounds, target_drain_s=0.4)
            node = replace(gateway._node, bounds=bounds)
            await asyncio.sleep(2.0)
            before = len(fleet.store.calls)
            await asyncio.sleep(4.0)
            usual = len(fleet.store.calls) - before
            gateway.apply_node_settings(node, gateway.settings_revision)
            await asyncio.sleep(4.0)
            return usual, len(fleet.store.calls) - before - usual

        usual, shortened = self.run_scenario(scenario)
        self.assertGreater(shortened, 2 * usual)
