"""Rate-limited log lines about faults of other parties, so that no peer can fill the log."""

from __future__ import annotations

from typing import Any

import structlog

SUMMARY_INTERVAL_S = 10.0  # between two lines with the same reason
MAX_REASONS = 32  # logged separately within an interval; further ones are counted together
OTHER_REASONS = "others"


class RateLimitedFaultLog:
    """Logs the first fault of each reason at once, and the number of its repetitions once an interval.

    `event` is the event name of the log lines.  The owner calls `summarize` periodically.
    """

    def __init__(self, event: str) -> None:
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._event = event
        self._repetitions: dict[str, int] = {}  # by reason, not counting the first, which was logged
        self._interval_started_at = 0.0

    def report(self, reason: str, **fields: Any) -> None:
        """Logs or counts a fault; `fields` describe the party that caused it."""
        if reason not in self._repetitions and len(self._repetitions) >= MAX_REASONS:
            reason = OTHER_REASONS
        if reason in self._repetitions:
            self._repetitions[reason] += 1
            return
        self._repetitions[reason] = 0
        self.log.info(self._event, reason=reason, **fields)

    def summarize(self, now: float) -> None:
        """Logs the counted repetitions if an interval has passed since the last summary; `now` in s."""
        if now - self._interval_started_at < SUMMARY_INTERVAL_S:
            return
        for reason, count in self._repetitions.items():
            if count:
                self.log.info(self._event, reason=reason, suppressed_count=count)
        self._interval_started_at = now
        self._repetitions = {}
