"""Properties of the pacing of messages within a limit for any sliding window."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.model.message_pacing import MessageLimit

WINDOW_S = 10.0
STEP_S = 0.01
TOLERANCE_S = 1e-6


class MessagePacingTests(unittest.TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        st.integers(2, 30),
        st.integers(1, 29),
        st.lists(st.tuples(st.floats(0.0, 3.0), st.booleans()), min_size=1, max_size=60),
    )
    def test_no_message_waits_longer_than_the_interval(
        self, max_messages: int, burst: int, wanted: list[tuple[float, bool]]
    ) -> None:
        """Messages are wanted after random pauses.  Those that leave a spare message are given up if they
        may not be written at once; the others wait, and were written too late by a pause of the whole
        window before."""
        limit = MessageLimit(max_messages, WINDOW_S)
        interval_s = WINDOW_S / (max_messages - min(burst, max_messages - 1))
        now = 0.0
        times: list[float] = []
        for pause_s, is_deferrable in wanted:
            now += pause_s
            wanted_at = now
            count = 2 if is_deferrable else 1
            while not limit.keeps_interval(self.in_window(times, now), now, count, interval_s):
                if is_deferrable:
                    break
                now += STEP_S
            else:
                times.append(now)
                self.assertLessEqual(len(self.in_window(times, now)), max_messages)
            self.assertLessEqual(now - wanted_at, interval_s + STEP_S + TOLERANCE_S)

    def test_a_deferrable_message_leaves_one_that_may_be_written_at_once(self) -> None:
        limit = MessageLimit(2, WINDOW_S)
        self.assertTrue(limit.keeps_interval([], 0.0, 2, WINDOW_S))
        self.assertFalse(limit.keeps_interval([0.0], 1.0, 2, WINDOW_S))
        self.assertTrue(limit.keeps_interval([0.0], 1.0, 1, WINDOW_S))
        self.assertFalse(limit.keeps_interval([0.0, 1.0], 2.0, 1, WINDOW_S))

    @staticmethod
    def in_window(times: list[float], now: float) -> list[float]:
        return [time for time in times if now - time <= WINDOW_S]


if __name__ == "__main__":
    unittest.main()
