"""Tests of starts and peers of different eras while the store comes back from an older copy."""

import asyncio
import json
from dataclasses import replace

from cicadatiller.channels import decode, encode
from cicadatiller.gateway._followers import ERA_READ_JITTER_S
from cicadatiller.mesh import TopicPage, TopicRequest, Update, unpack_records
from cicadatiller.mesh._messages import CompactUpdate

from .support.eras import REREAD_S, EraCase
from .support.gateways import configuration


class StartTest(EraCase):
    """Entries start while the store comes back."""

    def test_all_entries_start_while_the_era_rises(self):
        async def scenario(fleet):
            fleet.store.delay_for_call = lambda path: 0.3
            copy = fleet.store.copy()
            for _ in range(4):
                await fleet.add_gateway()
            await asyncio.sleep(0.4)
            self.write_config(fleet, 4)
            fleet.store.restore(copy)
            self.write_config(fleet, 5)
            await asyncio.sleep(8.0)
            ready = [await fleet.readiness(entry) for entry in range(4)]
            return ready, self.versions(fleet), self.listed_entries(fleet)

        ready, versions, listed = self.run_scenario(scenario, entries=0)
        self.assertEqual(ready, [200] * 4)
        self.assertEqual(versions, [5] * 4)
        self.assertEqual(listed, [f"front-{number}" for number in range(4)])

    def test_entry_that_starts_in_the_gap_learns_the_newer_configuration_from_a_peer(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.write_config(fleet, 9)
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            await asyncio.sleep(1.0)
            await fleet.restart(1)
            await asyncio.sleep(2.0)
            versions = self.versions(fleet)
            await fleet.restart(0)
            await asyncio.sleep(2.0)
            return versions, self.versions(fleet)

        self.assertEqual(self.run_scenario(scenario, entries=2), ([9, 9], [9, 9]))

    def test_entry_that_starts_before_its_peers_know_the_era_learns_the_configuration(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.write_config(fleet, 9)
            await asyncio.sleep(1.0)
            fleet.logs[0].is_refused = True
            await fleet.kill(1)
            fleet.store.restore(copy)
            await fleet.restart(1)
            await asyncio.sleep(3.0)
            return self.versions(fleet)

        self.assertEqual(self.run_scenario(scenario, entries=2), [9, 9])

    def test_entry_that_starts_in_the_gap_does_not_use_targets_that_left_or_drain(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            fleet.register(fleet.targets["t-1"], state="draining", sequence=2)
            fleet.store.write("keyed.servers", "t-2", None)
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            await asyncio.sleep(1.0)
            await fleet.restart(1)
            await asyncio.sleep(2.0)
            return await self.used_targets(fleet, entry=1)

        used = self.run_scenario(scenario, entries=2, targets=("pool",) * 3)
        self.assertEqual(used, {"t-3"})

    def test_entry_that_starts_in_the_gap_from_peers_alone_does_not_use_targets_that_left(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            fleet.store.write("keyed.servers", "t-2", None)
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            await asyncio.sleep(1.0)
            await fleet.restart(1, is_refused=True)
            await asyncio.sleep(2.0)
            used = await self.used_targets(fleet, entry=1)
            fleet.logs[1].is_refused = False
            await asyncio.sleep(2.0)
            fleet.store.drop_history("keyed.servers")
            self.grow(fleet, "keyed.servers", 1)
            await asyncio.sleep(2.0)
            return used | await self.used_targets(fleet, entry=1)

        self.assertEqual(self.run_scenario(scenario, entries=2), {"t-1"})


class SidesTest(EraCase):
    """Entries see the new era at different times."""

    def test_entry_without_the_store_learns_the_era_from_a_peer(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.grow(fleet, "keyed.op")
            self.grow(fleet, "keyed.servers")
            await asyncio.sleep(1.0)
            fleet.logs[1].is_refused = True
            fleet.store.restore(copy)
            self.write_config(fleet, 5)
            fleet.register(fleet.targets["t-1"], state="draining", sequence=2)
            await asyncio.sleep(5.0)
            return self.versions(fleet), await self.used_targets(fleet, entry=1)

        versions, used = self.run_scenario(scenario, entries=2)
        self.assertEqual(versions, [5, 5])
        self.assertEqual(used, {"t-2"})

    def test_answers_from_before_do_not_drag_an_entry_back(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.grow(fleet, "keyed.servers")
            await asyncio.sleep(1.0)
            late = iter([1.5] * 4)
            fleet.store.delay_for_call = lambda path: next(late, 0.0)
            await asyncio.sleep(0.5)
            fleet.store.restore(copy)
            fleet.register(fleet.targets["t-1"], state="draining", sequence=2)
            await asyncio.sleep(REREAD_S)
            self.write_config(fleet, 5)
            await asyncio.sleep(1.0)
            used = [await self.used_targets(fleet, entry=entry) for entry in range(3)]
            return used, self.versions(fleet)

        used, versions = self.run_scenario(scenario, entries=3)
        self.assertEqual(used, [{"t-2"}] * 3)
        self.assertEqual(versions, [5] * 3)

    def test_era_rises_twice_within_two_seconds(self):
        async def scenario(fleet):
            first = fleet.store.copy()
            self.write_config(fleet, 4)
            self.grow(fleet, "keyed.servers")
            await asyncio.sleep(1.0)
            second = fleet.store.copy()
            self.write_config(fleet, 6)
            fleet.register(fleet.targets["t-1"], state="draining", sequence=2)
            await asyncio.sleep(1.0)
            calls = len(fleet.store.calls)
            fleet.store.restore(second)
            await asyncio.sleep(1.2)
            fleet.store.restore(first)
            lowest = await self.watch(fleet, 3.0)
            calls = len(fleet.store.calls) - calls
            self.write_config(fleet, 7)
            await asyncio.sleep(1.0)
            used = [await self.used_targets(fleet, entry=entry) for entry in range(3)]
            return lowest, self.versions(fleet), used, calls

        lowest, versions, used, calls = self.run_scenario(scenario, entries=3)
        self.assertEqual(lowest, [6] * 3)
        self.assertEqual(versions, [7] * 3)
        self.assertEqual(used, [{"t-2"}] * 3)
        self.assertLess(calls, 100)

    def test_long_poll_that_gets_410_reads_the_copy_soon(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.grow(fleet, "keyed.op")
            await asyncio.sleep(2.0)
            copy["keyed.op"].append(("config", json.dumps(configuration(8)).encode()))
            fleet.store.restore(copy)
            await asyncio.sleep(ERA_READ_JITTER_S + 0.1)
            return self.versions(fleet)

        self.assertEqual(self.run_scenario(scenario, entries=2), [8, 8])


class OldPeersTest(EraCase):
    """Peers whose version of the program knows no eras."""

    def strip_eras(self, source, destination, frame):
        """Pass on the frame as an older version sends it."""
        message = decode(frame)
        if isinstance(message, CompactUpdate):
            fields = message.fields[:9]
            if len(fields) > 4:
                fields = [*fields[:4], [row[:4] for row in fields[4]], *fields[5:]]
            message = CompactUpdate(fields=fields)
        elif isinstance(message, Update):
            news = tuple(replace(row, era=0) for row in message.news)
            message = replace(message, known_eras=(), news=news)
        elif isinstance(message, TopicRequest):
            message = replace(message, era=None, wants_held=False)
        elif isinstance(message, TopicPage):
            message = replace(message, era=0, held=b"")
        return [encode(message)]

    def test_old_peers_do_not_drag_an_entry_back(self):
        async def scenario(fleet):
            fleet.peers.filter = self.strip_eras
            copy = fleet.store.copy()
            self.grow(fleet, "keyed.op")
            self.grow(fleet, "keyed.servers")
            await asyncio.sleep(2.0)
            fleet.logs[0].is_refused = True
            fleet.store.restore(copy)
            await asyncio.sleep(REREAD_S)
            self.write_config(fleet, 5)
            fleet.register(fleet.targets["t-1"], state="draining", sequence=2)
            calls = len(fleet.store.calls)
            await asyncio.sleep(3.0)
            used = await self.used_targets(fleet, entry=1)
            return self.versions(fleet)[1], used, len(fleet.store.calls) - calls

        version, used, calls = self.run_scenario(scenario, entries=2)
        self.assertEqual(version, 5)
        self.assertEqual(used, {"t-2"})
        self.assertLess(calls, 60)

    def test_old_peer_that_asks_gets_records_by_their_offset(self):
        async def scenario(fleet):
            fleet.store.restore(fleet.store.copy())
            await asyncio.sleep(REREAD_S)
            self.write_config(fleet, 5)
            await asyncio.sleep(1.0)
            request = TopicRequest(topic="configuration", from_offset=1, complete_until=1)
            page = fleet.gateways[0].peer_sync.topic_page(request)
            return page.next_offset, page.is_complete, len(unpack_records(page.records))

        self.assertEqual(self.run_scenario(scenario), (2, False, 1))

    def test_entry_that_starts_without_the_store_learns_from_an_old_peer(self):
        async def scenario(fleet):
            fleet.peers.filter = self.strip_eras
            await fleet.restart(1, is_refused=True)
            await asyncio.sleep(2.0)
            status = (await fleet.ask(entry=1)).status
            fleet.logs[1].is_refused = False
            self.write_config(fleet, 5)
            await asyncio.sleep(2.0)
            return status, self.versions(fleet)

        self.assertEqual(self.run_scenario(scenario, entries=2), (200, [5, 5]))
