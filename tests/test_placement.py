"""Where prompts are read and written, by playing loads."""

import functools
import math
import unittest
from dataclasses import replace

from cicadatiller.placement import (
    Backlog,
    Candidate,
    Demand,
    LoadBoard,
    Placing,
    Prompt,
    TargetLoad,
    Verdict,
    Work,
    expected_demand,
    judge,
    least_first_s,
    place_prompt,
    queue_turn,
    read_s,
)

from .support.engine_play import (
    ENGINE,
    LoadPlay,
    PromptKind,
    least_in_flight,
    share_of_worth,
    share_on_time,
)

SHORT = PromptKind(
    name="short",
    per_s=17.0,
    mean_tokens=4960,
    spread=0.9,
    max_tokens=23_800,
    events=32,
    target_latency_s=0.3,
    max_gap_s=0.25,
    worth=1.3,
)
MIDDLE = PromptKind(
    name="middle",
    per_s=0.93,
    mean_tokens=45_000,
    spread=0.5,
    max_tokens=110_000,
    events=19,
    target_latency_s=1.5,
    max_gap_s=0.6,
    worth=3.9,
)
HUGE = PromptKind(
    name="huge",
    per_s=0.78,
    mean_tokens=133_000,
    spread=0.55,
    max_tokens=600_000,
    events=16,
    target_latency_s=3.0,
    max_gap_s=1.0,
    worth=15.0,
)


def mostly_long(x=1.0):
    return [
        replace(SHORT, per_s=0.32 * x * SHORT.per_s),
        replace(MIDDLE, per_s=1.3 * x * MIDDLE.per_s),
        replace(HUGE, per_s=2.8 * x * HUGE.per_s),
    ]


def mostly_short(x=1.0):
    return [
        replace(SHORT, per_s=2.5 * x * SHORT.per_s),
        replace(MIDDLE, per_s=0.5 * x * MIDDLE.per_s),
        replace(HUGE, per_s=0.05 * x * HUGE.per_s),
    ]


PHASES = [(mostly_long(), 10.0), (mostly_short(), 10.0), (mostly_long(), 10.0)]
SEEDS = (1, 2)


@functools.cache
def play(seed, engines=16, policy=place_prompt):
    """Return the requests of a load that swings, played once."""
    return LoadPlay(engines=engines, seed=seed, policy=policy).run(PHASES)


class LoadTest(unittest.TestCase):
    def test_a_load_that_swings_is_served_on_time(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                requests = play(seed)
                self.assertTrue(all(request.ended_s for request in requests))
                for kind in ("short", "middle", "huge"):
                    self.assertGreater(share_on_time(requests, kind), 0.9, kind)

    def test_it_earns_more_than_least_in_flight(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                theirs = share_of_worth(play(seed, policy=least_in_flight))
                self.assertGreater(share_of_worth(play(seed)), theirs + 0.05)

    def test_the_longest_of_a_kind_are_served_like_the_others(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                huge = [r for r in play(seed) if r.kind.name == "huge"]
                longest = sorted(huge, key=lambda r: -r.tokens)[: len(huge) // 10]
                self.assertGreater(sum(r.on_time for r in longest) / len(longest), 0.7)

    def test_with_a_third_of_the_engines_gone_short_prompts_stay_fast(self):
        requests = play(1, engines=11)
        self.assertGreater(share_on_time(requests, "short"), 0.8)
        self.assertTrue(all(request.ended_s for request in requests))


class OverloadTest(unittest.TestCase):
    """Too few engines for the load."""

    def requests(self, seed, *, engines, phases, **options):
        return LoadPlay(engines=engines, seed=seed, **options).run(phases)

    def test_short_prompts_stay_fast_where_reading_is_short(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                requests = self.requests(
                    seed, engines=10, phases=[(mostly_long(), 10.0), (mostly_short(), 10.0)]
                )
                self.assertGreater(share_on_time(requests, "short"), 0.8)
                self.assertGreater(share_on_time(requests, "huge"), 0.8)

    def test_where_slots_are_short_it_earns_no_less_than_least_in_flight(self):
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

    def test_only_what_came_lately_counts(self):
        load = self.load({"placed_s": 5.0}, {"placed_s": 9.0, "worth": 2.0, "write_s": 1.5})
        demand = expected_demand([load], [], ENGINE, 10.0)
        self.assertAlmostEqual(demand.streams_per_s, 1 / 3)
        self.assertEqual((demand.mean_stream_s, demand.worth, demand.max_gap_s), (1.5, 2.0, 0.25))

    def test_work_that_is_over_still_counts(self):
        load = self.load({"placed_s": 9.0, "read_s": 0.3})
        load.remove("w0", 9.5)
        self.assertAlmostEqual(expected_demand([load], [], ENGINE, 10.0).prefill_load, 0.1)

    def test_work_that_a_peer_tells_of_twice_counts_once(self):
        load = self.load({"placed_s": 9.0, "read_s": 0.3})
        load.add(Work(work_id="w0", owner="a", target_id="e0", placed_s=9.0, read_s=0.3))
        self.assertAlmostEqual(expected_demand([load], [], ENGINE, 10.0).prefill_load, 0.1)

    def test_streams_that_allow_long_gaps_need_no_place_kept(self):
        load = self.load({"placed_s": 9.0, "max_gap_s": 1.0})
        self.assertEqual(expected_demand([load], [], ENGINE, 10.0).streams_per_s, 0.0)

    def test_prompts_that_wait_count_too(self):
        load = self.load({"placed_s": 9.0})
        waiting = [self.prompt(), self.prompt(max_gap_s=1.0)]
        demand = expected_demand([load, TargetLoad()], waiting, ENGINE, 10.0)
        self.assertAlmostEqual(demand.streams_per_s, 2 / 3)
        self.assertAlmostEqual(demand.prefill_load, read_s(ENGINE, 4000) * 2 / 3 / 2)

    def test_a_long_read_keeps_away_from_where_short_streams_are_expected(self):
        demand = Demand(streams_per_s=8.0, mean_stream_s=1.5, max_gap_s=0.25, worth=1.0)
        candidates = [Candidate(target_id=f"e{n}", load=TargetLoad()) for n in range(4)]
        candidates[0].load.add(
            Work(work_id="s", owner="a", target_id="e0", max_gap_s=0.25, has_begun=True)
        )
        prompt = self.prompt(tokens=150_000, due_in_s=4.0, max_gap_s=1.0, worth=10.0)

        def members(**options):
            placing = place_prompt(prompt, candidates, ENGINE, 0.0, **options)
            return {placing.host_id, *placing.helper_ids}

        self.assertEqual(members() & {"e0", "e1"}, {"e1"})
        # Two of the four will have to take the streams.
        self.assertEqual(members(demand=demand), {"e2", "e3"})


class QueueTest(unittest.TestCase):
    def test_late_ones_follow_those_that_can_be_on_time(self):
        turns = {
            "soon": queue_turn(due_in_s=0.3, least_s=0.2),
            "later": queue_turn(due_in_s=2.0, least_s=0.2),
            "late": queue_turn(due_in_s=0.1, least_s=0.2),
            "long past": queue_turn(due_in_s=-1.0, least_s=0.2),
        }
        self.assertEqual(sorted(turns, key=turns.get), ["soon", "later", "long past", "late"])

    def test_long_prompts_need_more_but_not_in_proportion(self):
        short_s, long_s = least_first_s(ENGINE, 4000), least_first_s(ENGINE, 400_000)
        self.assertGreater(long_s, short_s)
        self.assertLess(long_s, read_s(ENGINE, 400_000) / 4)

    def test_where_reading_is_short_what_needs_much_of_it_waits(self):
        prompt = Prompt(tokens=100_000, output_tokens=700, due_in_s=1, max_gap_s=1.0, worth=2.0)
        placing = Placing(
            host_id="e0",
            helper_ids=("e1",),
            part_read_s=0.4,
        )
        self.assertIs(judge(placing, prompt, Demand(prefill_load=0.5)), Verdict.PLACE)
        self.assertIs(judge(placing, prompt, Demand(prefill_load=1.2)), Verdict.WAIT)
        dear = replace(prompt, worth=10.0)
        self.assertIs(judge(placing, dear, Demand(prefill_load=1.2)), Verdict.PLACE)


class JudgeTest(unittest.TestCase):
    def judge(self, *, harm=0.0, first_in_s=0.5, prefill_load=0.0, is_settled=False, **changes):
        fields = {"tokens": 4000, "output_tokens": 700, "due_in_s": 1.0, "max_gap_s": 1.0}
        prompt = Prompt(**(fields | {"worth": 2.0, "ends_in_s": 4.0} | changes))
        placing = Placing(host_id="e0", part_read_s=0.1, first_in_s=first_in_s, harm=harm)
        return judge(placing, prompt, Demand(prefill_load=prefill_load), is_settled=is_settled)

    def test_one_that_would_begin_after_its_caller_has_left_is_refused(self):
        self.assertIs(self.judge(first_in_s=3.9), Verdict.REFUSE)
        self.assertIs(self.judge(first_in_s=1.0), Verdict.PLACE)

    def test_one_that_harms_others_waits_until_it_is_settled(self):
        self.assertIs(self.judge(harm=1.8), Verdict.WAIT)
        self.assertIs(self.judge(harm=1.8, is_settled=True), Verdict.PLACE)

    def test_one_that_harms_others_more_than_it_gains_is_refused_in_the_end(self):
        self.assertIs(self.judge(harm=10.0), Verdict.WAIT)
        self.assertIs(self.judge(harm=10.0, is_settled=True), Verdict.REFUSE)

    def test_one_that_is_late_does_not_wait_for_reading_that_never_becomes_free(self):
        self.assertIs(self.judge(harm=10.0, due_in_s=-0.1), Verdict.WAIT)
        self.assertIs(self.judge(harm=10.0, due_in_s=-0.1, prefill_load=1.2), Verdict.REFUSE)


class BacklogTest(unittest.TestCase):
    def filled(self, *, for_s, every_s=0.1):
        backlog = Backlog()
        for step in range(int(for_s / 0.02) + 1):
            backlog.note_waiting(10.0 + step * 0.02)
            if step and step % round(every_s / 0.02) == 0:
                backlog.note_grant(10.0 + step * 0.02)
        return backlog, 10.0 + for_s

    def in_vain(self, backlog, now_s, *, due_in_s, ahead=0):
        return backlog.waits_in_vain(now_s, due_in_s=due_in_s, least_s=0.1, ahead=ahead)

    def test_a_burst_is_waited_out_even_by_those_that_are_late(self):
        backlog, now_s = self.filled(for_s=0.2)
        self.assertFalse(self.in_vain(backlog, now_s, due_in_s=-1.0, ahead=20))

    def test_in_a_lasting_backlog_late_ones_wait_in_vain(self):
        backlog, now_s = self.filled(for_s=3.0)
        self.assertTrue(self.in_vain(backlog, now_s, due_in_s=0.05))
        self.assertFalse(self.in_vain(backlog, now_s, due_in_s=0.5))

    def test_who_has_many_before_it_waits_in_vain(self):
        backlog, now_s = self.filled(for_s=3.0)
        self.assertTrue(self.in_vain(backlog, now_s, due_in_s=0.5, ahead=10))

    def test_it_is_over_once_nobody_has_waited_for_a_moment(self):
        backlog, now_s = self.filled(for_s=3.0)
        self.assertAlmostEqual(backlog.lasted_s(now_s), 3.0)
        self.assertEqual(backlog.lasted_s(now_s + 1.1), 0.0)
        backlog.note_waiting(now_s + 1.1)
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

    def test_a_short_prompt_is_read_alone(self):
        placing = place_prompt(self.prompt(4000, due_in_s=0.3), self.candidates(), ENGINE, 0.0)
        self.assertEqual(placing.helper_ids, ())

    def test_a_prompt_too_long_for_its_time_is_read_together(self):
        tokens = 200_000
        self.assertGreater(read_s(ENGINE, tokens), 3.0)
        placing = place_prompt(self.prompt(tokens), self.candidates(), ENGINE, 0.0)
        self.assertGreaterEqual(len(placing.helper_ids), 1)
        self.assertLess(placing.first_in_s, 3.0)
        self.assertEqual(placing.shares, ())

    def test_a_prompt_beyond_one_memory_keeps_parts_at_its_helpers(self):
        placing = place_prompt(self.prompt(500_000), self.candidates(), ENGINE, 0.0)
        kept = sum(share.tokens for share in placing.shares)
        self.assertEqual(placing.host_kv_tokens + kept, 500_700)
        self.assertLessEqual(placing.host_kv_tokens, ENGINE.kv_capacity_tokens)
        self.assertLessEqual({s.target_id for s in placing.shares}, set(placing.helper_ids))
        for share in placing.shares:
            self.assertLessEqual(share.tokens, ENGINE.kv_capacity_tokens)

    def test_a_prompt_beyond_all_memory_is_not_placed(self):
        placing = place_prompt(self.prompt(900_000), self.candidates(3), ENGINE, 0.0)
        self.assertIsNone(placing)

    def test_a_long_read_stays_away_from_short_streams(self):
        candidates = self.candidates(4)
        for number in range(3):
            candidates[0].load.add(self.writer(f"w{number}"))
        placing = place_prompt(self.prompt(100_000), candidates, ENGINE, 0.0)
        self.assertNotIn("e0", (placing.host_id, *placing.helper_ids))

    def test_short_streams_share_a_target(self):
        candidates = self.candidates(4)
        for number in range(3):
            candidates[2].load.add(self.writer(f"w{number}", target_id="e2"))
        prompt = self.prompt(4000, due_in_s=0.3, max_gap_s=0.25, worth=1.0)
        self.assertEqual(place_prompt(prompt, candidates, ENGINE, 0.0).host_id, "e2")

    def test_a_full_target_gets_nothing(self):
        candidates = self.candidates(1)
        for number in range(ENGINE.slots):
            candidates[0].load.add(self.writer(f"w{number}"))
        self.assertIsNone(place_prompt(self.prompt(1000), candidates, ENGINE, 0.0))

    def test_a_target_without_memory_gets_nothing(self):
        candidates = self.candidates(1)
        candidates[0].load.add(self.writer("w", kv_tokens=200_000))
        self.assertIsNone(place_prompt(self.prompt(50_000), candidates, ENGINE, 0.0))

    def test_a_slow_target_is_left_to_others(self):
        candidates = self.candidates(2)
        candidates[0].load.pace = 5.0
        placing = place_prompt(self.prompt(60_000, due_in_s=1.0), candidates, ENGINE, 0.0)
        self.assertEqual(placing.host_id, "e1")


class BoardTest(unittest.TestCase):
    def work(self, work_id, target="e0", **changes):
        fields = {"work_id": work_id, "owner": "a", "target_id": target, "read_s": 1.0}
        return Work(**(fields | changes))

    def test_reads_follow_each_other(self):
        board = LoadBoard()
        board.add([self.work("w1", placed_s=10.0), self.work("w2", placed_s=10.0)])
        load = board.load("e0")
        self.assertEqual(load.read_wait_s(10.0), 2.0)
        board.begin("w1", ["e0"], 10.5)
        self.assertAlmostEqual(load.read_wait_s(10.5), 1.0)
        board.remove("w2", ["e0"], 10.5)
        self.assertEqual(load.read_wait_s(10.5), 0.0)
        self.assertEqual(load.in_flight, 1)

    def test_helpers_end_with_the_read_unless_they_keep_memory(self):
        board = LoadBoard()
        board.add(
            [
                self.work("w1"),
                self.work("w1", "e1", writes=False),
                self.work("w1", "e2", writes=False, kv_tokens=1000),
            ]
        )
        board.begin("w1", ["e0", "e1", "e2"], 1.0)
        self.assertEqual([board.load(f"e{n}").helped_prompts for n in range(3)], [0, 0, 1])
        board.remove("w1", ["e0", "e1", "e2"], 2.0)
        self.assertEqual([len(board.load(f"e{n}").works) for n in range(3)], [0, 0, 0])

    def test_the_work_of_an_owner_is_forgotten_with_it(self):
        board = LoadBoard()
        board.add([self.work("w1"), self.work("w2", owner="b")])
        board.remove_owner("a", 1.0)
        self.assertEqual(list(board.load("e0").works), ["w2"])

    def test_no_deadline_is_no_deadline(self):
        self.assertEqual(self.work("w").due_in_s, math.inf)
