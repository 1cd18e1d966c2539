"""Tests of targets that state how many requests a second they take from all entries together."""

import asyncio
import itertools
import math
import random
import unittest
from unittest import mock

from cicadatiller.fleet._shared_rate import MAX_AHEAD_S
from cicadatiller.fleet._stated_rate import MIN_RATE_PER_S, NEWS_S, StatedRate
from cicadatiller.kernel import Event

from .support.gateways import GatewayCase, configuration, route

ENTRIES = 4
LARGE = 48
INTERVAL_S = 0.05
# The users' rule for what reaches a target in some window, once entries have heard of its limit.
WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5
# Of the lowest limit, while others wait for the target.
MIN_SHARE = 0.9
# For each entry: what it learnt itself, and from others.
MAX_TOLD_PER_S = 2.0
PATIENT_ROUTES = [route("safe", target_latency_ms=6000)]
CONTACT_S = 3.0


def most_in_window(times_s):
    """Return the largest number of times within `WINDOW_S`."""
    return max(
        (sum(first <= other < first + WINDOW_S for other in times_s) for first in times_s),
        default=0,
    )


def least_in_window(times_s):
    """Return the smallest number of times within a `WINDOW_S` that ends by the last one."""
    last_s = max(times_s)
    begins_s = [time_s for time_s in times_s if time_s + WINDOW_S <= last_s]
    return min(sum(first < other <= first + WINDOW_S for other in times_s) for first in begins_s)


class LimitCase(GatewayCase):
    async def load(self, fleet, kind, duration_s, *, entries=ENTRIES, interval_s=INTERVAL_S):
        """Send requests to all entries in turn; return the replies."""
        asking = []
        begin_s = fleet.loop.time()
        while fleet.loop.time() < begin_s + duration_s:
            entry = len(asking) % entries
            asking.append(fleet.loop.create_task(fleet.ask(kind, entry=entry, deadline_ms=9000)))
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*asking)

    def received_since(self, target, since_s):
        return [time_s for time_s, _ in target.received if time_s > since_s]

    def assert_served(self, replies):
        self.assertEqual({reply.status for reply in replies}, {200})

    def assert_within(self, limit_per_s, received_s):
        allowed = EXCESS * WINDOW_S * limit_per_s + SLACK
        self.assertLessEqual(most_in_window(received_s), allowed, received_s)


class StatedLimitTest(LimitCase):
    def check_all_entries_together(self, kind, service, limit, *, targets=3, interval_s=INTERVAL_S):
        async def scenario(fleet):
            limited = fleet.targets["t-1"]
            limited.limit = limit
            since_s = fleet.loop.time() + CONTACT_S
            replies = await self.load(fleet, kind, 15.0, interval_s=interval_s)
            return replies, self.received_since(limited, since_s)

        replies, received_s = self.run_scenario(
            scenario, entries=ENTRIES, targets=(service,) * targets
        )
        self.assert_served(replies)
        self.assert_within(float(limit), received_s)

    def test_calls_of_all_entries_together_keep_to_the_limit_of_a_target(self):
        self.check_all_entries_together("safe", "pool", b"1")

    def test_streams_and_probes_of_all_entries_together_keep_to_the_limit_of_an_engine(self):
        self.check_all_entries_together("stream", "engines", b"1.2", interval_s=0.02)

    def test_limit_of_zero_leaves_little_more_than_what_shows_that_it_ended(self):
        self.check_all_entries_together("safe", "pool", b"0")

    def test_entry_that_starts_later_keeps_to_the_limit_before_the_target_tells_it(self):
        async def scenario(fleet):
            limited = fleet.targets["t-1"]
            limited.limit = b"0.5"
            await self.load(fleet, "safe", 4.0)
            await fleet.add_gateway()
            await asyncio.sleep(2.0)
            since_s = fleet.loop.time()
            await asyncio.gather(*(fleet.ask(entry=ENTRIES) for _ in range(20)))
            return self.received_since(limited, since_s)

        received_s = self.run_scenario(scenario, entries=ENTRIES)
        self.assertLessEqual(len(received_s), 2)

    def test_retries_keep_to_the_limit(self):
        async def scenario(fleet):
            limited, failing, _ = fleet.targets.values()
            limited.limit = b"1"
            failing.script = lambda headers, number: 503
            since_s = fleet.loop.time() + CONTACT_S
            await self.load(fleet, "safe", 12.0)
            return self.received_since(limited, since_s)

        self.assert_within(1.0, self.run_scenario(scenario, entries=ENTRIES, targets=("pool",) * 3))


class VaryingLimitTest(LimitCase):
    """A target states another limit in each answer, as one does that states what it measures."""

    def check(self, limits, *, entries=2):
        """Play; the target gets no more than the highest limit allows, and most of the lowest."""
        stated = itertools.cycle(limits)

        async def scenario(fleet):
            limited = fleet.targets["t-1"]
            limited.limit = lambda: next(stated)
            since_s = fleet.loop.time() + CONTACT_S
            await self.load(fleet, "safe", 14.0, entries=entries, interval_s=0.02)
            return self.received_since(limited, since_s)

        received_s = self.run_scenario(scenario, entries=entries, targets=("pool",) * 3)
        values = [float(limit) for limit in limits if limit is not None]
        self.assert_within(max(values), received_s)
        self.assertGreaterEqual(least_in_window(received_s), MIN_SHARE * WINDOW_S * min(values))

    # Each changed limit forgave what had been sent, so the target got as much as it answered.
    def test_limit_that_is_a_little_different_in_each_answer_is_kept(self):
        self.check([b"4.0", b"3.9", b"3.8", b"3.9"])

    def test_limit_that_is_new_in_each_answer_is_kept(self):
        drawn = random.Random(1)
        self.check([b"%.2f" % drawn.uniform(3, 5) for _ in range(97)])

    def test_limit_that_varies_is_kept_by_six_entries(self):
        drawn = random.Random(2)
        self.check([b"%.2f" % drawn.uniform(3, 5) for _ in range(97)], entries=6)

    def test_limit_that_only_some_answers_state_is_kept(self):
        self.check([b"4", None])
        self.check([b"4", b"4", None], entries=6)

    def test_limits_far_apart_are_kept(self):
        self.check([b"6", b"2"])

    def test_changes_of_a_limit_are_logged_and_told_to_the_peers_now_and_then(self):
        stated = itertools.cycle([b"4.0", b"3.1", b"5.2"])

        async def scenario(fleet):
            fleet.targets["t-1"].limit = lambda: next(stated)
            with mock.patch("cicadatiller.gateway._target_notices.log_event") as log_event:
                await self.load(fleet, "safe", 10.0, entries=6, interval_s=0.02)
            return [call for call in log_event.mock_calls if call.args[0] is Event.TARGET_LIMITED]

        told = self.run_scenario(scenario, entries=6, targets=("pool",) * 2)
        self.assertLessEqual(len(told), 6 * 10.0 * MAX_TOLD_PER_S)


class LargeFleetTest(LimitCase):
    def test_limit_reaches_entries_that_are_not_linked_to_the_one_that_was_told(self):
        async def scenario(fleet):
            limited = fleet.targets["t-1"]
            limited.limit = b"1"
            await asyncio.gather(*(fleet.ask() for _ in range(12)))
            peers = fleet.gateways[0].peer_sync.mesh.connected_peers
            await asyncio.sleep(0.5)
            since_s = fleet.loop.time()
            # One request or more of each entry would reach the target if it did not know.
            replies = await self.load(fleet, "safe", 4.0, entries=LARGE, interval_s=0.02)
            return replies, len(peers), len(self.received_since(limited, since_s))

        replies, peers, received = self.run_scenario(
            scenario, entries=LARGE, targets=("pool",) * 2, settle_s=9.0
        )
        self.assert_served(replies)
        self.assertLess(peers, LARGE - 1)
        self.assertLessEqual(received, EXCESS * WINDOW_S + SLACK)


class LentRateTest(LimitCase):
    def test_entry_may_use_what_the_others_do_not(self):
        async def scenario(fleet):
            limited = fleet.targets["t-1"]
            limited.limit = b"4"
            await self.load(fleet, "safe", 3.0, entries=1)
            since_s = fleet.loop.time()
            replies = await self.load(fleet, "safe", 10.0, entries=1)
            return replies, len(self.received_since(limited, since_s))

        replies, received = self.run_scenario(
            scenario,
            entries=ENTRIES,
            targets=("pool",),
            config=configuration(3, routes=PATIENT_ROUTES),
        )
        self.assertGreaterEqual(received, 0.9 * 4 * 10)
        self.assertEqual({reply.status for reply in replies}, {200, 503})
        for reply in replies:
            if reply.status == 503:
                self.assertGreater(float(reply.headers["retry-after"]), 0.0)

    def test_entry_without_peers_leaves_their_part_to_them(self):
        async def scenario(fleet):
            limited = fleet.targets["t-1"]
            limited.limit = b"4"
            await self.load(fleet, "safe", 3.0)
            fleet.peers.severed = lambda source, destination: "10.0.0.1:82" in (source, destination)
            await asyncio.sleep(4.0)
            since_s = fleet.loop.time()
            await self.load(fleet, "safe", 10.0, entries=1)
            return len(self.received_since(limited, since_s))

        received = self.run_scenario(scenario, entries=ENTRIES, targets=("pool",) * 2)
        self.assertLessEqual(received, 4 * 10 / ENTRIES + 2)
        self.assertGreater(received, 2)


class EndOfLimitTest(LimitCase):
    def after(self, change, *, limit=b"0.5"):
        """Return what a limited target gets in 4 s after a change of what it states."""

        async def scenario(fleet):
            limited = fleet.targets["t-1"]
            limited.limit = limit
            await self.load(fleet, "safe", 4.0)
            change(limited)
            await self.load(fleet, "safe", 4.0)
            since_s = fleet.loop.time()
            await self.load(fleet, "safe", 4.0)
            rates = [g._directory.find("t-1").availability.rate.rate_per_s for g in fleet.gateways]
            return len(self.received_since(limited, since_s)), set(rates)

        return self.run_scenario(scenario, entries=ENTRIES, targets=("pool",) * 2)

    def test_target_that_states_no_limit_any_more_is_used_as_before_by_all(self):
        received, rates = self.after(lambda target: setattr(target, "limit", None))
        self.assertGreater(received, 15)
        self.assertEqual(rates, {math.inf})

    def test_limit_of_zero_ends_like_any_other(self):
        received, _ = self.after(lambda target: setattr(target, "limit", None), limit=b"0")
        self.assertGreater(received, 15)

    def test_higher_limit_is_used_by_all(self):
        received, rates = self.after(lambda target: setattr(target, "limit", b"2.5"))
        self.assertGreater(received, 5)
        self.assertEqual(rates, {2.5})

    def test_values_that_can_not_be_read_change_nothing(self):
        received, rates = self.after(lambda target: setattr(target, "limit", b"plenty"))
        self.assertLessEqual(received, 3)
        self.assertEqual(rates, {0.5})


class StatedRateTest(unittest.TestCase):
    def sends_in(self, rate, duration_s, *, from_s=0.0):
        now_s, sends = from_s, 0
        while (now_s := rate.next_send_s(now_s)) < from_s + duration_s:
            rate.record_send(now_s)
            sends += 1
        return sends

    def make_rate(self, rate_per_s):
        rate = StatedRate()
        rate.record(rate_per_s, 0.0)
        return rate

    def test_rate_is_used_and_kept(self):
        for rate_per_s in (0.3, 1.0, 1.9, 7.0, 100.0):
            sends = self.sends_in(self.make_rate(rate_per_s), 20.0)
            self.assertLessEqual(sends, 21 * rate_per_s + 1)
            self.assertGreaterEqual(sends, 20 * rate_per_s)

    def test_very_low_rates_still_show_when_they_end(self):
        for rate_per_s in (0.0, MIN_RATE_PER_S / 100):
            self.assertEqual(self.sends_in(self.make_rate(rate_per_s), 40.0), 4)

    def test_sends_of_others_at_the_same_moment_are_made_up_for(self):
        rate = self.make_rate(1.0)
        for _ in range(5):
            rate.record_send(NEWS_S)
        self.assertEqual(rate.next_send_s(NEWS_S), NEWS_S + 5.0)
        for _ in range(50):
            rate.record_send(NEWS_S)
        self.assertEqual(rate.next_send_s(NEWS_S), NEWS_S + MAX_AHEAD_S)

    # The target got nothing for up to 8 s, as entries that did not know the limit had used it up.
    def test_sends_of_others_that_can_not_know_the_limit_yet_are_not_made_up_for(self):
        rate = self.make_rate(1.0)
        for _ in range(50):
            rate.record_send(0.9 * NEWS_S)
        self.assertEqual(rate.next_send_s(0.9 * NEWS_S), 0.9 * NEWS_S + 1.0)

    def test_older_news_of_another_entry_does_not_undo_newer_news(self):
        rate = self.make_rate(2.0)
        self.assertTrue(rate.record_told(4.0, 3.0, 3.2))
        self.assertFalse(rate.record_told(3.0, 2.0, 3.3))
        self.assertFalse(rate.record_told(math.inf, 2.5, 3.4))
        self.assertEqual(rate.rate_per_s, 4.0)

    def test_changes_of_a_rate_forgive_nothing(self):
        for one, other in ((4.0, 3.9), (1.0, 50.0), (0.1, 4.0)):
            rate, sends, allowed, now_s = self.make_rate(one), 0, max(1.0, one), 0.0
            for step in range(4000):
                now_s += 0.01
                in_force = other if step % 2 else one
                allowed += 0.01 * rate.rate_per_s
                rate.record(in_force, now_s)
                if rate.next_send_s(now_s) <= now_s:
                    rate.record_send(now_s)
                    sends += 1
            self.assertLessEqual(sends, allowed + 1)
            self.assertGreaterEqual(sends, 0.9 * allowed - 1)

    def test_response_to_an_older_request_does_not_undo_a_newer_statement(self):
        rate = self.make_rate(math.inf)
        self.assertTrue(rate.record(2.0, 10.0, sent_s=9.0))
        self.assertFalse(rate.record(math.inf, 11.0, sent_s=9.5))
        self.assertTrue(rate.record(math.inf, 11.0, sent_s=10.5))

    def test_unlimited_target_costs_nothing(self):
        rate = StatedRate()
        rate.record_send(1.0)
        self.assertEqual(rate.next_send_s(1.0), 1.0)
