"""The owner of the decisions: one task, one queue in, every order handed out from here."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Protocol

import structlog

from ..model.inputs import Input, TimerFired
from ..model.orders import (
    Checkpoint,
    FetchEndpoints,
    HealthCheck,
    LogModeChange,
    SendGossip,
    StartTimer,
    WatchEndpoints,
)
from ..policy.controller import RoutingController
from ..protocol.discovery import DiscoveryClient
from ..protocol.gossip import GossipSocket
from ..protocol.health_checks import HealthChecker
from ..protocol.messages import ExtensionMessage
from ..state.order_dispatcher import OrderDispatcher
from ..state.proxy_sessions import ProxySessions

MIN_LOOP_LAG = 0.01  # s: what is shorter nobody feels, as looks are a quarter of a second apart


class Clock:
    """Unix time as it was at the start, led on by a clock that only advances: steps of the system's time
    don't reach it, and the starts that the list tells of stand on it as they are."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        return self._offset + time.monotonic()


class InputQueue:
    """The queue to the owner; what is put in here is never waited for."""

    def __init__(self) -> None:
        self._items: deque[Input | ExtensionMessage] = deque()
        self._has_items = asyncio.Event()

    def put(self, item: Input | ExtensionMessage) -> None:
        self._items.append(item)
        self._has_items.set()

    async def take(self) -> list[Input | ExtensionMessage]:
        await self._has_items.wait()
        batch = list(self._items)
        self._items.clear()
        self._has_items.clear()
        return batch


@dataclass(frozen=True, slots=True)
class Effects:
    """Those who carry out what isn't said to proxies."""

    discovery: DiscoveryClient
    health_checker: HealthChecker
    gossip: GossipSocket


class ControlLoopExtension(Protocol):
    """Who plans beside the ladder, in the same task: told what comes in, it may add inputs, and once the
    ladder has ordered it may write messages to proxies.  What `start` opens goes onto the stack."""

    async def start(self, stack: AsyncExitStack) -> None: ...
    def observe(self, now: float, item: Input | ExtensionMessage) -> None: ...
    def collect_inputs(self, now: float) -> list[Input]: ...
    def collect_messages(self, now: float, controller: RoutingController) -> Iterable[tuple[int, bytes]]: ...


class ControlLoop:
    """Owns the ladder and its timers; `beside` holds what the operators' file switched on."""

    def __init__(
        self,
        controller: RoutingController,
        input_queue: InputQueue,
        sessions: ProxySessions,
        dispatcher: OrderDispatcher,
        effects: Effects,
        extensions: Iterable[ControlLoopExtension] = (),
    ) -> None:
        self._extensions = list(extensions)
        self.on_loop_lag: Callable[[], None] = lambda: None  # background work makes way
        self.on_mode_change: Callable[[str], None] = lambda words: None  # told each change of mode
        self._controller, self._input_queue, self._sessions, self._dispatcher = (
            controller,
            input_queue,
            sessions,
            dispatcher,
        )
        controller.gate.added = dispatcher.count_added_lines
        self._clock = Clock()
        self._last_timer, self._timers = 0, dict[int, asyncio.TimerHandle]()
        self._worst_lag_s: dict[str, float] = {}
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._effect_handlers: dict[type, Callable[..., None]] = {
            StartTimer: self._start_timer,
            WatchEndpoints: lambda o: effects.discovery.set_watching(o.enabled),
            FetchEndpoints: lambda o: effects.discovery.fetch(),
            HealthCheck: lambda o: effects.health_checker.start_check(o.worker_index),
            SendGossip: lambda o: effects.gossip.send_datagram(o.recipient, o.text),
            LogModeChange: self._log_mode_change,
        }

    async def run(self) -> None:
        while True:
            batch, begun = await self._input_queue.take(), time.monotonic()
            self.step(batch)
            self._record_loop_lag("batch", time.monotonic() - begun)

    def _record_loop_lag(self, what: str, seconds: float) -> None:
        """One line where a batch took longer, or a timer came later, than any before by half."""
        if seconds > MIN_LOOP_LAG:
            self.on_loop_lag()
        if seconds > max(MIN_LOOP_LAG, 1.5 * self._worst_lag_s.get(what, 0.0)):
            self._worst_lag_s[what] = seconds
            self.log.info("behind", what=what, ms=round(seconds * 1000, 1))

    def step(self, batch: list[Input | ExtensionMessage]) -> None:
        now = self._clock.now()
        inputs = [item for item in batch if not isinstance(item, ExtensionMessage)]
        for plan in self._extensions:
            for item in batch:
                plan.observe(now, item)
            inputs += plan.collect_inputs(now)
        self._dispatcher.track_proxies(inputs)
        orders = self._controller.decide(now, inputs)
        for order in orders:
            carry = self._effect_handlers.get(type(order))
            if carry is not None:
                carry(order)
            elif why := self._dispatcher.apply(order):
                self.log.error("order left out", order=type(order).__name__, why=why)
        if any(isinstance(order, Checkpoint) for order in orders):
            self._controller.gate.settle(self._dispatcher.pending_line_counts())
        for proxy, data in self._dispatcher.take_messages():
            self._sessions.send(proxy, data)
        for plan in self._extensions:
            for proxy, data in plan.collect_messages(now, self._controller):
                self._sessions.send(proxy, data)

    def _start_timer(self, order: StartTimer) -> None:
        """Timers count up and are kept until they are due, as they can't be taken back."""
        self._last_timer += 1
        self._timers[self._last_timer] = asyncio.get_running_loop().call_later(
            order.delay_s, self._timer_due, self._last_timer, order.token
        )

    def _timer_due(self, timer: int, token: int) -> None:
        self._record_loop_lag("timer", asyncio.get_running_loop().time() - self._timers.pop(timer).when())
        self._input_queue.put(TimerFired(token))

    def _log_mode_change(self, order: LogModeChange) -> None:
        self.log.info("mode", words=order.message)
        self.on_mode_change(order.message)

    def close(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
