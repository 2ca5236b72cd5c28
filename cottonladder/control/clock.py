"""The clock of the control loop."""

from __future__ import annotations

import time


class Clock:
    """Unix time at the start, advanced by a monotonic clock.

    Steps of the system's time don't reach it, and the start times of workers can be compared with it.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Seconds since 1970."""
        return self._offset_s + time.monotonic()
