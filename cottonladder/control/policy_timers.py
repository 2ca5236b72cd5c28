"""Timers that the routing policy orders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..model.inputs import TimerFired
from ..model.orders import StartTimer
from .loop_lag import LoopLagMonitor


class PolicyTimers:
    """The running timers; each puts `TimerFired` into the queue when it expires.

    The policy may start a timer with the token of a running one, so each timer also has its own number.
    """

    def __init__(self, put_input: Callable[[TimerFired], None], lag_monitor: LoopLagMonitor) -> None:
        self._put_input = put_input
        self._lag_monitor = lag_monitor
        self._last_number = 0
        self._handles: dict[int, asyncio.TimerHandle] = {}

    def start(self, order: StartTimer) -> None:
        """Starts a timer in the running event loop."""
        self._last_number += 1
        loop = asyncio.get_running_loop()
        handle = loop.call_later(order.delay_s, self._fire, self._last_number, order.token)
        self._handles[self._last_number] = handle

    def cancel_all(self) -> None:
        """Cancels all running timers."""
        for handle in self._handles.values():
            handle.cancel()
        self._handles.clear()

    def _fire(self, number: int, token: int) -> None:
        due_at = self._handles.pop(number).when()
        self._lag_monitor.record("timer", asyncio.get_running_loop().time() - due_at)
        self._put_input(TimerFired(token))
