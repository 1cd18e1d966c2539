"""Tests of how a change reaches every process, with and without the log."""

import asyncio
from unittest import mock

from cicadatiller.config import CONFIG_STREAM, encode_record
from cicadatiller.entry._peers import MAX_IDLE_PING_S
from cicadatiller.kernel import ErrorKind, FailureError
from cicadatiller.standins import EngineModel, EngineStandin

from .support import PausedCase
from .support.configuration import change, edit
from .support.spread import MODEL_BODY, PartitionableFleet


def _is_followed(entry, address):
    connection = entry.pool._connections.get(address)
    return connection is not None and connection.is_followed


class SpreadTest(PausedCase):
    def run_fleet(self, scenario, **fields):
        async def run():
            async with PartitionableFleet(**fields) as fleet:
                await asyncio.sleep(5)
                await scenario(fleet)
                self.assertEqual(fleet.regressions, [])
                for store in fleet.stores():
                    self.assertEqual(store.state.audit[0].change_id, "setup")

        self.run_paused(run())

    def test_change_reaches_every_process_within_five_seconds(self):
        async def scenario(fleet):
            for number in range(5):
                await fleet.publish(f"v{number + 2}")
                await fleet.seconds_until(f"v{number + 2}", 5.0)

        # At the target's size, load reports are too rare to spread a change in time.
        with mock.patch("cicadatiller.entry._peers.MIN_IDLE_PING_S", MAX_IDLE_PING_S):
            self.run_fleet(scenario, engines=6, entries=3)

    def test_each_sidecar_follows_one_entry_and_no_entry_has_most(self):
        async def scenario(fleet):
            for number in (1, 2):
                await fleet.add_entry(number)
            await asyncio.sleep(15)
            followed = [
                [address for address in fleet.addresses.values() if _is_followed(entry, address)]
                for entry in fleet.entries
            ]
            self.assertEqual(sorted(sum(followed, [])), sorted(fleet.addresses.values()))
            for addresses in followed:
                self.assertIn(len(addresses), range(2, 13))

        self.run_fleet(scenario, engines=17, entries=1)

    def test_followed_entry_gets_reports_of_a_change_at_once(self):
        async def scenario(fleet):
            await asyncio.sleep(15)
            await fleet.publish("v2")
            # One sidecar reads the change from the log before the entry sends it.
            (change,) = (
                await fleet.shared_log.read(CONFIG_STREAM, fleet.entries[0].store.state.offset)
            ).records
            self.assertTrue(fleet.sidecars["engine-0"].store.advance([change]))
            await fleet.seconds_until("v2", 1.0)
            await asyncio.sleep(0.1)
            offset = fleet.entries[0].store.state.offset
            reported = [target.load.config_offset for target in fleet.entries[0].view.targets()]
            self.assertEqual(reported, [offset] * len(fleet.sidecars))

        self.run_fleet(scenario, engines=6, entries=1)

    def test_processes_without_the_log_are_updated_by_peers(self):
        for names in (
            ("entry-1",),
            ("entry-1", "engine-0", "engine-1"),
            ("entry-1", "engine-0", "engine-1", "engine-2", "service-0"),
        ):

            async def scenario(fleet, names=names):
                for name in names:
                    fleet.partitionable_logs[name].cut = True
                await fleet.publish("v2")
                await fleet.seconds_until("v2", 5.0)

            with self.subTest(names=names):
                self.run_fleet(scenario, engines=3, entries=2)

    def test_sidecars_following_an_entry_without_the_log_are_updated_by_another(self):
        async def scenario(fleet):
            # All sidecars follow the first entry, the only one when they started.
            await fleet.add_entry(1)
            await asyncio.sleep(15)
            for name in ("entry-0", *fleet.sidecars):
                fleet.partitionable_logs[name].cut = True
            await fleet.publish("v2", entry=1)
            await fleet.seconds_until("v2", 15.0)

        self.run_fleet(scenario, engines=3, entries=1)

    def test_sidecar_sends_records_that_entries_lack(self):
        async def scenario(fleet):
            for name in ("entry-0", "entry-1"):
                fleet.partitionable_logs[name].cut = True
            content = change("v2", edit("model", "glacier", MODEL_BODY | {"version": "v2"}))
            await fleet.shared_log.append(CONFIG_STREAM, encode_record(content))
            await fleet.seconds_until("v2", 15.0)

        self.run_fleet(scenario, engines=2, entries=2)

    def test_sidecars_without_entries_converge(self):
        async def scenario(fleet):
            for entry in fleet.entries:
                await entry.close()
            fleet.entries.clear()
            content = change("v2", edit("model", "glacier", MODEL_BODY | {"version": "v2"}))
            await fleet.shared_log.append(CONFIG_STREAM, encode_record(content))
            await fleet.seconds_until("v2", 15.0)

        self.run_fleet(scenario, engines=3, entries=2)

    def test_processes_started_in_an_outage_are_updated_by_peers(self):
        async def scenario(fleet):
            fleet.shared_log.down = True
            entry = await fleet.add_entry(7)
            address = "10.0.0.9:9000"
            engine = EngineStandin(address=address, model=EngineModel(), peers=fleet.engines.get)
            await fleet.add_sidecar("engine-8", engine=engine, number=8)
            await fleet.seconds_until("v1", 15.0)
            self.assertEqual(entry.store.state, fleet.entries[0].store.state)

        self.run_fleet(scenario, engines=2, entries=1)

    def test_configuration_survives_an_hour_long_outage(self):
        async def scenario(fleet):
            fleet.shared_log.down = True
            before = [store.state for store in fleet.stores()]
            for _ in range(6):
                with self.assertRaises(FailureError) as caught:
                    await fleet.publish("v2")
                self.assertIs(caught.exception.failure.kind, ErrorKind.CHANGE_NOT_SENT)
                await asyncio.sleep(600)
            self.assertEqual([store.state for store in fleet.stores()], before)
            fleet.shared_log.down = False
            await fleet.publish("v2")
            await fleet.seconds_until("v2", 15.0)

        self.run_fleet(scenario, engines=2, entries=2)

    def test_an_entry_far_behind_a_trimmed_log_catches_up(self):
        async def scenario(fleet):
            for number in range(700):
                await fleet.publish(f"v{number + 2}")
            fleet.shared_log.trim(CONFIG_STREAM, 650)
            # The log has no snapshot, so the entry can catch up only from the sidecars.
            late = await fleet.add_entry(9)
            await fleet.seconds_until("v701", 15.0)
            self.assertEqual(late.store.state, fleet.entries[0].store.state)
            self.assertEqual(len(late.store.state.audit), 701)

        self.run_fleet(scenario, engines=2, entries=2)
