"""Pacing of messages within a limit on their number in a sliding time window."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MessageLimit:
    """A limit on messages: at most `max_messages` in any window of this length, in seconds."""

    max_messages: int
    window_s: float

    def keeps_interval(self, times: Sequence[float], now: float, count: int, interval_s: float) -> bool:
        """Returns whether `count` messages may be written now, and one after each further interval.

        `times` are those of the earlier messages within the window, oldest first.  The check is of every
        window that starts at one of these messages or now: its messages and those that the schedule adds
        until its end must be within the limit.  If it is true for a message, it is true again for the next
        one after an interval, so that no message ever has to wait longer.
        """
        message_times = [*times, *[now] * count]
        for index, time in enumerate(message_times):
            scheduled = math.ceil((time + self.window_s - now) / interval_s) - 1
            if len(message_times) - index + max(0, scheduled) > self.max_messages:
                return False
        return True
