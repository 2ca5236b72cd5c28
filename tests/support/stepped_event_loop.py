"""An event loop whose clock a test can rely on: it advances by timers alone, however busy the machine is."""

from __future__ import annotations

import asyncio
import selectors


class SteppingSelector(selectors.DefaultSelector):
    """Does not wait for a time limit: steps the loop's clock by that limit if no socket is ready."""

    def __init__(self, loop: SteppedEventLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Called by asyncio in each iteration; None means that no timer is set."""
        if timeout is None:
            return super().select(None)
        ready = super().select(0)
        if not ready:
            self._loop.step(timeout)
        return ready


class SteppedEventLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order without waiting for them: its clock steps to the next one that is due."""

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__(SteppingSelector(self))

    def time(self) -> float:
        """Seconds since the loop was made."""
        return self._now

    def step(self, duration_s: float) -> None:
        """Advances the clock, as work of this duration would."""
        self._now += duration_s
