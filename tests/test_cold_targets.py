"""Tests of targets that are cold: slow, and crashed by more than a stated rate of requests."""

import asyncio
import heapq
import random
import unittest

from cicadatiller.cold_start import ColdAllowance
from cicadatiller.fleet import ColdLimits, ColdStart
from cicadatiller.routes import Service

from .support.eras import EraCase
from .support.gateways import ZONES, configuration
from .support.known_red import known_red
from .support.wire import TargetStandin

RATE_PER_S = 32.0
ALLOWANCE = ColdAllowance(overshoot=1.5, slack=5)
# The users' rule: requests to one cold target in any second, from all entries.
BOUND_PER_S = RATE_PER_S * ALLOWANCE.overshoot + ALLOWANCE.slack
DOWN_S = 2.0
COLD_MS = 3000
# Later than the start of each target of a fleet.
BORN_MS = 1_800_000_000_000
LIMITS = ALLOWANCE.limits(Service(name="engines", cold_start_s=3.0, cold_rate_per_s=RATE_PER_S))


def most_in_a_second(times_s):
    """Return the largest number of times within a second."""
    times_s = sorted(times_s)
    most = first = 0
    for last, time_s in enumerate(times_s):
        while time_s - times_s[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class Play:
    """Entries that send to cold targets and hear of each other's sends after a delay.

    Args:
        entries: The number of entries.
        targets: The number of cold targets.
        users: How many entries use a target, those that follow it in their order.
        delay_s: Returns the time until an entry has heard of a send of another one.
        connected: How many of the other users of its targets an entry hears of; None for all.
    """

    def __init__(self, *, entries, targets, users, delay_s, connected=None, seed=1):
        self.random = random.Random(seed)
        self.entries = entries
        self.users = users
        self.delay_s = delay_s
        self.connected = users - 1 if connected is None else connected
        self.views = [[ColdStart() for _ in range(targets)] for _ in range(entries)]
        for views in self.views:
            for view in views:
                view.record(60.0, LIMITS, 0.0)
                view.set_users(connected=self.connected + 1, users=users, now_s=0.0)
        self.sent_s = [[] for _ in range(targets)]
        self.heard = []

    def targets_of(self, entry):
        """Return the targets that an entry uses."""
        targets = len(self.sent_s)
        return [
            t
            for t in range(targets)
            if (entry - t * self.entries // targets) % self.entries < self.users
        ]

    def peers_of(self, entry, target):
        """Return the entries that hear of an entry's sends to a target."""
        using = [e for e in range(self.entries) if e != entry and target in self.targets_of(e)]
        return using[: self.connected]

    def hear_until(self, now_s):
        while self.heard and self.heard[0][0] <= now_s:
            at_s, entry, target = heapq.heappop(self.heard)
            self.views[entry][target].record_send(at_s, is_own=False)

    def run(self, *, per_s, duration_s):
        """Offer requests to random entries; each sends to one of its targets that takes it."""
        now_s = 0.0
        waiting = [0] * self.entries
        using = [self.targets_of(entry) for entry in range(self.entries)]
        while now_s < duration_s:
            now_s += 0.005
            self.hear_until(now_s)
            for _ in range(round(per_s * 0.005)):
                waiting[self.random.randrange(self.entries)] += 1
            for entry in self.random.sample(range(self.entries), self.entries):
                self.send_waiting(entry, using[entry], waiting, now_s)

    def send_waiting(self, entry, targets, waiting, now_s):
        for target in self.random.sample(targets, len(targets)):
            view = self.views[entry][target]
            while waiting[entry] and view.next_send_s(now_s) <= now_s:
                waiting[entry] -= 1
                view.record_send(now_s, is_own=True)
                self.sent_s[target].append(now_s)
                for peer in self.peers_of(entry, target):
                    heapq.heappush(self.heard, (now_s + self.delay_s(), peer, target))


class SharedRateTest(unittest.TestCase):
    """A whole data centre is cold at once, and gets twice the demand that it tolerates."""

    def check(self, entries, *, users, delay_s, connected=None):
        play = Play(entries=entries, targets=26, users=users, delay_s=delay_s, connected=connected)
        play.run(per_s=2 * 26 * RATE_PER_S, duration_s=6.0)
        return play.sent_s

    def test_entries_keep_to_the_bound_in_any_second_and_use_the_rate(self):
        for entries in (3, 8, 16, 26):
            with self.subTest(entries=entries):
                users = min(entries, 8)
                sent_s = self.check(
                    entries, users=users, delay_s=lambda: random.uniform(0.002, 0.08)
                )
                self.assertLessEqual(max(map(most_in_a_second, sent_s)), BOUND_PER_S)
                used = sum(len(times_s) for times_s in sent_s) / (26 * 6.0)
                self.assertGreaterEqual(used, 0.8 * RATE_PER_S)

    def test_entries_that_hear_of_nobody_keep_to_a_part_that_is_safe(self):
        sent_s = self.check(8, users=8, delay_s=lambda: 0.01, connected=0)
        self.assertLessEqual(max(map(most_in_a_second, sent_s)), BOUND_PER_S)


class ColdStartTest(unittest.TestCase):
    def test_a_target_that_is_not_cold_is_not_limited(self):
        cold = ColdStart()
        for _ in range(1000):
            cold.record_send(1.0, is_own=True)
        self.assertEqual(cold.next_send_s(1.0), 1.0)

    def test_it_ends_by_itself_and_a_shorter_statement_does_not_end_it(self):
        cold = ColdStart()
        self.assertTrue(cold.record(3.0, LIMITS, 0.0))
        self.assertFalse(cold.record(0.5, LIMITS, 1.0))
        self.assertTrue(cold.is_cold(2.9))
        self.assertFalse(cold.is_cold(3.0))

    def test_waiting_for_the_rate_never_outlasts_the_time(self):
        cold = ColdStart()
        cold.record(1.0, ColdLimits(rate_per_s=0.1, burst=0.0), 0.0)
        cold.record_send(0.0, is_own=True)
        self.assertLessEqual(cold.next_send_s(0.5), 1.0)


def cold_configuration(**changes):
    """Return a configuration whose plain targets take two requests a second while cold."""
    document = configuration(3)
    for service in document["services"]:
        service |= {"cold_start_s": 3.0, "cold_per_s": 2.0} | changes
    return document


class GatewayTest(EraCase):
    BOUNDS = {"cold_allowance": ColdAllowance(overshoot=1.5, slack=1)}
    # Of the bounds above and the configuration, in any second.
    BOUND = 2.0 * 1.5 + 1

    def run_cold(self, scenario, **options):
        async def run(fleet):
            for _ in range(3):
                await fleet.add_gateway(**self.BOUNDS)
            await asyncio.sleep(4.0)
            return await scenario(fleet)

        options = {"config": cold_configuration(), "targets": ("pool",) * 3} | options
        return self.run_scenario(run, entries=0, settle_s=0.0, **options)

    async def load(self, fleet, duration_s, *, per_entry=10):
        """Send requests to all entries each second."""
        asked = []
        for _ in range(round(duration_s / 0.25)):
            for entry in range(len(fleet.gateways)):
                for _ in range(per_entry // 4):
                    asked.append(asyncio.create_task(fleet.ask(entry=entry, deadline_ms=9000)))
            await asyncio.sleep(0.25)
        return await asyncio.gather(*asked)

    def received(self, fleet, name, since_s):
        return [at_s for at_s, _ in fleet.targets[name].received if at_s >= since_s]

    def test_all_entries_together_keep_to_the_rate_of_a_target_that_registers_as_cold(self):
        async def scenario(fleet):
            fleet.register(fleet.targets["t-1"], cold_remaining_ms=4000, sequence=7)
            await asyncio.sleep(1.0)
            since_s = fleet.loop.time()
            replies = await self.load(fleet, 2.5)
            cold = self.received(fleet, "t-1", since_s)
            warm = self.received(fleet, "t-2", since_s)
            return {reply.status for reply in replies}, cold, warm

        statuses, cold, warm = self.run_cold(scenario)
        self.assertEqual(statuses, {200})
        self.assertLessEqual(most_in_a_second(cold), self.BOUND)
        self.assertGreater(len(warm), 2 * len(cold))

    async def start_again(self, fleet, name):
        """End a target's run and start the next one, cold, under its id; return when it began."""
        ended = fleet.targets[name]
        ended.stop()
        await asyncio.sleep(DOWN_S)
        target = TargetStandin(name, zone=ended.zone)
        host, _, port = ended.address.partition(":")
        await target.start(host, int(port))
        fleet.targets[name] = target
        born_ms = BORN_MS + round(1000 * fleet.loop.time())
        fleet.register(target, cold_remaining_ms=COLD_MS, sequence=1, born=born_ms)
        return fleet.loop.time()

    # An entry whose dial finds the port open sends before it reads that a new run has begun.
    @known_red
    def test_target_that_starts_again_under_its_id_gets_no_more_than_it_tolerates(self):
        async def scenario(fleet):
            loading = asyncio.create_task(self.load(fleet, 22.0, per_entry=40))
            most = []
            for start in range(3):
                await asyncio.sleep(2.0 + 0.23 * start)
                since_s = await self.start_again(fleet, "t-1")
                await asyncio.sleep(COLD_MS / 1000)
                most.append(most_in_a_second(self.received(fleet, "t-1", since_s)))
            await loading
            return most

        self.assertLessEqual(max(self.run_cold(scenario)), self.BOUND)

    def test_targets_of_a_data_centre_that_is_taken_back_count_as_cold(self):
        async def scenario(fleet):
            fleet.store.write("keyed.op", f"evacuate/{ZONES[0]}", {})
            await asyncio.sleep(1.0)
            fleet.store.write("keyed.op", f"evacuate/{ZONES[0]}", None)
            since_s = fleet.loop.time()
            await self.load(fleet, 2.0)
            return [
                self.received(fleet, name, since_s)
                for name, target in fleet.targets.items()
                if target.zone == ZONES[0]
            ]

        for times_s in self.run_cold(scenario):
            self.assertLessEqual(most_in_a_second(times_s), self.BOUND)

    def test_what_a_target_states_in_a_response_is_passed_on_to_the_peers(self):
        async def scenario(fleet):
            fleet.targets["t-1"].cold_ms = b"4000"
            await fleet.ask_many(6)
            fleet.targets["t-1"].cold_ms = None
            await asyncio.sleep(0.2)
            return [gateway._gauges()["targets_cold"] for gateway in fleet.gateways]

        self.assertEqual(self.run_cold(scenario), [1, 1, 1])

    def test_without_a_rate_in_the_configuration_nothing_is_limited(self):
        async def scenario(fleet):
            fleet.register(fleet.targets["t-1"], cold_remaining_ms=4000, sequence=7)
            await asyncio.sleep(1.0)
            return [gateway._gauges()["targets_cold"] for gateway in fleet.gateways]

        cold = self.run_cold(scenario, config=cold_configuration(cold_per_s=0.0))
        self.assertEqual(cold, [0, 0, 0])

    def test_a_registration_that_is_read_again_does_not_prolong_it(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            fleet.register(fleet.targets["t-1"], cold_remaining_ms=2000, sequence=7)
            await asyncio.sleep(1.5)
            fleet.store.restore(copy)
            fleet.register(fleet.targets["t-1"], cold_remaining_ms=2000, sequence=7)
            await asyncio.sleep(1.6)
            return [gateway._gauges()["targets_cold"] for gateway in fleet.gateways]

        self.assertEqual(self.run_cold(scenario), [0, 0, 0])
