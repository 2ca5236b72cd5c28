"""The clock of the control loop."""

from __future__ import annotations

import time


class Clock:
    """Unix time at the start, advanced by a monotonic clock.

    Changes of the system's time do not affect it, and it can be compared with the start times of workers.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Seconds since 1970."""
        return self._offset_s + time.monotonic()
