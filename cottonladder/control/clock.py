"""The clock of the control loop."""

from __future__ import annotations

import time


class Clock:
    """A monotonic clock that starts at the current Unix time.

    Later changes of the system time do not affect it.  Its values can be compared with workers' start times.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Returns the time in seconds since 1970."""
        return self._offset_s + time.monotonic()
