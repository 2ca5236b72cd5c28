"""Log lines about faults of other parties, limited in rate: nobody can fill the log by repeating a fault."""

from __future__ import annotations

from typing import Any

import structlog

SUMMARY_INTERVAL = 10.0  # s between two lines of one reason
MAX_REASONS = 32  # told apart within an interval
OTHER_REASONS = "others"


class RateLimitedFaultLog:
    """Logs the first fault of each reason at once, and the number of its repetitions each interval.

    `event` is the name of the log line.  The owner calls `summarize` now and then.
    """

    def __init__(self, event: str) -> None:
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._event = event
        self._repetitions: dict[str, int] = {}  # by reason, beyond the one that was logged
        self._interval_started_at = 0.0

    def report(self, reason: str, **fields: Any) -> None:
        """A fault with fields that describe its party."""
        if reason not in self._repetitions and len(self._repetitions) >= MAX_REASONS:
            reason = OTHER_REASONS
        if reason in self._repetitions:
            self._repetitions[reason] += 1
            return
        self._repetitions[reason] = 0
        self.log.info(self._event, reason=reason, **fields)

    def summarize(self, now: float) -> None:
        """Logs what was held back, where an interval has passed since it was last done."""
        if now - self._interval_started_at < SUMMARY_INTERVAL:
            return
        for reason, count in self._repetitions.items():
            if count:
                self.log.info(self._event, reason=reason, suppressed_count=count)
        self._interval_started_at = now
        self._repetitions = {}
