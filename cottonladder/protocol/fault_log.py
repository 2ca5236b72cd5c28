"""Log lines of what clients get wrong: of each kind one at once, then its number; nobody fills the log."""

from __future__ import annotations

from typing import Any

import structlog

SUMMARY_INTERVAL = 10.0  # s between two lines of one kind
MAX_REASONS = 32  # kinds told apart meanwhile


class RateLimitedFaultLog:
    """`event` is the line's name."""

    def __init__(self, event: str) -> None:
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._event = event
        self._count: dict[str, int] = {}
        self._since = 0.0

    def report(self, why: str, **shown: Any) -> None:
        key = why if why in self._count or len(self._count) < MAX_REASONS else "others"
        self._count[key] = self._count.get(key, -1) + 1
        if self._count[key] == 0:
            self.log.info(self._event, why=key, **shown)

    def summarize(self, now: float) -> None:
        if now - self._since >= SUMMARY_INTERVAL:
            for why, more in self._count.items():
                if more:
                    self.log.info(self._event, why=why, more=more)
            self._since, self._count = now, {}
