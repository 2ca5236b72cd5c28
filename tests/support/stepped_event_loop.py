"""An event loop with a deterministic clock, which does not depend on the machine's load."""

from __future__ import annotations

import asyncio
import selectors


class SteppingSelector(selectors.DefaultSelector):
    """A selector that advances the loop's clock by the timeout, instead of waiting, if no socket is ready."""

    def __init__(self, loop: SteppedEventLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the ready sockets, or advances the clock by `timeout` seconds if there are none.

        asyncio calls it once in each iteration of the loop.  A `timeout` of None means that no timer is set;
        the call then waits for a socket.
        """
        if timeout is None:
            return super().select(None)
        ready = super().select(0)
        if not ready:
            self._loop.step(timeout)
        return ready


class SteppedEventLoop(asyncio.SelectorEventLoop):
    """An event loop that runs timers in order without waiting: its clock jumps to the next timer's time."""

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__(SteppingSelector(self))

    def time(self) -> float:
        """Returns the seconds since the loop was created, on its own clock."""
        return self._now

    def step(self, duration_s: float) -> None:
        """Advances the clock, to simulate work of this duration."""
        self._now += duration_s
