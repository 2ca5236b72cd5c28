"""Plausibility checks of reported values, at their bounds."""

from __future__ import annotations

import unittest

from cottonladder.policy import report_plausibility

REFERENCE_RATE = 9.0  # requests/s
INTERVAL_S = 4.0
HIGHEST_COUNT = 400  # 8 * (1 + 9 requests/s) * (1 + 4 s)


class ReportPlausibilityTests(unittest.TestCase):
    def test_counts_over_eight_times_the_reference_are_implausible(self) -> None:
        self.assertTrue(
            report_plausibility.is_plausible_request_count(HIGHEST_COUNT, INTERVAL_S, REFERENCE_RATE)
        )
        self.assertFalse(
            report_plausibility.is_plausible_request_count(HIGHEST_COUNT + 1, INTERVAL_S, REFERENCE_RATE)
        )

    def test_reports_of_over_two_minutes_are_implausible(self) -> None:
        self.assertTrue(report_plausibility.is_plausible_request_count(1, 120.0, REFERENCE_RATE))
        self.assertFalse(report_plausibility.is_plausible_request_count(1, 120.1, REFERENCE_RATE))

    def test_only_positive_latencies_under_eight_objectives_are_plausible(self) -> None:
        self.assertFalse(report_plausibility.is_plausible_latency(0.0, 0.5))
        self.assertTrue(report_plausibility.is_plausible_latency(3.9, 0.5))
        self.assertFalse(report_plausibility.is_plausible_latency(4.0, 0.5))

    def test_reported_rates_are_capped(self) -> None:
        self.assertEqual(report_plausibility.capped_request_rate(12.0), 12.0)
        self.assertEqual(
            report_plausibility.capped_request_rate(3.9e10), report_plausibility.MAX_REQUEST_RATE
        )


if __name__ == "__main__":
    unittest.main()
