"""Tests of entries whose store comes back from an older copy, with offsets that are given out again."""

import asyncio

from cicadatiller.fleet import KeyedPage, KeyedRecord
from cicadatiller.gateway._members import UNLISTED_GRACE_S as ENTRY_GRACE_S
from cicadatiller.gateway._members import MemberSink
from cicadatiller.gateway._target_sink import DEPARTURE_HOLD_S, UNLISTED_GRACE_S
from cicadatiller.kernel import UnreadableRecords

from .support.eras import OTHER_KEY, REREAD_S, TWO_KEYS, EraCase
from .support.gateways import configuration
from .support.paused_loop import PausedCase


class CalmTest(EraCase):
    """The era rises with lower offsets while nothing else happens."""

    def test_what_is_written_after_the_restore_is_seen_at_once(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.grow(fleet, "keyed.op")
            self.grow(fleet, "keyed.servers")
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            await asyncio.sleep(REREAD_S)
            self.write_config(fleet, 5)
            await fleet.add_target("pool")
            await asyncio.sleep(1.0)
            used = [await self.used_targets(fleet, 16, entry=entry) for entry in range(3)]
            return self.versions(fleet), set.intersection(*used)

        versions, used = self.run_scenario(scenario, entries=3)
        self.assertEqual(versions, [5, 5, 5])
        self.assertIn("t-3", used)

    def test_store_calls_stay_bounded(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.grow(fleet, "keyed.op")
            self.grow(fleet, "keyed.servers")
            await asyncio.sleep(1.0)
            calls = len(fleet.store.calls)
            await asyncio.sleep(10.0)
            usual = len(fleet.store.calls) - calls
            fleet.store.restore(copy)
            await asyncio.sleep(10.0)
            return len(fleet.store.calls) - calls - usual, usual

        after, usual = self.run_scenario(scenario, entries=3)
        self.assertLess(after, usual + 30)

    def test_entries_spread_their_reads_of_the_copy(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.grow(fleet, "keyed.op")
            await asyncio.sleep(1.0)
            times_s = []

            def record(path):
                if path == "/log-newest":
                    times_s.append(fleet.loop.time())

            fleet.store.fault_for_call = record
            fleet.store.restore(copy)
            await asyncio.sleep(1.0)
            return len(times_s), max(times_s) - min(times_s)

        reads, spread_s = self.run_scenario(scenario, entries=6)
        # An entry that waits may get the records from a peer instead.
        self.assertLessEqual(reads, 3 * 6)
        self.assertGreater(spread_s, 0.15)

    def test_offsets_that_pass_the_old_ones_are_no_sign_of_known_records(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.grow(fleet, "keyed.op", 4)
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            self.write_config(fleet, 6)
            self.grow(fleet, "keyed.op", 8)
            await asyncio.sleep(REREAD_S)
            return self.versions(fleet)

        self.assertEqual(self.run_scenario(scenario, entries=2), [6, 6])

    def test_acknowledged_configuration_stays_until_it_is_repeated_under_another_offset(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.write_config(fleet, 4)
            self.write_config(fleet, 7)
            await asyncio.sleep(0.5)
            fleet.store.restore(copy)
            lowest = await self.watch(fleet, 4.0)
            self.write_config(fleet, 7)
            lowest += await self.watch(fleet, 2.0)
            self.write_config(fleet, 8)
            await asyncio.sleep(1.0)
            return lowest, self.versions(fleet)

        lowest, versions = self.run_scenario(scenario, entries=2)
        self.assertEqual(set(lowest), {7})
        self.assertEqual(versions, [8, 8])

    def test_key_that_was_taken_away_stays_away(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.write_config(fleet, 6)
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            await asyncio.sleep(REREAD_S)
            return [(await fleet.ask(entry=entry, key=OTHER_KEY)).status for entry in (0, 1)]

        config = configuration(3, tenants=TWO_KEYS)
        self.assertEqual(self.run_scenario(scenario, entries=2, config=config), [401, 401])

    def test_followers_of_a_store_without_eras_work_as_before(self):
        async def scenario(fleet):
            fleet.store.era = None
            self.write_config(fleet, 4)
            await fleet.restart(0)
            await asyncio.sleep(1.5)
            self.write_config(fleet, 5)
            await asyncio.sleep(0.5)
            return self.versions(fleet)

        self.assertEqual(self.run_scenario(scenario), [5])

    def test_metrics_show_era_and_offset(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.grow(fleet, "keyed.op")
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            await asyncio.sleep(REREAD_S)
            page = await fleet.page("10.0.0.1", 9464, "/metrics")
            return page.body.decode()

        text = self.run_scenario(scenario)
        self.assertIn("cicadatiller_store_era 2.0", text)
        self.assertIn("cicadatiller_store_offset_configuration 1.0", text)


class RegistrationTest(EraCase):
    """Entries write again what the copy lacks of theirs."""

    def test_each_entry_registers_again_once(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            copy["keyed.status"] = copy["keyed.status"][:1]
            before = self.appends(fleet)
            fleet.store.restore(copy)
            await asyncio.sleep(8.0)
            peers = [len(gateway.known_entries) for gateway in fleet.gateways]
            return self.appends(fleet) - before, self.listed_entries(fleet), peers

        appends, listed, peers = self.run_scenario(scenario, entries=4, settle_s=4.0)
        self.assertEqual(listed, [f"front-{number}" for number in range(4)])
        self.assertEqual(appends, 3)
        self.assertEqual(peers, [4] * 4)

    def test_entries_that_the_copy_lacks_stay_known_meanwhile(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            copy["keyed.status"] = []
            fewest = 4
            fleet.store.restore(copy)
            for _ in range(100):
                await asyncio.sleep(0.05)
                fewest = min(fewest, *(len(gateway.known_entries) for gateway in fleet.gateways))
            return fewest

        self.assertEqual(self.run_scenario(scenario, entries=4, settle_s=4.0), 4)

    def test_entry_that_is_gone_leaves_after_a_grace_if_the_copy_lacks_it(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            copy["keyed.status"] = []
            await fleet.kill(2)
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            await asyncio.sleep(15.0)
            return [len(gateway.known_entries) for gateway in fleet.gateways[:2]]

        self.assertEqual(self.run_scenario(scenario, entries=3, settle_s=4.0), [2, 2])

    def test_removal_of_a_gone_entry_is_written_again_once(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            await fleet.kill(2)
            await asyncio.sleep(70.0)
            removed = self.listed_entries(fleet)
            before = self.appends(fleet)
            fleet.store.restore(copy)
            known = 0
            for _ in range(100):
                await asyncio.sleep(0.05)
                known = max(known, *(len(g.known_entries) for g in fleet.gateways[:2]))
            return removed, self.listed_entries(fleet), self.appends(fleet) - before, known

        removed, listed, appends, known = self.run_scenario(scenario, entries=3, settle_s=4.0)
        self.assertEqual(removed, ["front-0", "front-1"])
        self.assertEqual(listed, ["front-0", "front-1"])
        self.assertEqual(appends, 1)
        self.assertEqual(known, 2)

    def test_registration_whose_answer_was_lost_just_before_the_restore_is_written(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            lost = []

            def lose_appends(path):
                lost.append(path)
                return "lose" if path == "/log-append" else None

            fleet.store.fault_for_call = lose_appends
            await fleet.add_gateway()
            while "/log-append" not in lost:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            listed = self.listed_entries(fleet)
            fleet.store.restore(copy)
            fleet.store.fault_for_call = None
            await asyncio.sleep(6.0)
            return listed, self.listed_entries(fleet)

        listed, later = self.run_scenario(scenario, entries=2, settle_s=4.0)
        self.assertIn("front-2", listed)
        self.assertEqual(later, ["front-0", "front-1", "front-2"])


class MemberSinkTest(PausedCase):
    """Full reads in the era of a copy show the copy's records, too."""

    def test_full_reads_do_not_end_what_is_kept_against_the_copy(self):
        def page(names, end):
            records = tuple(
                KeyedRecord(offset=offset, key=name, value=b'{"peer_address": "10.0.0.1:80"}')
                for name, offset in names.items()
            )
            return KeyedPage(records=records, next_offset=end, era=2)

        async def scenario():
            sink = MemberSink(on_change=lambda: None, unreadable=UnreadableRecords())
            sink.replace(page({"a": 0, "gone": 1, "late": 2}, 3))
            sink.apply(KeyedRecord(offset=3, key="gone", value=None))
            sink.merge(page({"a": 0, "gone": 1}, 2), before={})
            sink.replace(page({"a": 2, "gone": 1}, 3))
            kept = set(sink.addresses), sink.is_listed_again("gone")
            await asyncio.sleep(ENTRY_GRACE_S + 1.0)
            sink.replace(page({"a": 2, "gone": 3}, 4))
            return kept, set(sink.addresses), sink.is_listed_again("gone")

        kept, later, is_lost = self.run_paused(scenario())
        self.assertEqual(kept, ({"a", "late"}, True))
        self.assertEqual(later, {"a", "gone"})
        self.assertFalse(is_lost)


class TargetsTest(EraCase):
    """The copy lists targets as they were some seconds ago."""

    async def used_by_all(self, fleet, entries, seconds=6.0):
        """Return the targets that entries use over some seconds."""
        used = set()
        for _ in range(round(seconds)):
            await asyncio.sleep(1.0)
            for entry in range(entries):
                used |= await self.used_targets(fleet, entry=entry)
        return used

    def test_drain_acknowledged_just_before_stays_in_force(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            fleet.register(fleet.targets["t-1"], state="draining", sequence=2)
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            used = await self.used_by_all(fleet, 2)
            fleet.register(fleet.targets["t-1"], state="draining", sequence=3)
            self.grow(fleet, "keyed.status", 1)
            used |= await self.used_by_all(fleet, 2)
            return used

        self.assertEqual(self.run_scenario(scenario, entries=2), {"t-2"})

    def test_drain_ends_when_the_target_was_born_again(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            fleet.register(fleet.targets["t-1"], state="draining", sequence=2)
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            await asyncio.sleep(REREAD_S)
            fleet.register(fleet.targets["t-1"], born=1_700_000_009_000)
            return await self.used_by_all(fleet, 2, seconds=2.0)

        self.assertEqual(self.run_scenario(scenario, entries=2), {"t-1", "t-2"})

    def test_target_that_left_does_not_come_back_with_the_copy(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            fleet.store.write("keyed.servers", "t-1", None)
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            # Reads with records in a row make entries read the newest record of each key.
            for _ in range(20):
                fleet.register(fleet.targets["t-2"])
                await asyncio.sleep(0.2)
            used = await self.used_by_all(fleet, 2)
            fleet.register(fleet.targets["t-1"], sequence=2)
            await asyncio.sleep(1.0)
            return used, await self.used_by_all(fleet, 2, seconds=1.0)

        used, later = self.run_scenario(scenario, entries=2)
        self.assertEqual(used, {"t-2"})
        self.assertEqual(later, {"t-1", "t-2"})

    def test_target_that_left_is_used_after_the_hold_if_it_is_still_listed(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            fleet.store.write("keyed.servers", "t-1", None)
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            await asyncio.sleep(DEPARTURE_HOLD_S + 2.0)
            return await self.used_targets(fleet)

        self.assertEqual(self.run_scenario(scenario), {"t-1", "t-2"})

    def test_target_that_the_copy_lacks_stays_in_use_until_its_grace_ends(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            await fleet.add_target("pool")
            await fleet.add_target("pool")
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            await asyncio.sleep(REREAD_S)
            meanwhile = await self.used_targets(fleet, 16)
            fleet.register(fleet.targets["t-3"])
            self.grow(fleet, "keyed.servers", 3)
            await asyncio.sleep(UNLISTED_GRACE_S)
            return meanwhile, await self.used_targets(fleet, 16)

        meanwhile, later = self.run_scenario(scenario)
        self.assertEqual(meanwhile, {"t-1", "t-2", "t-3", "t-4"})
        self.assertEqual(later, {"t-1", "t-2", "t-3"})

    def test_older_run_in_the_copy_does_not_replace_the_newer_one(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            fleet.register(fleet.targets["t-1"], born=1_700_000_009_000, address="10.0.1.2:80")
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            return await self.used_by_all(fleet, 1)

        self.assertEqual(self.run_scenario(scenario), {"t-2"})
