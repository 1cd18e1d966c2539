"""Tests of what callers get when few requests wait while slots become free often."""

import asyncio
import itertools
import math
import unittest
from dataclasses import replace

from cicadatiller.gateway._retry_after import MIN_RETRY_AFTER_S
from cicadatiller.gateway._scheduler import RECHECK_INTERVAL_S as RECHECK_S
from cicadatiller.placement import (
    Backlog,
    LoadBoard,
    Work,
    expected_slot_interval_s,
    min_first_event_s,
    write_s,
)

from .support.paused_loop import PausedCase
from .support.scheduler_play import RequestShape, SchedulerPlay
from .support.simulated_engines import ENGINE

STREAM_S = 1.3
# As the play's requests state, which limit it.
OUTPUT_TOKENS = 100
TARGETS = ("t0", "t1", "t2")
CAPACITY_PER_S = len(TARGETS) * ENGINE.slots / STREAM_S


def work(number, *, owner="g1", target_id="t0", placed_s=0.0):
    """Return a stream's work that has begun."""
    return Work(
        work_id=f"{owner}-w{number}",
        owner=owner,
        target_id=target_id,
        read_s=0.01,
        placed_s=placed_s,
        has_begun=True,
    )


class PeerStreams:
    """Streams of peers that hold all slots; each slot is free for a moment after its stream.

    Args:
        board: The load board of the entry under test.
        wake: Called after each change.
        free_s: For how long a slot stays free for others after a stream.
    """

    def __init__(self, *, board, wake, free_s=0.02):
        self._board = board
        self._wake = wake
        self._free_s = free_s
        self._numbers = itertools.count()

    async def run(self, target_id, first_end_s):
        """Keep one slot of a target in use, but for the moments when it is free."""
        loop = asyncio.get_running_loop()
        left_s = first_end_s
        while True:
            item = work(
                next(self._numbers),
                owner=f"g{1 + next(self._numbers) % 2}",
                target_id=target_id,
                placed_s=loop.time(),
            )
            self._board.add([item])
            await asyncio.sleep(left_s)
            self._board.remove(item.work_id, [target_id], loop.time(), by_peer=True)
            self._wake()
            await asyncio.sleep(self._free_s)
            while self._board.load(target_id).in_flight >= ENGINE.slots:
                await asyncio.sleep(self._free_s)
            left_s = STREAM_S


class FewWaitersTest(PausedCase):
    def test_few_waiters_are_not_refused_while_slots_become_free_often(self):
        async def scenario():
            play = SchedulerPlay(entries=1)
            (entry,) = play.entries
            peers = PeerStreams(board=play.boards[0], wake=entry.wake)
            slots = [target_id for target_id in TARGETS for _ in range(ENGINE.slots)]
            tasks = [
                asyncio.create_task(peers.run(target_id, STREAM_S * (1 + number) / len(slots)))
                for number, target_id in enumerate(slots)
            ]
            await asyncio.sleep(2.0)
            outcomes = await play.load(
                20.0, {RequestShape(target_latency_s=0.6, stream_s=0.2): 2.0}
            )
            for task in tasks:
                task.cancel()
            await play.end()
            return outcomes

        outcomes = self.run_paused(scenario())
        refused = [outcome for outcome in outcomes if not outcome.is_served]
        self.assertGreater(len(outcomes), 30)
        self.assertEqual([outcome.failure.message for outcome in refused], [])


class OverloadTest(PausedCase):
    def play(self, loads, *, entries):
        """Return the outcomes of the last of some loads, each (seconds, rates)."""

        async def scenario():
            play = SchedulerPlay(entries=entries)
            for seconds, rates in loads:
                outcomes = await play.load(seconds, rates)
            await play.end()
            return outcomes

        return self.run_paused(scenario())

    def test_three_times_the_capacity_uses_the_slots_and_refuses_what_has_no_chance(self):
        # Guards against refusals for the latency target alone, while the caller waits for longer,
        # and against requests that are held until their callers leave.
        shape = RequestShape()
        rates = {shape: 3 * CAPACITY_PER_S}
        outcomes = self.play([(5.0, rates), (15.0, rates)], entries=3)
        spare_s = shape.target_latency_s - min_first_event_s(ENGINE, shape.tokens)
        served = [outcome for outcome in outcomes if outcome.is_served]
        on_time = [outcome for outcome in served if outcome.held_s <= spare_s + RECHECK_S]
        self.assertGreaterEqual(len(served), 0.95 * 15.0 * CAPACITY_PER_S)
        self.assertGreaterEqual(len(on_time), 0.8 * 15.0 * CAPACITY_PER_S)
        held_s = sorted(outcome.held_s for outcome in outcomes if not outcome.is_served)
        self.assertLess(held_s[len(held_s) // 2], spare_s + 2 * RECHECK_S)
        # What has not come in half of the caller's time is not expected in the other half.
        self.assertLess(held_s[len(held_s) * 95 // 100], shape.limit_s / 2)

    def test_held_prompts_come_back_no_sooner_than_they_were_held_and_in_time(self):
        rates = {
            RequestShape(): 1.8 * CAPACITY_PER_S,
            RequestShape(tokens=60_000, target_latency_s=3.0): 0.24 * CAPACITY_PER_S,
            RequestShape(tokens=150_000, target_latency_s=3.0): 0.18 * CAPACITY_PER_S,
        }
        outcomes = self.play([(15.0, rates)], entries=1)
        refused = [outcome for outcome in outcomes if not outcome.is_served]
        held = [outcome for outcome in refused if outcome.held_s > 1.0]
        self.assertGreater(len(held), 10)
        for outcome in held:
            shape = outcome.shape
            needed_s = min_first_event_s(ENGINE, shape.tokens)
            needed_s += write_s(ENGINE, OUTPUT_TOKENS, 1, shape.tokens)
            # The caller can be served if it comes back by then.
            latest_s = shape.limit_s - outcome.held_s - needed_s
            retry_after_s = outcome.failure.retry_after_s
            self.assertGreaterEqual(retry_after_s, min(outcome.held_s, latest_s) - 0.001)
            if latest_s > MIN_RETRY_AFTER_S:
                self.assertLessEqual(retry_after_s, latest_s + 0.001)


class SlotIntervalTest(unittest.TestCase):
    def board(self, *, streams, owners=("g0",), stream_s=1.0, seconds=30):
        """Return the board after streams, begun in turn, followed each other on one target."""
        board = LoadBoard()
        works = {}
        step_s = stream_s / streams
        numbers = itertools.count()
        for step in range(round(seconds / step_s)):
            now_s = step * step_s
            slot = step % streams
            if slot in works:
                board.remove(works[slot].work_id, ["t0"], now_s)
            owner = owners[slot % len(owners)]
            works[slot] = work(next(numbers), owner=owner, placed_s=now_s)
            board.add([replace(works[slot])])
        return board, now_s

    def test_interval_is_that_between_ends_of_own_streams(self):
        board, now_s = self.board(streams=8)
        self.assertAlmostEqual(
            expected_slot_interval_s([board.load("t0")], "g0", now_s), 1 / 8, delta=0.01
        )

    def peers_interval_s(self, *, keeps):
        """Return the interval beside a peer that keeps its slots for its own requests, or not."""
        board = LoadBoard()
        for number in range(200):
            now_s = number / 8
            ended = f"g1-w{number - 8}"
            added = [work(number, placed_s=now_s)]
            if keeps:
                board.add(added)
            board.remove(ended, ["t0"], now_s, by_peer=True)
            if not keeps:
                board.add(added)
        return expected_slot_interval_s([board.load("t0")], "g0", now_s)

    def test_slots_that_a_peer_leaves_count(self):
        self.assertAlmostEqual(self.peers_interval_s(keeps=False), 1 / 8, delta=0.01)

    def test_slots_that_a_peer_keeps_do_not_count(self):
        self.assertGreater(self.peers_interval_s(keeps=True), 2.0)

    def test_more_streams_end_as_soon_as_more_run(self):
        board, now_s = self.board(streams=2)
        for number in range(6):
            board.add([work(1000 + number, owner="g0", placed_s=now_s)])
        self.assertAlmostEqual(
            expected_slot_interval_s([board.load("t0")], "g0", now_s), 1 / 8, delta=0.03
        )

    def test_interval_grows_while_no_stream_ends(self):
        board, now_s = self.board(streams=8)
        before_s = expected_slot_interval_s([board.load("t0")], "g0", now_s)
        self.assertGreater(
            expected_slot_interval_s([board.load("t0")], "g0", now_s + 5.0), 2 * before_s
        )

    def test_refused_prompts_are_not_taken_for_ends_of_streams(self):
        board, now_s = self.board(streams=8)
        before_s = expected_slot_interval_s([board.load("t0")], "g0", now_s)
        for number in range(50):
            board.add([replace(work(1000 + number, owner="g0", placed_s=now_s), has_begun=False)])
            board.remove(f"g0-w{1000 + number}", ["t0"], now_s)
        after_s = expected_slot_interval_s([board.load("t0")], "g0", now_s)
        self.assertAlmostEqual(after_s, before_s)

    def test_interval_is_unknown_without_streams(self):
        self.assertEqual(expected_slot_interval_s([LoadBoard().load("t0")], "g0", 10.0), math.inf)


class NewBacklogTest(unittest.TestCase):
    def test_new_backlog_does_not_begin_with_the_interval_of_the_last_one(self):
        backlog = Backlog()
        for step in range(20):
            backlog.record_waiting(10.0 + step)
            backlog.record_grant(10.0 + step)
        backlog.record_waiting(100.0)
        self.assertEqual(backlog.interval_s, 0.0)
