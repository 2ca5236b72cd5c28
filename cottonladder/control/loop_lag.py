"""Monitor of the lag of the control loop: long batches and late timers."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from ..config.fields import MS_PER_S

MIN_LOOP_LAG_S = 0.01  # the policy's tick is 25 times as long, so a shorter lag changes no decision
MIN_LOGGED_LAG_GROWTH = 1.5  # ratio to the last logged lag of the same source above which a lag is logged


class LoopLagMonitor:
    """Monitor that calls `on_lag`, if given, for each long batch or late timer, and logs growing lags."""

    def __init__(self, on_lag: Callable[[], None] | None) -> None:
        self._on_lag = on_lag
        self._last_logged_lag_s: dict[str, float] = {}  # by source
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def record(self, source: str, lag_s: float) -> None:
        """Records the duration of a batch or the delay of a timer; `source` is "batch" or "timer"."""
        if lag_s <= MIN_LOOP_LAG_S:
            return
        if self._on_lag is not None:
            self._on_lag()
        if lag_s > MIN_LOGGED_LAG_GROWTH * self._last_logged_lag_s.get(source, 0.0):
            self._last_logged_lag_s[source] = lag_s
            self.log.info("loop_lag", source=source, duration_ms=round(lag_s * MS_PER_S, 1))
