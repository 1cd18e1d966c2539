"""Tests of data centres that the operator evacuates."""

import asyncio

from cicadatiller.evacuation._sink import LOST_RECORD_HOLD_S, EvacuationSink
from cicadatiller.fleet import KeyedPage, KeyedRecord
from cicadatiller.kernel import Event
from cicadatiller.platform import PlatformDocuments

from .support.eras import REREAD_S, EraCase
from .support.gateways import ZONES, configuration, route
from .support.paused_loop import PausedCase

# The bound of the deployment within which an evacuation has to be in force.
EVACUATE_S = 5.0
POOL = ("pool",) * 6
ENGINES = ("engines",) * 6
# Requests at once for which the targets of two data centres have too few slots.
ALL_DATA_CENTRES = 44
LONG_PROMPT = (500_000, 400)
LONG_ROUTES = [
    route("stream", target_latency_ms=3000, gap_target_ms=1000, timeout_ms=15_000, max_attempts=2)
]


class EvacuationCase(EraCase):
    def evacuate(self, fleet, data_centre):
        fleet.store.write("keyed.op", f"evacuate/{data_centre}", {})

    def take_back(self, fleet, data_centre):
        fleet.store.write("keyed.op", f"evacuate/{data_centre}", None)

    def reached(self, fleet, data_centre, *, since_s):
        """Return the requests that reached targets of a data centre since a time."""
        return [
            path
            for target in fleet.targets.values()
            if target.zone == data_centre
            for at_s, path in target.received
            if at_s >= since_s
        ]


class RequestTest(EvacuationCase):
    def check_nothing_reaches(self, kind, *, targets, **options):
        async def scenario(fleet):
            before = await self.used_targets(fleet, ALL_DATA_CENTRES, kind=kind, **options)
            self.evacuate(fleet, ZONES[0])
            await asyncio.sleep(1.0)
            since_s = fleet.loop.time()
            replies = await fleet.ask_many(24, kind, **options)
            reached = self.reached(fleet, ZONES[0], since_s=since_s)
            self.take_back(fleet, ZONES[0])
            await asyncio.sleep(1.0)
            after = await self.used_targets(fleet, ALL_DATA_CENTRES, kind=kind, **options)
            zones = [{fleet.targets[name].zone for name in names} for names in (before, after)]
            return zones, reached, {reply.status for reply in replies}

        zones, reached, statuses = self.run_scenario(scenario, targets=targets)
        for used in zones:
            self.assertIn(ZONES[0], used)
        self.assertEqual(reached, [])
        self.assertEqual(statuses, {200})

    def test_calls_go_to_the_other_data_centres_until_it_is_taken_back(self):
        self.check_nothing_reaches("safe", targets=POOL)

    def test_prompts_go_to_the_other_data_centres_until_it_is_taken_back(self):
        self.check_nothing_reaches("stream", targets=ENGINES)

    def test_work_that_runs_there_ends_there(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.events = 40
            asked = [asyncio.create_task(fleet.ask("stream")) for _ in range(6)]
            await asyncio.sleep(0.5)
            self.evacuate(fleet, ZONES[0])
            replies = await asyncio.gather(*asked)
            return [(r.status, r.whole, len(r.events)) for r in replies], len(fleet.runs)

        replies, runs = self.run_scenario(scenario, targets=ENGINES)
        self.assertEqual(replies, [(200, True, 40)] * 6)
        self.assertEqual(runs, 6)

    def test_no_target_of_an_evacuated_data_centre_helps_with_a_long_prompt(self):
        async def scenario(fleet):
            self.evacuate(fleet, ZONES[0])
            await asyncio.sleep(1.0)
            reply = await fleet.ask("stream", tokens=LONG_PROMPT, deadline_ms=30_000)
            orders = {t.zone for t in fleet.targets.values() if t.orders}
            helpers = [run.headers.get("helpers", "") for run in fleet.runs]
            there = [t.address for t in fleet.targets.values() if t.zone == ZONES[0]]
            return reply.status, orders, [a for a in there if a in "".join(helpers)]

        status, orders, helping = self.run_scenario(
            scenario, targets=("engines",) * 9, config=configuration(3, routes=LONG_ROUTES)
        )
        self.assertEqual(status, 200)
        self.assertNotIn(ZONES[0], orders)
        self.assertEqual(helping, [])

    def test_retries_and_resumed_streams_go_elsewhere(self):
        async def scenario(fleet):
            self.evacuate(fleet, ZONES[0])
            await asyncio.sleep(1.0)
            for target in fleet.targets.values():
                target.script = lambda headers, number: "reset" if number == 1 else None
            calls = await fleet.ask_many(6)
            return {reply.status for reply in calls}, self.reached(fleet, ZONES[0], since_s=0.0)

        statuses, reached = self.run_scenario(scenario, targets=POOL)
        self.assertEqual(statuses, {200})
        self.assertEqual(reached, [])

    def test_with_all_data_centres_evacuated_callers_are_told_at_once_when_to_come_back(self):
        async def scenario(fleet):
            for data_centre in ZONES:
                self.evacuate(fleet, data_centre)
            await asyncio.sleep(1.0)
            return [await fleet.ask(kind) for kind in ("safe", "unsafe", "stream")]

        replies = self.run_scenario(scenario, targets=POOL + ENGINES)
        for reply in replies:
            self.assertEqual(reply.status, 503)
            self.assertGreater(float(reply.headers["retry-after"]), 0.0)
            self.assertLess(reply.taken_s, 0.1)

    def test_two_evacuations_overlap(self):
        async def scenario(fleet):
            self.evacuate(fleet, ZONES[0])
            await asyncio.sleep(1.0)
            self.evacuate(fleet, ZONES[1])
            await asyncio.sleep(1.0)
            both = await self.used_targets(fleet, 12)
            self.take_back(fleet, ZONES[0])
            await asyncio.sleep(1.0)
            one = await self.used_targets(fleet, 24)
            return [{fleet.targets[name].zone for name in names} for names in (both, one)]

        used = self.run_scenario(scenario, targets=POOL)
        self.assertEqual(used, [{ZONES[2]}, {ZONES[0], ZONES[2]}])

    def test_a_target_that_registers_in_an_evacuated_data_centre_gets_nothing(self):
        async def scenario(fleet):
            for data_centre in ZONES:
                self.evacuate(fleet, data_centre)
            await asyncio.sleep(1.0)
            target = await fleet.add_target("pool")
            fleet.register(target, born=1_700_000_000_000)
            await asyncio.sleep(2.0)
            await fleet.ask_many(4)
            return target.received

        self.assertEqual(self.run_scenario(scenario, targets=("pool",)), [])


class FailureTest(EvacuationCase):
    def check_in_force_everywhere(self, fail, *, entries=3):
        async def scenario(fleet):
            await fail(fleet)
            await asyncio.sleep(EVACUATE_S)
            since_s = fleet.loop.time()
            for entry in range(len(fleet.gateways)):
                await fleet.ask_many(12, entry=entry)
            return self.reached(fleet, ZONES[0], since_s=since_s)

        reached = self.run_scenario(scenario, entries=entries, targets=POOL)
        self.assertEqual(reached, [])

    def test_an_entry_that_the_store_turns_away_learns_it_from_a_peer(self):
        async def fail(fleet):
            fleet.logs[1].is_refused = True
            self.evacuate(fleet, ZONES[0])

        self.check_in_force_everywhere(fail)

    def test_an_entry_that_starts_without_the_store_learns_it_from_a_peer(self):
        async def fail(fleet):
            self.evacuate(fleet, ZONES[0])
            await asyncio.sleep(1.0)
            await fleet.restart(1, is_refused=False)
            await fleet.restart(2, is_refused=False)
            for log in fleet.logs:
                log.is_refused = True

        self.check_in_force_everywhere(fail)

    def test_it_stays_when_the_store_drops_its_history(self):
        async def fail(fleet):
            fleet.logs[2].is_refused = True
            self.evacuate(fleet, ZONES[0])
            self.grow(fleet, "keyed.op")
            fleet.store.drop_history("keyed.op")
            fleet.logs[2].is_refused = False

        self.check_in_force_everywhere(fail)

    def test_it_stays_when_the_store_comes_back_from_a_copy_without_it(self):
        async def fail(fleet):
            copy = fleet.store.copy()
            self.evacuate(fleet, ZONES[0])
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            await asyncio.sleep(REREAD_S)
            await fleet.restart(1)

        self.check_in_force_everywhere(fail)

    def test_an_evacuation_that_was_taken_back_since_the_copy_can_be_taken_back_again(self):
        async def scenario(fleet):
            self.evacuate(fleet, ZONES[0])
            await asyncio.sleep(1.0)
            copy = fleet.store.copy()
            self.take_back(fleet, ZONES[0])
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            await asyncio.sleep(REREAD_S)
            self.take_back(fleet, ZONES[0])
            await asyncio.sleep(1.0)
            used = set()
            for entry in range(2):
                used |= await self.used_targets(fleet, 24, entry=entry)
            return {fleet.targets[name].zone for name in used}

        self.assertEqual(self.run_scenario(scenario, entries=2, targets=POOL), set(ZONES))


def record(data_centre, offset, *, is_taken_back=False):
    value = None if is_taken_back else b"{}"
    return KeyedRecord(offset=offset, key=f"evacuate/{data_centre}", value=value)


def page(*records, era=1):
    return KeyedPage(records=records, next_offset=100, era=era)


class SinkTest(PausedCase):
    def run_sink(self, scenario):
        async def run():
            changes = []
            sink = EvacuationSink(
                find_data_centre=PlatformDocuments().find_evacuated, on_change=changes.append
            )
            await scenario(sink)
            return sink, [sorted(names) for names in changes]

        return self.run_paused(run())

    def test_other_keys_evacuate_nothing(self):
        async def scenario(sink):
            for key in ("config", "evacuate", "evacuate/", "not/evacuate/a"):
                sink.apply(KeyedRecord(offset=1, key=key, value=b"{}"))

        self.assertEqual(self.run_sink(scenario)[1], [])

    def test_what_a_peer_holds_does_not_bring_back_what_was_taken_back_since(self):
        async def scenario(sink):
            sink.apply(record("a", 1))
            sink.merge(page(era=2), before={})
            sink.apply(record("a", 2, is_taken_back=True))
            sink.apply_held((record("a", 1),))

        sink, changes = self.run_sink(scenario)
        self.assertEqual(sink.evacuated, frozenset())
        self.assertEqual(changes, [["a"], []])

    def test_what_the_copy_lacks_ends_after_the_hold_if_nobody_writes_it_again(self):
        async def scenario(sink):
            sink.apply(record("a", 1))
            sink.merge(page(record("b", 0), era=2), before={})
            sink.replace(page(record("b", 0), era=2))
            await asyncio.sleep(LOST_RECORD_HOLD_S - 1.0)
            self.assertEqual(sink.evacuated, {"a", "b"})
            self.assertEqual(sink.held(), (record("a", 1),))
            await asyncio.sleep(2.0)

        self.assertEqual(self.run_sink(scenario)[0].evacuated, {"b"})

    def test_a_full_read_without_it_ends_an_evacuation(self):
        async def scenario(sink):
            sink.replace(page(record("a", 1), record("b", 2)))
            sink.replace(page(record("b", 2)))

        self.assertEqual(self.run_sink(scenario)[1], [["a", "b"], ["b"]])

    def test_begin_and_end_are_logged(self):
        self.assertEqual(Event.EVACUATION_STARTED.number, 506)
        self.assertEqual(Event.EVACUATION_ENDED.number, 507)


class StatusTest(EvacuationCase):
    def test_metrics_show_the_evacuation_and_what_still_runs_there(self):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.events = 40
            asked = [asyncio.create_task(fleet.ask("stream")) for _ in range(6)]
            await asyncio.sleep(0.5)
            busiest = max(fleet.targets.values(), key=lambda target: len(target.runs))
            self.evacuate(fleet, busiest.zone)
            await asyncio.sleep(0.5)
            gauges = fleet.gateways[0]._gauges()
            running = sum(len(t.runs) for t in fleet.targets.values() if t.zone == busiest.zone)
            await asyncio.gather(*asked)
            after = fleet.gateways[0]._gauges()
            return running, gauges, after

        running, during, after = self.run_scenario(scenario, targets=ENGINES)
        self.assertEqual(during["data_centres_evacuated"], 1)
        self.assertGreater(running, 0)
        self.assertEqual(during["requests_in_evacuated"], running)
        self.assertEqual(after["requests_in_evacuated"], 0)


class RefreshTest(EvacuationCase):
    def test_a_configuration_beside_evacuations_is_not_affected(self):
        async def scenario(fleet):
            self.evacuate(fleet, ZONES[0])
            fleet.store.write("keyed.op", "config", configuration(9))
            await asyncio.sleep(2.0)
            return self.versions(fleet)

        self.assertEqual(self.run_scenario(scenario, entries=2, targets=POOL), [9, 9])
