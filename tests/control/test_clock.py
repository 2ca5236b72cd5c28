"""The control loop's clock."""

from __future__ import annotations

import time
import unittest
from unittest import mock

from cottonladder.control.clock import Clock


class ClockTests(unittest.TestCase):
    def test_a_change_of_the_system_time_does_not_change_the_clock(self) -> None:
        clock = Clock()
        before = clock.now()
        self.assertAlmostEqual(before, time.time(), delta=1.0)  # comparable with workers' start times
        with mock.patch("time.time", return_value=before - 3600.0):
            after = clock.now()
        self.assertTrue(before <= after < before + 60.0)


if __name__ == "__main__":
    unittest.main()
