"""Monitors the lag of the control loop: long batches and late timers."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from ..config.fields import MS_PER_S

MIN_LOOP_LAG_S = 0.01  # the policy's tick is 25 times as long, so a shorter lag changes no decision
LAG_LOG_GROWTH = 1.5  # a lag is logged if it exceeds the longest one so far by this factor


class LoopLagMonitor:
    """Calls `on_lag`, if given, for each late batch or timer, and logs those that are the longest so far."""

    def __init__(self, on_lag: Callable[[], None] | None) -> None:
        self._on_lag = on_lag
        self._longest_lag_s: dict[str, float] = {}  # by source
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def record(self, source: str, lag_s: float) -> None:
        """Records how long a batch took, or how late a timer was; `source` names which of the two."""
        if lag_s <= MIN_LOOP_LAG_S:
            return
        if self._on_lag is not None:
            self._on_lag()
        if lag_s > LAG_LOG_GROWTH * self._longest_lag_s.get(source, 0.0):
            self._longest_lag_s[source] = lag_s
            self.log.info("loop_lag", source=source, duration_ms=round(lag_s * MS_PER_S, 1))
