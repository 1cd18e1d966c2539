"""Checks the capacity page against the committed results of the bench."""

import unittest

from bench.capacity import PAGE, fit, load_results, render


class CapacityPageTest(unittest.TestCase):
    def test_tables_are_those_of_the_committed_results(self):
        page = PAGE.read_text()
        self.assertEqual(page, render(page, load_results()))

    def test_a_changed_result_changes_the_page(self):
        page, results = PAGE.read_text(), load_results()
        results["slopes"]["points"][0]["entry"]["bytes_per_s"] += 1000
        self.assertNotEqual(page, render(page, results))

    def test_line_through_points(self):
        intercept, slope = fit([(1, 5.0), (2, 7.0), (4, 11.0)])
        self.assertAlmostEqual(intercept, 3.0)
        self.assertAlmostEqual(slope, 2.0)


if __name__ == "__main__":
    unittest.main()
