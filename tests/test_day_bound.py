"""Tests the upper bound on a scheduler's score for a day, with synthetic reports."""

import unittest

from bench.day_bound import Loss, SiteFacts, bound_day, losses

SITE = SiteFacts(
    entries=4,
    down_s={"dark": 1.5, "calm": 0.0},
    late_share=0.25,
    stream_s=2.0,
    slot_s={"chat": 2.0},
    slots=10,
)


def make_report(*events, windows=5, per_window=10):
    return {
        "G": 0.9,
        "events": [
            {"kind": kind, "at_s": at_s, "what": what, "planned": False}
            for kind, at_s, what in events
        ],
        "windows": [{"name": str(2 * n), "n": per_window, "not_owed": 0} for n in range(windows)],
        "parts": [["whole day", 0.6, 0.95], ["worst windows", 0.25, 0.9], ["worst class", 0.15, 1]],
        "prices": [["machine-seconds", 100.0, 0.02]],
        "classes": [{"name": "chat", "n": 50, "late": 2, "refused": 0, "failed": 1}],
    }


class BoundTest(unittest.TestCase):
    def test_without_events_only_the_prices_are_lost(self):
        row = bound_day(make_report(), SITE, "calm")
        self.assertAlmostEqual(row.bound, 0.98)
        self.assertEqual((row.credit, row.worth), (0.95, 0.9))

    def test_all_requests_are_late_while_no_entry_has_power(self):
        report = make_report(("closing (power_off_all)", 4.0, "front-a-1 and 3 more"))
        row = bound_day(report, SITE, "dark")
        # Late are requests that arrive in the 2 s before the power failure (still in progress), in
        # the 1.5 s without power, or in the 0.4 s until an entry responds.
        last_share = 1 - 0.75 * 1.9 / 2
        whole = (3 * 1.0 + 0.25 + last_share) / 5
        self.assertAlmostEqual(row.bound, 0.75 * whole + 0.25 * (0.25 + last_share) / 2 - 0.02)

    def test_killed_entries_are_down_for_the_restart_time_only(self):
        found = losses(make_report(("closing (kill_all)", 4.0, "front-a-1")), SITE, "dark")
        self.assertEqual(found, [Loss(from_s=2.0, until_s=5.0, share=1.0)])

    def test_requests_in_progress_at_a_killed_entry_are_late(self):
        found = losses(make_report(("node_kill (power)", 6.0, "front-a-1, srv-1")), SITE, "calm")
        self.assertEqual(found, [Loss(from_s=4.0, until_s=6.0, share=0.25)])
        self.assertEqual([found[0].in_window(begin_s) for begin_s in (2, 4, 6)], [0, 0.25, 0])

    def test_load_is_compared_with_the_slots(self):
        self.assertAlmostEqual(bound_day(make_report(), SITE, "calm").slots, 1.0)

    def test_row_lists_late_refused_and_failed_requests(self):
        row = bound_day(make_report(), SITE, "calm").render()
        self.assertEqual(row, "| calm | 0.950 | 0.900 | 0.980 | 0.080 | 1.00 | chat 2/0/1 |")


if __name__ == "__main__":
    unittest.main()
