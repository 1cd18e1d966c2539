"""Tests of the clock and of stalls of the event loop."""

import asyncio
import unittest
from unittest import mock

from cicadatiller.gateway._clock import ClockWatch
from cicadatiller.kernel import Event, StallWatch

from .support import PausedCase


class StallWatchTest(PausedCase):
    def test_stall_is_counted_and_logged_with_its_length(self):
        async def scenario():
            watch = StallWatch()
            watch.start()
            await asyncio.sleep(1.0)
            asyncio.get_running_loop().advance(2.0)
            await asyncio.sleep(0.3)
            watch.close()
            return watch.stalls

        with mock.patch("cicadatiller.kernel._stall.log_event") as log_event:
            stalls = self.run_paused(scenario())
        self.assertEqual(stalls, 1)
        [call] = log_event.mock_calls
        self.assertIs(call.args[0], Event.STALLED)
        self.assertAlmostEqual(call.kwargs["late_s"], 2.0, delta=0.11)


class ClockWatchTest(unittest.TestCase):
    def test_difference_between_the_clocks_is_reported_once(self):
        clocks = {"loop": 100.0, "boot": 5000.0}
        watch = ClockWatch(loop_time_s=lambda: clocks["loop"], boot_time_s=lambda: clocks["boot"])
        clocks["loop"] += 1
        clocks["boot"] += 1.01
        self.assertEqual(watch.suspended_s(), 0.0)
        clocks["loop"] += 1
        clocks["boot"] += 6
        self.assertAlmostEqual(watch.suspended_s(), 5.0)
        self.assertEqual(watch.suspended_s(), 0.0)
