"""Tests of the state that entries exchange: load, retries, registrations and configuration."""

import asyncio
import random
from collections import Counter
from unittest import mock

from cicadatiller.fleet import Topic
from cicadatiller.kernel import Event
from cicadatiller.mesh import TopicRequest, TopicUpdate, Update

from .support.gateways import GatewayFleet, configuration, route
from .support.streams import NetworkCase

ENTRIES = 3
# The platform's store takes records of 262,144 bytes with their keys.
MAX_VALUE_BYTES = 262_140


class PeerSyncCase(NetworkCase):
    def run_scenario(self, scenario, *, entries=ENTRIES, **options):
        async def run():
            fleet = GatewayFleet()
            await fleet.start(entries=entries, settle_s=2.5, **options)
            return await scenario(fleet)

        return self.run_paused(run())


class LargeRecordsTest(PeerSyncCase):
    # Guards against a large record of another writer that closes the links between entries, as the
    # one that reads it first sends it to all its peers at once.

    def test_large_records_of_another_writer_leave_the_links_open(self):
        async def scenario(fleet):
            generator = random.Random(1)
            for number in range(4):
                value = b"[" + generator.randbytes(MAX_VALUE_BYTES - 1)
                fleet.store.write("keyed.servers", f"i-{number}", value)
                await asyncio.sleep(0.7)
            await asyncio.sleep(1.0)
            last, _ = fleet.store.newest("keyed.servers")["i-3"]
            return last, [gateway.peer_sync.known_offsets() for gateway in fleet.gateways]

        with mock.patch("cicadatiller.mesh._link.log_event") as log_event:
            last, offsets = self.run_scenario(scenario)
        kinds = Counter(call.args[0] for call in log_event.mock_calls)
        self.assertEqual(kinds[Event.PEER_BACKLOG] + kinds[Event.PEER_LOST], 0)
        self.assertTrue(all(known[Topic.TARGETS.value] > last for known in offsets), offsets)


class DiscoveryTest(PeerSyncCase):
    def test_entries_discover_each_other_through_the_store(self):
        async def scenario(fleet):
            return [len(gateway.peer_sync.mesh.connected_peers) for gateway in fleet.gateways]

        self.assertEqual(self.run_scenario(scenario), [ENTRIES - 1] * ENTRIES)

    def test_new_entry_connects_and_killed_entry_is_removed(self):
        async def scenario(fleet):
            await fleet.add_gateway()
            await asyncio.sleep(1.0)
            connected = [len(gateway.peer_sync.mesh.connected_peers) for gateway in fleet.gateways]
            await fleet.kill(0)
            await asyncio.sleep(2.5)
            return connected, [
                len(gateway.peer_sync.mesh.connected_peers) for gateway in fleet.gateways[1:]
            ]

        self.assertEqual(
            self.run_scenario(scenario), ([ENTRIES] * (ENTRIES + 1), [ENTRIES - 1] * ENTRIES)
        )

    def test_unresponsive_peer_is_disconnected_and_reconnects(self):
        async def scenario(fleet):
            fleet.peers.severed = lambda source, destination: "10.0.0.1:82" in (source, destination)
            await asyncio.sleep(3.0)
            connected_while_isolated = len(fleet.gateways[0].peer_sync.mesh.connected_peers)
            fleet.peers.severed = None
            await asyncio.sleep(6.0)
            return connected_while_isolated, len(fleet.gateways[0].peer_sync.mesh.connected_peers)

        self.assertEqual(self.run_scenario(scenario), (0, ENTRIES - 1))

    def test_entries_that_gave_up_on_each_other_find_each_other_again(self):
        async def scenario(fleet):
            for log in fleet.logs:
                log.is_refused = True
            fleet.peers.severed = lambda source, destination: "10.0.0.1:82" in (source, destination)
            await asyncio.sleep(80.0)
            fleet.peers.severed = None
            await asyncio.sleep(35.0)
            return [len(gateway.peer_sync.mesh.connected_peers) for gateway in fleet.gateways]

        self.assertEqual(self.run_scenario(scenario), [ENTRIES - 1] * ENTRIES)

    def test_peers_that_were_given_up_are_forgotten(self):
        async def scenario(fleet):
            fleet.peers.severed = lambda source, destination: "10.0.0.1:82" in (source, destination)
            await asyncio.sleep(10.0)
            unheard = [set(gateway.peer_sync.unheard_s()) for gateway in fleet.gateways]
            await asyncio.sleep(70.0)
            return unheard, [gateway.peer_sync.unheard_s() for gateway in fleet.gateways]

        unheard, later = self.run_scenario(scenario)
        self.assertEqual(unheard, [{"front-1", "front-2"}, {"front-0"}, {"front-0"}])
        self.assertEqual(later, [{}] * ENTRIES)

    def test_entry_that_is_gone_for_long_is_removed_and_comes_back(self):
        async def scenario(fleet):
            await fleet.kill(0)
            await asyncio.sleep(70.0)
            removed = "front-0" not in fleet.store.newest("keyed.status")
            known = [len(gateway.known_entries) for gateway in fleet.gateways[1:]]
            await fleet.restart(0)
            await asyncio.sleep(5.0)
            back = "front-0" in fleet.store.newest("keyed.status")
            connected = [len(g.peer_sync.mesh.connected_peers) for g in fleet.gateways]
            return removed, known, back, connected

        self.assertEqual(
            self.run_scenario(scenario),
            (True, [ENTRIES - 1] * (ENTRIES - 1), True, [ENTRIES - 1] * ENTRIES),
        )

    def test_entry_that_comes_back_just_after_its_removal_is_connected(self):
        async def scenario(fleet):
            await fleet.kill(0)
            while any(len(g.known_entries) == ENTRIES for g in fleet.gateways[1:]):
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.0)
            await fleet.restart(0)
            await asyncio.sleep(5.0)
            return [len(g.peer_sync.mesh.connected_peers) for g in fleet.gateways]

        for _ in range(5):
            self.assertEqual(self.run_scenario(scenario), [ENTRIES - 1] * ENTRIES)

    def test_entry_that_starts_without_the_store_serves_soon(self):
        async def scenario(fleet):
            delays_s = []
            for _ in range(5):
                await fleet.restart(0, is_refused=True)
                began_s = fleet.loop.time()
                while (await fleet.ask(entry=0)).status != 200:
                    await asyncio.sleep(0.01)
                delays_s.append(fleet.loop.time() - began_s)
                await asyncio.sleep(3.0)
            return max(delays_s)

        self.assertLess(self.run_scenario(scenario), 0.7)

    def test_entries_share_reads_of_target_registrations(self):
        async def scenario(fleet):
            before = fleet.store.calls.count("/log-read")
            await asyncio.sleep(10)
            return fleet.store.calls.count("/log-read") - before

        # Without sharing, each entry would read them 20 times in 10 s.
        self.assertLess(self.run_scenario(scenario), 30)


class SharedWorkTest(PeerSyncCase):
    def test_all_entries_together_respect_the_slots_of_a_target(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.work_s = 0.5
            requests = []
            for number in range(24):
                requests.append(fleet.loop.create_task(fleet.ask(entry=number % ENTRIES)))
                await asyncio.sleep(0.005)
            replies = await asyncio.gather(*requests)
            return replies, [len(target.runs) for target in fleet.targets.values()]

        routes = [route("safe", target_latency_ms=2000)]
        replies, runs = self.run_scenario(scenario, config=configuration(3, routes=routes))
        self.assertEqual([reply.status for reply in replies], [200] * 24)
        self.assertLessEqual(max(reply.taken_s for reply in replies), 1.2)
        self.assertLessEqual(max(runs), 16)

    def test_work_of_a_killed_entry_is_dropped(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.work_s = 30
            requests = [fleet.loop.create_task(fleet.ask(deadline_ms=60_000)) for _ in range(16)]
            await asyncio.sleep(0.1)
            full = [gateway.board.in_flight for gateway in fleet.gateways]
            await fleet.kill(0)
            await asyncio.sleep(2.0)
            for task in requests:
                task.cancel()
            return full, [gateway.board.in_flight for gateway in fleet.gateways[1:]]

        routes = [route("safe", target_latency_ms=30_000, timeout_ms=60_000)]
        full, after = self.run_scenario(scenario, config=configuration(3, routes=routes))
        self.assertEqual((full, after), ([16] * ENTRIES, [0] * (ENTRIES - 1)))

    def test_work_of_an_unresponsive_entry_is_kept_until_its_expected_end(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.work_s = 30
            stream = fleet.loop.create_task(
                fleet.ask("stream", deadline_ms=60_000, tokens=(1000, 4000))
            )
            call = fleet.loop.create_task(fleet.ask(deadline_ms=60_000))
            await asyncio.sleep(0.1)
            fleet.peers.severed = lambda source, destination: "10.0.0.1:82" in (source, destination)
            kept = []
            for _ in range(3):
                await asyncio.sleep(2.0)
                kept.append(fleet.gateways[1].board.in_flight)
            stream.cancel()
            call.cancel()
            return kept

        routes = [
            route("safe", target_latency_ms=30_000, timeout_ms=60_000),
            route("stream", target_latency_ms=30_000, timeout_ms=60_000),
        ]
        kept = self.run_scenario(
            scenario, targets=("pool", "engines"), config=configuration(3, routes=routes)
        )
        self.assertEqual(kept, [1, 0, 0])

    def test_slot_released_by_one_entry_is_used_by_another(self):
        async def scenario(fleet):
            fleet.targets["t-1"].work_s = 1.0
            first = [fleet.loop.create_task(fleet.ask(entry=0)) for _ in range(8)]
            await asyncio.sleep(0.2)
            reply = await fleet.ask(entry=1)
            await asyncio.gather(*first)
            return reply

        routes = [route("safe", target_latency_ms=2000)]
        reply = self.run_scenario(
            scenario, targets=("pool",), config=configuration(3, routes=routes)
        )
        self.assertEqual(reply.status, 200)
        self.assertLess(reply.taken_s, 1.9)

    def test_entries_share_one_retry_budget(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.script = lambda headers, number: "error"
            for _ in range(60):
                await asyncio.gather(*(fleet.ask(entry=number) for number in range(ENTRIES)))
            return len(fleet.runs) - 60 * ENTRIES

        more = self.run_scenario(scenario)
        self.assertLessEqual(more, 0.1 * 60 * ENTRIES + 20)
        self.assertGreater(more, 10)


class StoreOutageTest(PeerSyncCase):
    def test_entry_without_store_access_is_updated_by_peers(self):
        async def scenario(fleet):
            fleet.logs[0].is_refused = True
            await asyncio.sleep(1.0)
            fleet.register(fleet.targets["t-1"], state="draining")
            tenants = [{"name": "reef", "api_keys": []}]
            fleet.store.write("keyed.op", "config", configuration(4, tenants=tenants))
            await asyncio.sleep(1.5)
            refused = await fleet.ask(entry=0)
            opened = configuration(5)
            fleet.store.write("keyed.op", "config", opened)
            await asyncio.sleep(0.5)
            await fleet.ask_many(8, entry=0)
            return refused.status, [len(target.runs) for target in fleet.targets.values()]

        self.assertEqual(self.run_scenario(scenario), (401, [0, 8]))

    def test_store_outage_of_one_entry_does_not_delay_removals_at_others(self):
        async def scenario(fleet):
            fleet.logs[0].is_refused = True
            await asyncio.sleep(3.0)
            for log in fleet.logs:
                log.is_refused = True
            fleet.logs[0].is_refused = False
            await asyncio.sleep(0.2)
            fleet.store.write("keyed.servers", "t-1", None)
            await asyncio.sleep(1.9)
            before = len(fleet.targets["t-1"].runs)
            for number in range(ENTRIES):
                await fleet.ask_many(4, entry=number)
            return len(fleet.targets["t-1"].runs) - before

        self.assertEqual(self.run_scenario(scenario), 0)

    def test_entry_started_without_store_access_is_updated_by_peers(self):
        async def scenario(fleet):
            await fleet.restart(0, is_refused=True)
            await asyncio.sleep(2.0)
            readiness = await fleet.readiness(0)
            reply = await fleet.ask(entry=0)
            return readiness, reply.status

        self.assertEqual(self.run_scenario(scenario), (200, 200))

    def test_missed_updates_are_sent_later(self):
        async def scenario(fleet):
            fleet.logs[0].is_refused = True
            fleet.peers.severed = lambda source, destination: "10.0.0.1:82" in (source, destination)
            await asyncio.sleep(2.5)
            fleet.store.write("keyed.servers", "t-1", None)
            await asyncio.sleep(2.0)
            fleet.peers.severed = None
            # Heartbeats show which peer is behind; busy links must carry them too.
            for _ in range(60):
                await fleet.ask_many(2, "unsafe", entry=1)
                await asyncio.sleep(0.1)
            before = len(fleet.targets["t-1"].runs)
            await fleet.ask_many(4, entry=0)
            return len(fleet.targets["t-1"].runs) - before

        self.assertEqual(self.run_scenario(scenario), 0)

    def test_known_offsets_cover_the_shared_topics(self):
        async def scenario(fleet):
            return fleet.gateways[0].peer_sync.known_offsets()

        offsets = self.run_scenario(scenario)
        # Of the evidence there is one record, which is read at the start and before each write.
        self.assertEqual(set(offsets), {topic.value for topic in Topic} - {Topic.EVIDENCE.value})

    def test_topics_of_newer_versions_are_ignored(self):
        async def scenario(fleet):
            sync = fleet.gateways[0].peer_sync
            newer = TopicUpdate(topic="newer", next_offset=9, from_offset=3)
            known = sync.known_offsets()
            sync.apply_update("front-1", Update(news=(newer,), known_offsets={"newer": 9}))
            return known, sync.known_offsets(), sync.topic_page(TopicRequest(topic="newer"))

        known, known_after, page = self.run_scenario(scenario)
        self.assertEqual(known, known_after)
        self.assertIsNone(page)
