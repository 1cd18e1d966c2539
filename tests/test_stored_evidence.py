"""Tests of what entries know of what crashes targets after all of them were killed at once."""

import asyncio
import json
import time

from cicadatiller.evidence._stored import (
    HANDOVER_S,
    KEY,
    MAX_RECORD_BYTES,
    MIN_WRITE_INTERVAL_S,
    REFRESH_INTERVAL_S,
)
from cicadatiller.fleet import RequestLoss
from cicadatiller.fleet._fingerprint import PART_RULE, REQUEST_RULE

from .support.crashing_fleets import CONTACT_S, MAX_LATER_CRASHES
from .support.gateways import GatewayCase, configuration, route

TOPIC = "keyed.evidence"
CRASHING = "dead1"
TARGETS = 8
LINKED_S = 2.0
ROUTES = [route("stream", max_attempts=2), route("safe"), route("unsafe")]
STORED_S = 0.5
# How long a target that crashed is away.
DOWN_S = 0.5


class StoredEvidenceCase(GatewayCase):
    def send(self, fleet, number, *, entry, part=CRASHING):
        value = f"5a:250,{part}:250,f{number}:250".encode()
        headers = [(b"Prompt-Prefix", value)]
        path = f"/stream/{number}"
        return fleet.ask("stream", entry=entry, path=path, headers=headers)

    async def send_crashing(self, fleet, count, *, first=0, interval_s=1.0):
        """Send prompts with the crashing part, to the entries by turns."""
        for number in range(first, first + count):
            await self.send(fleet, number, entry=number % len(fleet.gateways))
            await asyncio.sleep(DOWN_S)
            await self.revive(fleet)
            await asyncio.sleep(interval_s)

    async def revive(self, fleet):
        """Start the targets that crashed again at their addresses."""
        for number, target in enumerate(fleet.targets.values(), start=1):
            if target.instance_id in self.crashed:
                await target.start(f"10.0.1.{number}")
        self.crashed.clear()

    def arm(self, fleet):
        self.crashed = set()
        for target in fleet.targets.values():
            target.crashing_parts = frozenset({CRASHING})
            target.on_crash = lambda target, headers: self.crashed.add(target.instance_id)

    async def kill_all(self, fleet):
        """Kill all entries at the same moment, and start them again."""
        numbers = range(len(fleet.gateways))
        await asyncio.gather(*(fleet.kill(number) for number in numbers))
        for number in numbers:
            await fleet.restart(number)
        await asyncio.sleep(LINKED_S)

    def arrivals(self, fleet):
        """Return the loop times at which prompts with the crashing part arrived; each one crashes."""
        return [run.began_s for run in fleet.runs if CRASHING in run.headers["prompt-prefix"]]

    def assert_few_later(self, arrived_s):
        """Check the number of prompts that arrived since `CONTACT_S` after the fifth crash."""
        self.assertGreaterEqual(len(arrived_s), 3)
        since_s = (arrived_s + 5 * [float("inf")])[4] + CONTACT_S
        later = sum(at_s > since_s for at_s in arrived_s)
        self.assertLessEqual(later, MAX_LATER_CRASHES, arrived_s)

    def stored(self, fleet):
        """Return the value of the stored record; None if there is none."""
        record = fleet.store.newest(TOPIC).get(KEY)
        return None if record is None else record[1]

    def lose(self, fleet, number, *, entry=0, fingerprints=("5a", CRASHING)):
        now_s = fleet.loop.time()
        loss = RequestLoss(
            target_id=f"t-{number}",
            request=f"f{number}",
            fingerprints=fingerprints,
            sent_s=now_s - 0.1,
            lost_s=now_s,
        )
        fleet.gateways[entry].peer_sync.evidence.breakers.record_loss(loss, now_s)

    def run_streams(self, scenario, **options):
        return self.run_scenario(
            scenario,
            targets=("engines",) * TARGETS,
            config=configuration(3, routes=ROUTES),
            entries=2,
            **options,
        )


class KilledTogetherTest(StoredEvidenceCase):
    """review/10 (BUDGET): entries that were all killed learnt anew what crashes targets."""

    def test_open_breakers_outlast_all_entries(self):
        async def scenario(fleet):
            self.arm(fleet)
            await self.send(fleet, 100, entry=0, part="5b")
            await self.send_crashing(fleet, 3)
            for number in range(3):
                await self.kill_all(fleet)
                await self.send_crashing(fleet, 6, first=10 * number + 10)
            sound = await self.send(fleet, 101, entry=0, part="5b")
            return self.arrivals(fleet), sound.status

        arrivals, sound_status = self.run_streams(scenario)
        self.assert_few_later(arrivals)
        self.assertEqual(sound_status, 200)

    def test_losses_before_a_breaker_outlast_all_entries(self):
        async def scenario(fleet):
            self.arm(fleet)
            await self.send(fleet, 100, entry=0, part="5b")
            for number in range(12):
                await self.send_crashing(fleet, 1, first=number)
                await self.kill_all(fleet)
            return self.arrivals(fleet)

        self.assert_few_later(self.run_streams(scenario))

    def test_evidence_is_stored_soon_whichever_entry_saw_it(self):
        async def scenario(fleet):
            stored = []
            for entry in range(2):
                self.lose(fleet, entry, entry=entry)
                await asyncio.sleep(STORED_S + MIN_WRITE_INTERVAL_S)
                stored.append(len(json.loads(self.stored(fleet))["rows"][0]))
            return stored

        self.assertEqual(self.run_streams(scenario), [1, 2])

    def test_parts_that_any_entry_saw_finish_are_known_after_all_were_killed(self):
        """Else the part that all prompts have would be refused with the one that crashes targets."""

        async def scenario(fleet):
            for entry in range(2):
                breakers = fleet.gateways[entry].peer_sync.evidence.breakers
                breakers.record_finished((f"5{entry}",), fleet.loop.time())
            for number in range(3):
                await asyncio.sleep(1.0)
                self.lose(fleet, number, fingerprints=("50", "51", CRASHING))
            await asyncio.sleep(STORED_S)
            await self.kill_all(fleet)
            breakers = fleet.gateways[0].peer_sync.evidence.breakers
            return [opened.fingerprint for opened in breakers.open_breakers]

        self.assertEqual(self.run_streams(scenario), [CRASHING])


class StoredRecordTest(StoredEvidenceCase):
    def test_nothing_is_stored_without_a_loss(self):
        async def scenario(fleet):
            await fleet.ask_many(20)
            await asyncio.sleep(3 * REFRESH_INTERVAL_S)
            return self.stored(fleet), fleet.store.calls.count("/log-append")

        stored, appends = self.run_streams(scenario)
        self.assertIsNone(stored)
        # The registrations of the two entries.
        self.assertEqual(appends, 2)

    def test_the_record_goes_when_nothing_counts_any_more(self):
        async def scenario(fleet):
            self.lose(fleet, 1)
            await asyncio.sleep(STORED_S)
            before = self.stored(fleet)
            await asyncio.sleep(PART_RULE.max_age_s + REFRESH_INTERVAL_S + STORED_S)
            return before, self.stored(fleet)

        before, after = self.run_streams(scenario)
        self.assertIsNotNone(before)
        self.assertIsNone(after)

    def test_the_record_of_entries_that_are_gone_goes_too(self):
        async def scenario(fleet):
            self.lose(fleet, 1)
            await asyncio.sleep(STORED_S)
            await self.kill_all(fleet)
            await asyncio.sleep(PART_RULE.max_age_s + REFRESH_INTERVAL_S + STORED_S)
            return self.stored(fleet)

        self.assertIsNone(self.run_streams(scenario))

    def test_a_storm_of_losses_is_written_once_a_second_at_most_and_bounded(self):
        async def scenario(fleet):
            before = fleet.store.calls.count("/log-append")
            for number in range(500):
                names = tuple(f"{number:x}{part}" + 100 * "e" for part in range(40))
                self.lose(fleet, number, fingerprints=names)
                await asyncio.sleep(0.01)
            await asyncio.sleep(3.0)
            appends = fleet.store.calls.count("/log-append") - before
            return appends, len(self.stored(fleet))

        appends, size_bytes = self.run_streams(scenario)
        self.assertLessEqual(appends, 8)
        self.assertLessEqual(size_bytes, MAX_RECORD_BYTES)
        self.assertGreater(size_bytes, MAX_RECORD_BYTES // 4)

    def test_what_both_sides_of_a_cut_wrote_is_kept(self):
        async def scenario(fleet):
            for entry in range(2):
                fleet.gateways[entry].peer_sync.mesh.select_peers({})
            await asyncio.sleep(1.0)
            for number in range(4):
                self.lose(fleet, number, entry=number % 2, fingerprints=(f"5{number}",))
                await asyncio.sleep(2 * MIN_WRITE_INTERVAL_S)
            await asyncio.sleep(2 * HANDOVER_S)
            return len(json.loads(self.stored(fleet))["rows"][0])

        self.assertEqual(self.run_streams(scenario), 4)

    def test_evidence_is_written_again_after_the_store_came_back_from_an_older_copy(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.lose(fleet, 1)
            await asyncio.sleep(STORED_S)
            fleet.store.restore(copy)
            lost = self.stored(fleet)
            await asyncio.sleep(REFRESH_INTERVAL_S / 2)
            return lost, self.stored(fleet)

        lost, again = self.run_streams(scenario)
        self.assertIsNone(lost)
        self.assertIsNotNone(again)

    def test_evidence_is_written_once_the_store_is_back(self):
        async def scenario(fleet):
            fleet.store.fault_for_call = lambda path: 503
            self.lose(fleet, 1)
            await asyncio.sleep(10.0)
            fleet.store.fault_for_call = None
            await asyncio.sleep(5.0)
            return self.stored(fleet)

        self.assertIsNotNone(self.run_streams(scenario))

    # A number of 400 digits ended the task that reads and writes evidence, again at each start.
    def test_records_of_other_writers_are_ignored_and_replaced(self):
        huge = b'{"rows": [[], [], [["5c", ' + b"9" * 400 + b"]]]}"
        odd = (b"\xff", b"[" * 5000, b"{}", b'{"rows": 7}', b'{"rows": [[[1]], 2, {}]}', huge)
        for value in odd:
            with self.subTest(value[:20]):

                async def scenario(fleet, value=value):
                    fleet.store.write(TOPIC, KEY, value)
                    fleet.store.write(TOPIC, "another key", value)
                    await self.kill_all(fleet)
                    self.lose(fleet, 1)
                    await asyncio.sleep(STORED_S + MIN_WRITE_INTERVAL_S)
                    return self.stored(fleet), (await fleet.ask()).status

                stored, status = self.run_scenario(scenario, entries=2, config=configuration(3))
                self.assertEqual(len(json.loads(stored)["rows"][0]), 1)
                self.assertEqual(status, 200)

    def test_a_crashing_request_is_refused_after_all_entries_were_killed(self):
        async def scenario(fleet):
            for number in range(4):
                self.lose(fleet, number, fingerprints=("request:7",))
                await asyncio.sleep(1.0)
            await self.kill_all(fleet)
            breakers = fleet.gateways[1].peer_sync.evidence.breakers
            return breakers.find_open(("request:7",), fleet.loop.time())

        opened = self.run_streams(scenario)
        self.assertIsNotNone(opened)
        self.assertGreater(opened.forgotten_at_s, REQUEST_RULE.max_age_s)


class RebornTargetsTest(StoredEvidenceCase):
    """review/10: targets that start again under their ids were counted once, however often they end."""

    async def revive(self, fleet):
        """Start the targets that crashed again, as new runs."""
        for number, target in enumerate(fleet.targets.values(), start=1):
            if target.instance_id in self.crashed:
                await target.start(f"10.0.1.{number}")
                fleet.register(target, born=int(1000 * time.time()) + int(fleet.loop.time()))
        self.crashed.clear()

    def count(self, targets):
        async def scenario(fleet):
            self.arm(fleet)
            await self.send(fleet, 100, entry=0, part="5b")
            for number in range(12):
                await self.send(fleet, number, entry=number % 2)
                await asyncio.sleep(DOWN_S)
                await self.revive(fleet)
                await asyncio.sleep(1.0)
            breakers = fleet.gateways[0].peer_sync.evidence.breakers
            return self.arrivals(fleet), [known.fingerprint for known in breakers.open_breakers]

        return self.run_scenario(
            scenario,
            targets=("engines",) * targets,
            config=configuration(3, routes=ROUTES),
            entries=2,
        )

    def test_a_part_that_crashes_two_targets_again_and_again_is_refused(self):
        arrived_s, opened = self.count(2)
        self.assert_few_later(arrived_s)
        self.assertTrue(any(CRASHING in fingerprint for fingerprint in opened))

    def test_one_target_that_ends_again_and_again_blames_nothing(self):
        _, opened = self.count(1)
        self.assertEqual(opened, [])
