"""What entries tell each other, and what they do with it."""

import asyncio

from cicadatiller.fleet import Topic

from .support.gateways import GatewayFleet, configuration, route
from .support.streams import NetworkCase

ENTRIES = 3


class TeamCase(NetworkCase):
    def play(self, scenario, *, entries=ENTRIES, **options):
        async def run():
            fleet = GatewayFleet()
            await fleet.start(entries=entries, settle_s=2.5, **options)
            return await scenario(fleet)

        return self.run_paused(run())


class MeetingTest(TeamCase):
    def test_entries_find_each_other_through_the_store(self):
        async def scenario(fleet):
            return [len(gateway.team.mesh.heard_peers) for gateway in fleet.gateways]

        self.assertEqual(self.play(scenario), [ENTRIES - 1] * ENTRIES)

    def test_one_that_starts_later_is_heard_and_one_that_is_killed_is_forgotten(self):
        async def scenario(fleet):
            await fleet.add_gateway()
            await asyncio.sleep(1.0)
            heard = [len(gateway.team.mesh.heard_peers) for gateway in fleet.gateways]
            await fleet.kill(0)
            await asyncio.sleep(2.5)
            return heard, [len(gateway.team.mesh.heard_peers) for gateway in fleet.gateways[1:]]

        self.assertEqual(self.play(scenario), ([ENTRIES] * (ENTRIES + 1), [ENTRIES - 1] * ENTRIES))

    def test_a_peer_that_falls_silent_is_given_up_and_heard_again(self):
        async def scenario(fleet):
            fleet.peers.severed = lambda source, destination: "10.0.0.1:82" in (source, destination)
            await asyncio.sleep(3.0)
            alone = len(fleet.gateways[0].team.mesh.heard_peers)
            fleet.peers.severed = None
            await asyncio.sleep(6.0)
            return alone, len(fleet.gateways[0].team.mesh.heard_peers)

        self.assertEqual(self.play(scenario), (0, ENTRIES - 1))

    def test_they_read_the_targets_entries_for_each_other(self):
        async def scenario(fleet):
            before = fleet.store.calls.count("/log-read")
            await asyncio.sleep(10)
            return fleet.store.calls.count("/log-read") - before

        # Each by itself would read them 20 times in 10 s.
        self.assertLess(self.play(scenario), 30)


class SharedWorkTest(TeamCase):
    def test_no_target_gets_more_than_its_slots_from_all_entries_together(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.work_s = 0.5
            asking = []
            for number in range(24):
                asking.append(fleet.loop.create_task(fleet.ask(entry=number % ENTRIES)))
                await asyncio.sleep(0.005)
            replies = await asyncio.gather(*asking)
            return replies, [len(target.runs) for target in fleet.targets.values()]

        routes = [route("safe", target_latency_ms=2000)]
        replies, runs = self.play(scenario, config=configuration(3, routes=routes))
        self.assertEqual([reply.status for reply in replies], [200] * 24)
        self.assertLessEqual(max(reply.taken_s for reply in replies), 1.2)
        self.assertLessEqual(max(runs), 16)

    def test_the_work_of_an_entry_that_is_gone_is_forgotten(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.work_s = 30
            asking = [fleet.loop.create_task(fleet.ask(deadline_ms=60_000)) for _ in range(16)]
            await asyncio.sleep(0.1)
            full = [gateway.board.in_flight for gateway in fleet.gateways]
            await fleet.kill(0)
            await asyncio.sleep(2.0)
            for task in asking:
                task.cancel()
            return full, [gateway.board.in_flight for gateway in fleet.gateways[1:]]

        routes = [route("safe", target_latency_ms=30_000, timeout_ms=60_000)]
        full, after = self.play(scenario, config=configuration(3, routes=routes))
        self.assertEqual((full, after), ([16] * ENTRIES, [0] * (ENTRIES - 1)))

    def test_the_work_of_a_silent_entry_is_kept_until_it_should_have_ended(self):
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
        kept = self.play(
            scenario, targets=("pool", "engines"), config=configuration(3, routes=routes)
        )
        self.assertEqual(kept, [1, 0, 0])

    def test_what_ends_at_one_entry_lets_another_go_on(self):
        async def scenario(fleet):
            fleet.targets["t-1"].work_s = 1.0
            first = [fleet.loop.create_task(fleet.ask(entry=0)) for _ in range(8)]
            await asyncio.sleep(0.2)
            reply = await fleet.ask(entry=1)
            await asyncio.gather(*first)
            return reply

        routes = [route("safe", target_latency_ms=2000)]
        reply = self.play(scenario, targets=("pool",), config=configuration(3, routes=routes))
        self.assertEqual(reply.status, 200)
        self.assertLess(reply.taken_s, 1.9)

    def test_the_retry_budget_is_one_for_all(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.script = lambda headers, number: "error"
            for _ in range(60):
                await asyncio.gather(*(fleet.ask(entry=number) for number in range(ENTRIES)))
            return len(fleet.runs) - 60 * ENTRIES

        more = self.play(scenario)
        self.assertLessEqual(more, 0.1 * 60 * ENTRIES + 20)
        self.assertGreater(more, 10)


class CutOffTest(TeamCase):
    def test_an_entry_that_the_store_refuses_learns_from_its_peers(self):
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

        self.assertEqual(self.play(scenario), (401, [0, 8]))

    def test_one_entry_that_was_refused_does_not_make_others_doubt_removals(self):
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

        self.assertEqual(self.play(scenario), 0)

    def test_an_entry_that_starts_while_the_store_is_away_learns_from_its_peers(self):
        async def scenario(fleet):
            await fleet.add_gateway(is_refused=True)
            for gateway in fleet.gateways[:ENTRIES]:
                gateway.team.mesh.meet(f"10.0.0.{ENTRIES + 1}:82")
            await asyncio.sleep(2.0)
            readiness = await fleet.readiness(ENTRIES)
            reply = await fleet.ask(entry=ENTRIES)
            return readiness, reply.status

        self.assertEqual(self.play(scenario), (200, 200))

    def test_news_that_was_missed_is_made_up_for(self):
        async def scenario(fleet):
            fleet.logs[0].is_refused = True
            fleet.peers.severed = lambda source, destination: "10.0.0.1:82" in (source, destination)
            await asyncio.sleep(2.5)
            fleet.store.write("keyed.servers", "t-1", None)
            await asyncio.sleep(2.0)
            fleet.peers.severed = None
            # Links that are never idle must carry what tells who is behind, too.
            for _ in range(60):
                await fleet.ask_many(2, "unsafe", entry=1)
                await asyncio.sleep(0.1)
            before = len(fleet.targets["t-1"].runs)
            await fleet.ask_many(4, entry=0)
            return len(fleet.targets["t-1"].runs) - before

        self.assertEqual(self.play(scenario), 0)

    def test_offsets_tell_which_topics_are_behind(self):
        async def scenario(fleet):
            return fleet.gateways[0].team.known_offsets()

        offsets = self.play(scenario)
        self.assertEqual(set(offsets), {Topic.CONFIGURATION.value, Topic.TARGETS.value})
