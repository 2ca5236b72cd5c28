"""Rate-limited logging of faults that peers cause, so that no peer can fill the log."""

from __future__ import annotations

from typing import Any

import structlog

SUMMARY_INTERVAL_S = 10.0  # minimum time between two summaries
MAX_REASONS = 32  # reasons logged separately in an interval; further ones are counted together
OTHER_REASONS = "others"


class RateLimitedFaultLog:
    """Log of faults, rate-limited by their reason.

    The first fault of each reason is logged immediately, and the number of its repetitions once an interval.
    `event` is the event name of the log lines.  The owner calls `summarize` periodically.
    """

    def __init__(self, event: str) -> None:
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._event = event
        self._repetitions: dict[str, int] = {}  # by summary, without the first fault, which was logged
        self._interval_started_at = 0.0

    def report(self, reason: str, summary: str = "", **fields: Any) -> None:
        """Logs or counts a fault; `fields` describe the peer that caused it.

        `summary` is the reason without values that the peer sent: faults with the same summary count as
        repetitions of one another.  If it is empty, `reason` itself is the summary.
        """
        group = summary or reason
        if group not in self._repetitions and len(self._repetitions) >= MAX_REASONS:
            group = reason = OTHER_REASONS
        if group in self._repetitions:
            self._repetitions[group] += 1
            return
        self._repetitions[group] = 0
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
