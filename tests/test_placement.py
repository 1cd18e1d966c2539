"""Placement of prompts, on single decisions and on simulated loads."""

import functools
import math
import unittest
from dataclasses import replace

from cicadatiller.placement import (
    Ahead,
    Backlog,
    Candidate,
    Demand,
    LoadBoard,
    Placement,
    Prompt,
    TargetLoad,
    Verdict,
    Work,
    evaluate_placement,
    expected_demand,
    min_first_event_s,
    place_prompt,
    queue_sort_key,
    read_s,
)

from .support.placement_baselines import least_in_flight, share_of_worth, share_on_time
from .support.placement_simulation import PlacementSimulation
from .support.simulated_engines import ENGINE
from .support.simulated_requests import PromptKind
from .support.wire import MAX_LISTED_ENGINES

SHORT = PromptKind(
    name="short",
    arrivals_per_s=17.0,
    mean_tokens=4960,
    length_sigma=0.9,
    max_tokens=23_800,
    events=32,
    target_latency_s=0.3,
    max_gap_s=0.25,
    worth=1.3,
)
MIDDLE = PromptKind(
    name="middle",
    arrivals_per_s=0.93,
    mean_tokens=45_000,
    length_sigma=0.5,
    max_tokens=110_000,
    events=19,
    target_latency_s=1.5,
    max_gap_s=0.6,
    worth=3.9,
)
HUGE = PromptKind(
    name="huge",
    arrivals_per_s=0.78,
    mean_tokens=133_000,
    length_sigma=0.55,
    max_tokens=600_000,
    events=16,
    target_latency_s=3.0,
    max_gap_s=1.0,
    worth=15.0,
)


def mostly_long(rate_factor=1.0):
    return [
        replace(SHORT, arrivals_per_s=0.32 * rate_factor * SHORT.arrivals_per_s),
        replace(MIDDLE, arrivals_per_s=1.3 * rate_factor * MIDDLE.arrivals_per_s),
        replace(HUGE, arrivals_per_s=2.8 * rate_factor * HUGE.arrivals_per_s),
    ]


def mostly_short(rate_factor=1.0):
    return [
        replace(SHORT, arrivals_per_s=2.5 * rate_factor * SHORT.arrivals_per_s),
        replace(MIDDLE, arrivals_per_s=0.5 * rate_factor * MIDDLE.arrivals_per_s),
        replace(HUGE, arrivals_per_s=0.05 * rate_factor * HUGE.arrivals_per_s),
    ]


PHASES = [(mostly_long(), 10.0), (mostly_short(), 10.0), (mostly_long(), 10.0)]
SEEDS = (1, 2)


@functools.cache
def simulate(seed, engines=16, policy=place_prompt):
    """Return the requests of the alternating load; each simulation runs once."""
    return PlacementSimulation(engines=engines, seed=seed, policy=policy).run(PHASES)


class LoadTest(unittest.TestCase):
    def test_alternating_load_is_served_on_time(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                requests = simulate(seed)
                self.assertTrue(all(request.ended_s for request in requests))
                for kind in ("short", "middle", "huge"):
                    self.assertGreater(share_on_time(requests, kind), 0.9, kind)

    def test_earned_worth_exceeds_least_in_flight(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                baseline = share_of_worth(simulate(seed, policy=least_in_flight))
                self.assertGreater(share_of_worth(simulate(seed)), baseline + 0.05)

    def test_longest_prompts_of_a_kind_are_on_time_too(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                huge = [r for r in simulate(seed) if r.kind.name == "huge"]
                longest = sorted(huge, key=lambda r: -r.tokens)[: len(huge) // 10]
                self.assertGreater(sum(r.on_time for r in longest) / len(longest), 0.7)

    def test_with_a_third_of_the_engines_gone_short_prompts_stay_fast(self):
        requests = simulate(1, engines=11)
        self.assertGreater(share_on_time(requests, "short"), 0.8)
        self.assertTrue(all(request.ended_s for request in requests))


class OverloadTest(unittest.TestCase):
    """Loads beyond the capacity of the engines."""

    def requests(self, seed, *, engines, phases, **options):
        return PlacementSimulation(engines=engines, seed=seed, **options).run(phases)

    def test_short_prompts_stay_fast_when_prefill_is_scarce(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                requests = self.requests(
                    seed, engines=10, phases=[(mostly_long(), 10.0), (mostly_short(), 10.0)]
                )
                self.assertGreater(share_on_time(requests, "short"), 0.8)
                self.assertGreater(share_on_time(requests, "huge"), 0.8)

    def test_earned_worth_is_not_below_least_in_flight_when_slots_are_scarce(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                phases = [(mostly_short(), 15.0)]
                requests = self.requests(seed, engines=9, phases=phases)
                baseline = self.requests(seed, engines=9, phases=phases, policy=least_in_flight)
                self.assertGreater(share_of_worth(requests), share_of_worth(baseline) - 0.03)
                self.assertTrue(all(r.refused or r.ended_s for r in requests))


class DemandTest(unittest.TestCase):
    def load(self, *works):
        load = TargetLoad()
        for number, changes in enumerate(works):
            fields = {"work_id": f"w{number}", "owner": "a", "target_id": "e0", "max_gap_s": 0.25}
            load.add(Work(**(fields | changes)))
        return load

    def prompt(self, **changes):
        fields = {"tokens": 4000, "output_tokens": 700, "due_in_s": 0.3, "max_gap_s": 0.25}
        return Prompt(**(fields | {"worth": 1.0} | changes))

    def test_only_recent_work_counts(self):
        load = self.load({"placed_s": 5.0}, {"placed_s": 9.0, "worth": 2.0, "write_s": 1.5})
        demand = expected_demand([load], [], ENGINE, 10.0)
        self.assertAlmostEqual(demand.streams_per_s, 1 / 3)
        self.assertEqual((demand.mean_stream_s, demand.worth, demand.max_gap_s), (1.5, 2.0, 0.25))

    def test_finished_work_counts(self):
        load = self.load({"placed_s": 9.0, "read_s": 0.3})
        load.remove("w0", 9.5)
        self.assertAlmostEqual(expected_demand([load], [], ENGINE, 10.0).prefill_load, 0.1)

    def test_work_added_twice_counts_once(self):
        load = self.load({"placed_s": 9.0, "read_s": 0.3})
        load.add(Work(work_id="w0", owner="a", target_id="e0", placed_s=9.0, read_s=0.3))
        self.assertAlmostEqual(expected_demand([load], [], ENGINE, 10.0).prefill_load, 0.1)

    def test_streams_with_long_gaps_are_no_demand(self):
        load = self.load({"placed_s": 9.0, "max_gap_s": 1.0})
        self.assertEqual(expected_demand([load], [], ENGINE, 10.0).streams_per_s, 0.0)

    def test_waiting_prompts_count(self):
        load = self.load({"placed_s": 9.0})
        waiting = [self.prompt(), self.prompt(max_gap_s=1.0)]
        demand = expected_demand([load, TargetLoad()], waiting, ENGINE, 10.0)
        self.assertAlmostEqual(demand.streams_per_s, 2 / 3)
        self.assertAlmostEqual(demand.prefill_load, read_s(ENGINE, 4000) * 2 / 3 / 2)

    def test_long_prefill_avoids_targets_of_expected_short_gap_streams(self):
        demand = Demand(streams_per_s=8.0, mean_stream_s=1.5, max_gap_s=0.25, worth=1.0)
        candidates = [Candidate(target_id=f"e{n}", load=TargetLoad()) for n in range(4)]
        candidates[0].load.add(
            Work(work_id="s", owner="a", target_id="e0", max_gap_s=0.25, has_begun=True)
        )
        prompt = self.prompt(tokens=150_000, due_in_s=4.0, max_gap_s=1.0, worth=10.0)

        def members(**options):
            placement = place_prompt(prompt, candidates, ENGINE, 0.0, **options)
            return {placement.host_id, *placement.helper_ids}

        self.assertEqual(members() & {"e0", "e1"}, {"e1"})
        # Two of the four targets are expected to host these streams.
        self.assertEqual(members(demand=demand), {"e2", "e3"})


class QueueTest(unittest.TestCase):
    def test_late_requests_follow_those_that_can_be_on_time(self):
        sort_keys = {
            "soon": queue_sort_key(due_in_s=0.3, min_latency_s=0.2),
            "later": queue_sort_key(due_in_s=2.0, min_latency_s=0.2),
            "late": queue_sort_key(due_in_s=0.1, min_latency_s=0.2),
            "long past": queue_sort_key(due_in_s=-1.0, min_latency_s=0.2),
        }
        self.assertEqual(
            sorted(sort_keys, key=sort_keys.get), ["soon", "later", "long past", "late"]
        )

    def test_least_time_to_first_event_grows_less_than_prefill_time(self):
        short_s, long_s = min_first_event_s(ENGINE, 4000), min_first_event_s(ENGINE, 400_000)
        self.assertGreater(long_s, short_s)
        self.assertLess(long_s, read_s(ENGINE, 400_000) / 4)

    def test_prompt_with_much_prefill_for_its_worth_waits_when_prefill_is_scarce(self):
        prompt = Prompt(tokens=100_000, output_tokens=700, due_in_s=1, max_gap_s=1.0, worth=2.0)
        placement = Placement(
            host_id="e0",
            helper_ids=("e1",),
            part_prefill_s=0.4,
        )
        self.assertIs(
            evaluate_placement(placement, prompt, Demand(prefill_load=0.5)), Verdict.PLACE
        )
        self.assertIs(evaluate_placement(placement, prompt, Demand(prefill_load=1.2)), Verdict.WAIT)
        valuable = replace(prompt, worth=10.0)
        self.assertIs(
            evaluate_placement(placement, valuable, Demand(prefill_load=1.2)), Verdict.PLACE
        )


VALUE = {"worth": 2.0, "late_worth": 0.66}


class VerdictTest(unittest.TestCase):
    def evaluate(
        self,
        *,
        loss_to_others=0.0,
        own_loss=0.0,
        first_event_in_s=0.5,
        prefill_load=0.0,
        must_decide=False,
        **changes,
    ):
        fields = {"tokens": 4000, "output_tokens": 700, "due_in_s": 1.0, "max_gap_s": 1.0}
        prompt = Prompt(**(fields | VALUE | {"latest_first_event_in_s": 4.0} | changes))
        placement = Placement(
            host_id="e0",
            part_prefill_s=0.1,
            first_event_in_s=first_event_in_s,
            own_loss=own_loss,
            loss_to_others=loss_to_others,
        )
        return evaluate_placement(
            placement, prompt, Demand(prefill_load=prefill_load), must_decide=must_decide
        )

    def test_first_event_after_the_caller_leaves_is_refused(self):
        self.assertIs(self.evaluate(first_event_in_s=4.0), Verdict.REFUSE)
        self.assertIs(self.evaluate(first_event_in_s=1.0), Verdict.PLACE)

    def test_first_event_that_the_caller_still_awaits_is_no_reason_to_refuse(self):
        # Guards against refusals at a share of the time for which the caller waits.
        for first_event_in_s in (2.5, 3.9):
            self.assertIs(self.evaluate(first_event_in_s=first_event_in_s), Verdict.PLACE)

    def test_late_prompt_is_placed_for_what_its_response_is_still_worth(self):
        late = {"due_in_s": -0.1, "own_loss": 2.0, "must_decide": True}
        self.assertIs(self.evaluate(loss_to_others=0.6, late_worth=0.7, **late), Verdict.PLACE)
        self.assertIs(self.evaluate(loss_to_others=0.6, late_worth=0.5, **late), Verdict.REFUSE)

    def test_prompt_that_delays_others_waits_up_to_its_limit(self):
        self.assertIs(self.evaluate(loss_to_others=1.8), Verdict.WAIT)
        self.assertIs(self.evaluate(loss_to_others=1.8, must_decide=True), Verdict.PLACE)

    def test_prompt_that_costs_others_more_than_its_worth_is_refused_at_its_limit(self):
        self.assertIs(self.evaluate(loss_to_others=10.0), Verdict.WAIT)
        self.assertIs(self.evaluate(loss_to_others=10.0, must_decide=True), Verdict.REFUSE)

    def test_late_prompt_does_not_wait_while_prefill_is_overloaded(self):
        self.assertIs(self.evaluate(loss_to_others=10.0, due_in_s=-0.1), Verdict.WAIT)
        self.assertIs(
            self.evaluate(loss_to_others=10.0, due_in_s=-0.1, prefill_load=1.2), Verdict.REFUSE
        )


class BacklogTest(unittest.TestCase):
    def filled(self, *, for_s, every_s=0.1):
        backlog = Backlog()
        for step in range(int(for_s / 0.02) + 1):
            backlog.record_waiting(10.0 + step * 0.02)
            if step and step % round(every_s / 0.02) == 0:
                backlog.record_grant(10.0 + step * 0.02)
        return backlog, 10.0 + for_s

    def wait_s(self, backlog, now_s, *, on_time=0, late=0, is_late=False):
        return backlog.expected_wait_s(now_s, Ahead(on_time=on_time, late=late), is_late=is_late)

    def test_burst_is_not_lasting(self):
        backlog, now_s = self.filled(for_s=0.2)
        self.assertFalse(backlog.is_lasting(now_s))
        backlog, now_s = self.filled(for_s=3.0)
        self.assertTrue(backlog.is_lasting(now_s))

    def test_requests_far_back_in_the_queue_wait_for_longer(self):
        backlog, now_s = self.filled(for_s=3.0)
        self.assertAlmostEqual(self.wait_s(backlog, now_s), 0.1, delta=0.03)
        self.assertAlmostEqual(self.wait_s(backlog, now_s, on_time=10), 1.1, delta=0.3)

    def test_late_requests_get_only_what_those_on_time_leave(self):
        backlog, now_s = self.filled(for_s=3.0)
        backlog.record_waiting(now_s, is_late=True)
        backlog.record_waiting(now_s + 0.9, is_late=True)
        for number in range(9):
            backlog.record_grant(now_s + 0.1 * (number + 1))
        now_s += 0.9
        self.assertGreaterEqual(self.wait_s(backlog, now_s, is_late=True), 0.9)
        self.assertGreaterEqual(self.wait_s(backlog, now_s, late=3, is_late=True), 3.6)
        self.assertLess(self.wait_s(backlog, now_s), 0.2)

    def test_late_requests_are_expected_as_soon_as_others_if_none_is_on_time(self):
        backlog, now_s = self.filled(for_s=3.0)
        self.assertAlmostEqual(self.wait_s(backlog, now_s, is_late=True), 0.1, delta=0.03)

    def test_what_has_not_come_for_a_time_is_not_expected_sooner_than_after_as_long_again(self):
        backlog, now_s = self.filled(for_s=3.0)
        for step in range(1, 41):
            backlog.record_waiting(now_s + 0.1 * step)
        self.assertGreaterEqual(self.wait_s(backlog, now_s + 4.0), 4.0)

    def test_backlog_ends_when_no_request_has_waited_for_a_while(self):
        backlog, now_s = self.filled(for_s=3.0)
        self.assertAlmostEqual(backlog.lasted_s(now_s), 3.0)
        self.assertEqual(backlog.lasted_s(now_s + 1.1), 0.0)
        backlog.record_waiting(now_s + 1.1)
        self.assertFalse(backlog.is_lasting(now_s + 1.1))


class ChoiceTest(unittest.TestCase):
    def candidates(self, count=8):
        return [Candidate(target_id=f"e{n}", load=TargetLoad()) for n in range(count)]

    def prompt(self, tokens, **changes):
        fields = {
            "tokens": tokens,
            "output_tokens": 700,
            "due_in_s": 3.0,
            "max_gap_s": 1.0,
            "worth": 10.0,
        }
        return Prompt(**(fields | changes))

    def writer(self, name, **changes):
        """Return the work of a request that is decoding."""
        fields = {
            "work_id": name,
            "owner": "a",
            "target_id": "e0",
            "context_tokens": 5000,
            "kv_tokens": 6000,
            "max_gap_s": 0.25,
            "has_begun": True,
        }
        return Work(**(fields | changes))

    def test_short_prompt_gets_no_helpers(self):
        placement = place_prompt(self.prompt(4000, due_in_s=0.3), self.candidates(), ENGINE, 0.0)
        self.assertEqual(placement.helper_ids, ())

    def test_prompt_too_long_for_its_deadline_gets_helpers(self):
        tokens = 200_000
        self.assertGreater(read_s(ENGINE, tokens), 3.0)
        placement = place_prompt(self.prompt(tokens), self.candidates(), ENGINE, 0.0)
        self.assertGreaterEqual(len(placement.helper_ids), 1)
        self.assertLess(placement.first_event_in_s, 3.0)
        self.assertEqual(
            [(share.target_id, share.tokens) for share in placement.shares],
            [(placement.host_id, tokens)],
        )

    def test_no_prompt_lists_more_engines_than_a_request_may(self):
        for tokens in range(50_000, 1_000_000, 50_000):
            for due_in_s in (0.3, 1.0, 3.0):
                prompt = self.prompt(tokens, due_in_s=due_in_s)
                placement = place_prompt(prompt, self.candidates(40), ENGINE, 0.0)
                listed = {*placement.helper_ids, *(share.target_id for share in placement.shares)}
                self.assertLessEqual(len(listed), MAX_LISTED_ENGINES, (tokens, due_in_s))

    def test_host_that_needs_little_memory_reserves_none(self):
        tokens = 20_000
        placement = place_prompt(self.prompt(tokens, due_in_s=0.12), self.candidates(), ENGINE, 0.0)
        self.assertGreaterEqual(len(placement.helper_ids), 1)
        self.assertEqual(placement.shares, ())

    def test_prompt_beyond_one_kv_cache_has_shares_at_helpers(self):
        placement = place_prompt(self.prompt(500_000), self.candidates(), ENGINE, 0.0)
        host_share, *helper_shares = placement.shares
        reserved_tokens = sum(share.tokens for share in helper_shares)
        self.assertEqual(placement.host_kv_tokens + reserved_tokens, 500_700)
        self.assertEqual(host_share.target_id, placement.host_id)
        self.assertEqual(host_share.tokens + reserved_tokens, 500_000)
        self.assertLessEqual(placement.host_kv_tokens, ENGINE.kv_capacity_tokens)
        self.assertLessEqual({s.target_id for s in helper_shares}, set(placement.helper_ids))
        for share in placement.shares:
            self.assertLessEqual(share.tokens, ENGINE.kv_capacity_tokens)

    def test_prompt_beyond_all_kv_caches_is_not_placed(self):
        placement = place_prompt(self.prompt(900_000), self.candidates(3), ENGINE, 0.0)
        self.assertIsNone(placement)

    def test_long_prefill_avoids_short_gap_streams(self):
        candidates = self.candidates(4)
        for number in range(3):
            candidates[0].load.add(self.writer(f"w{number}"))
        placement = place_prompt(self.prompt(100_000), candidates, ENGINE, 0.0)
        self.assertNotIn("e0", (placement.host_id, *placement.helper_ids))

    def test_short_gap_streams_share_a_target(self):
        candidates = self.candidates(4)
        for number in range(3):
            candidates[2].load.add(self.writer(f"w{number}", target_id="e2"))
        prompt = self.prompt(4000, due_in_s=0.3, max_gap_s=0.25, worth=1.0)
        self.assertEqual(place_prompt(prompt, candidates, ENGINE, 0.0).host_id, "e2")

    def test_full_target_gets_no_work(self):
        candidates = self.candidates(1)
        for number in range(ENGINE.slots):
            candidates[0].load.add(self.writer(f"w{number}"))
        self.assertIsNone(place_prompt(self.prompt(1000), candidates, ENGINE, 0.0))

    def test_target_without_free_kv_cache_gets_no_work(self):
        candidates = self.candidates(1)
        candidates[0].load.add(self.writer("w", kv_tokens=200_000))
        self.assertIsNone(place_prompt(self.prompt(50_000), candidates, ENGINE, 0.0))

    def test_slow_target_is_avoided(self):
        candidates = self.candidates(2)
        candidates[0].load.pace = 5.0
        placement = place_prompt(self.prompt(60_000, due_in_s=1.0), candidates, ENGINE, 0.0)
        self.assertEqual(placement.host_id, "e1")


class BoardTest(unittest.TestCase):
    def work(self, work_id, target="e0", **changes):
        fields = {"work_id": work_id, "owner": "a", "target_id": target, "read_s": 1.0}
        return Work(**(fields | changes))

    def test_prefills_run_one_after_another(self):
        board = LoadBoard()
        board.add([self.work("w1", placed_s=10.0), self.work("w2", placed_s=10.0)])
        load = board.load("e0")
        self.assertEqual(load.prefill_wait_s(10.0), 2.0)
        board.record_first_event("w1", ["e0"], 10.5)
        self.assertAlmostEqual(load.prefill_wait_s(10.5), 1.0)
        board.remove("w2", ["e0"], 10.5)
        self.assertEqual(load.prefill_wait_s(10.5), 0.0)
        self.assertEqual(load.in_flight, 1)

    def test_prefill_that_ends_early_frees_the_time_with_which_it_was_counted(self):
        load = TargetLoad()
        load.add(Work(work_id="a", owner="x", target_id="t", read_s=1.0, placed_s=0.0))
        load.add(Work(work_id="b", owner="x", target_id="t", read_s=1.0, placed_s=0.0))
        load.record_pace(4.0)
        load.remove("b", 0.5)
        self.assertAlmostEqual(load.prefill_free_s, 1.0)
        load.remove("a", 0.5)
        self.assertAlmostEqual(load.prefill_free_s, 0.5)

    def test_helpers_end_after_prefill_unless_they_hold_kv_cache(self):
        board = LoadBoard()
        board.add(
            [
                self.work("w1"),
                self.work("w1", "e1", writes=False),
                self.work("w1", "e2", writes=False, kv_tokens=1000),
            ]
        )
        board.record_first_event("w1", ["e0", "e1", "e2"], 1.0)
        self.assertEqual([board.load(f"e{n}").helped_prompts for n in range(3)], [0, 0, 1])
        board.remove("w1", ["e0", "e1", "e2"], 2.0)
        self.assertEqual([len(board.load(f"e{n}").works) for n in range(3)], [0, 0, 0])

    def test_due_time_defaults_to_infinity(self):
        self.assertEqual(self.work("w").due_in_s, math.inf)
