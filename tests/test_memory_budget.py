"""Tests of what the connections of a process may hold together, without a network.

They guard against a burst of long requests, or callers that stop half-way, that use up the memory of
a process, and against refusals of short requests meanwhile.
"""

import math
import unittest

from cicadatiller.memory_budget import (
    LONG_SHARE,
    SHORT_BYTES,
    STALL_S,
    MemoryBudget,
    ProcessLimits,
    choose_for_slot,
)

LIMIT_BYTES = 100 * SHORT_BYTES
LONG_BYTES = 10 * SHORT_BYTES


class BudgetCase(unittest.TestCase):
    def setUp(self):
        self.budget = MemoryBudget(limit_bytes=LIMIT_BYTES)
        self.evicted = []

    def open(self, name="", *, now_s=0.0, is_handled=False):
        holding = self.budget.open(lambda: self.evicted.append(name), now_s)
        holding.is_handled = is_handled
        return holding

    def fill_with_long(self, *, now_s=0.0, **options):
        """Open connections with long requests until one is refused; return the others."""
        holdings = []
        while True:
            holding = self.open(f"long-{len(holdings)}", now_s=now_s, **options)
            holding.is_within_request = not holding.is_handled
            if not self.budget.try_hold_input(holding, LONG_BYTES, now_s):
                self.budget.close(holding)
                return holdings
            holdings.append(holding)


class InputTest(BudgetCase):
    def test_a_burst_of_long_requests_leaves_short_ones_their_part(self):
        accepted = self.fill_with_long(is_handled=True)
        self.assertEqual(len(accepted), int(LONG_SHARE * LIMIT_BYTES / LONG_BYTES))
        shorts = [self.open() for _ in range(30)]
        held = [self.budget.try_hold_input(s, SHORT_BYTES, 0.1) for s in shorts]
        self.assertEqual(held.count(True), 30)
        self.assertLessEqual(self.budget.held_bytes, LIMIT_BYTES)

    def test_callers_that_stopped_half_way_give_way_to_others(self):
        self.fill_with_long(now_s=0.0)
        later_s = STALL_S + 0.1
        self.assertTrue(self.budget.try_hold_input(self.open(), LONG_BYTES, later_s))
        self.assertEqual(len(self.evicted), 1)

    def test_callers_that_go_on_sending_keep_their_place(self):
        for holding in self.fill_with_long(now_s=0.0):
            holding.progress_s = STALL_S
        self.assertFalse(self.budget.try_hold_input(self.open(), LONG_BYTES, STALL_S + 0.1))
        self.assertEqual(self.evicted, [])
        self.assertEqual(self.budget.refused, 2)

    def test_requests_that_are_handled_are_never_given_up(self):
        self.fill_with_long(is_handled=True)
        self.assertFalse(self.budget.try_hold_input(self.open(), LONG_BYTES, 60.0))
        self.assertEqual(self.evicted, [])

    def test_what_ends_is_released_once(self):
        holdings = self.fill_with_long(is_handled=True)
        for holding in (*holdings, *holdings):
            self.budget.close(holding)
        self.assertEqual(self.budget.held_bytes, 0)
        self.assertFalse(self.budget.try_hold_input(holdings[0], 1, 0.0))

    def test_without_a_limit_nothing_is_refused(self):
        self.budget = MemoryBudget()
        self.assertTrue(self.budget.try_hold_input(self.open(), 10**15, 0.0))

    def test_idle_connections_stay_open(self):
        for number in range(20):
            self.budget.try_hold_input(self.open(f"idle-{number}"), SHORT_BYTES, 0.0)
        self.fill_with_long(is_handled=True)
        self.assertFalse(self.budget.try_hold_input(self.open(), LONG_BYTES, 60.0))
        self.assertEqual(self.evicted, [])


class OutputTest(BudgetCase):
    def test_a_reader_that_takes_nothing_loses_its_stream_before_the_limit_is_passed_for_long(self):
        readers = [self.open(f"reader-{n}", is_handled=True) for n in range(20)]
        for reader in readers:
            self.budget.set_output(reader, LONG_BYTES, STALL_S + 0.1)
        self.assertLessEqual(self.budget.held_bytes, LIMIT_BYTES)
        self.assertEqual(len(self.evicted), 10)

    def test_a_reader_that_takes_something_keeps_its_stream(self):
        readers = [self.open(f"reader-{n}", is_handled=True) for n in range(20)]
        for reader in readers:
            reader.progress_s = STALL_S
            self.budget.set_output(reader, LONG_BYTES, STALL_S + 0.1)
        self.assertEqual(self.evicted, [])


class SlotTest(BudgetCase):
    def choose(self, *holdings, now_s=10.0):
        return choose_for_slot(holdings, now_s)

    def test_one_that_stopped_within_a_request_goes_before_an_idle_one(self):
        idle, stopped = self.open(), self.open(now_s=5.0)
        stopped.is_within_request = True
        self.assertIs(self.choose(idle, stopped), stopped)

    def test_the_longest_idle_one_goes_first(self):
        later, earlier = self.open(now_s=2.0), self.open(now_s=1.0)
        self.assertIs(self.choose(later, earlier), earlier)

    def test_one_that_sends_many_ahead_goes_after_idle_ones(self):
        ahead, idle = self.open(is_handled=True), self.open()
        ahead.is_full_ahead = True
        self.assertIs(self.choose(ahead, idle), idle)
        self.assertIs(self.choose(ahead), ahead)

    def test_nobody_goes_while_all_make_progress(self):
        handled, fresh = self.open(is_handled=True), self.open(now_s=10.0 - STALL_S / 2)
        self.assertIsNone(self.choose(handled, fresh))


class ProcessLimitsTest(unittest.TestCase):
    def test_limits_follow_from_the_settings_of_the_process(self):
        limits = ProcessLimits(memory_mb=300, descriptors=4100)
        self.assertLess(limits.held_bytes, 0.9 * 300 * 2**20)
        self.assertGreater(limits.held_bytes, 150 * 2**20)
        self.assertLess(3 * limits.caller_connections(2048), 4100 - 200)
        self.assertEqual(limits.caller_connections(10), 10)

    def test_without_settings_there_are_none(self):
        self.assertEqual(ProcessLimits().held_bytes, math.inf)
        self.assertEqual(ProcessLimits().caller_connections(2048), 2048)

    def test_a_single_body_of_the_largest_size_fits_the_smallest_instance(self):
        held_bytes = ProcessLimits(memory_mb=160).held_bytes
        self.assertGreater(LONG_SHARE * held_bytes, 4 * 4_194_304)
