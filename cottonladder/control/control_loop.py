"""The control loop: one task that feeds inputs to the routing policy and carries out the orders it gives."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any, Protocol

import structlog

from ..model.inputs import Input, TimerFired
from ..model.orders import (
    Checkpoint,
    FetchEndpoints,
    HealthCheck,
    Order,
    SendGossip,
    StartTimer,
    WatchEndpoints,
)
from ..model.state_changes import AdmissionChanged, StateChange, WorkerStateChanged
from ..policy.controller import RoutingController
from ..protocol.discovery import DiscoveryClient
from ..protocol.gossip import GossipSocket
from ..protocol.health_checks import HealthChecker
from ..protocol.messages import ExtensionMessage
from ..state.order_dispatcher import OrderDispatcher
from ..state.order_errors import OrderRejectedError
from ..state.proxy_sessions import ProxySessions
from .state_change_log import StateChangeLog

MIN_LOOP_LAG = 0.01  # s: what is shorter nobody feels, as the policy looks each quarter of a second
LAG_GROWTH = 1.5  # a lag is logged where it is this many times the longest one before


class Clock:
    """Unix time at the start, advanced by a monotonic clock.

    Steps of the system's time don't reach it, and the start times of workers can be compared with it.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Seconds since 1970."""
        return self._offset + time.monotonic()


class InputQueue:
    """The unbounded queue into the control loop; `put` never waits."""

    def __init__(self) -> None:
        self._items: deque[Input | ExtensionMessage] = deque()
        self._has_items = asyncio.Event()

    def put(self, item: Input | ExtensionMessage) -> None:
        """Adds an input and wakes the loop."""
        self._items.append(item)
        self._has_items.set()

    async def take(self) -> list[Input | ExtensionMessage]:
        """Waits until there is something, and takes all of it."""
        await self._has_items.wait()
        batch = list(self._items)
        self._items.clear()
        self._has_items.clear()
        return batch


@dataclass(frozen=True, slots=True)
class Effects:
    """The objects that carry out orders which are not messages to proxies."""

    discovery: DiscoveryClient
    health_checker: HealthChecker
    gossip: GossipSocket


class ControlLoopExtension(Protocol):
    """A planner beside the routing policy, in the same task.

    In each step it observes the inputs, may add inputs of its own, and may send messages to proxies once the
    policy has decided.
    """

    async def start(self, stack: AsyncExitStack) -> None:
        """Opens what the extension needs; `stack` closes it."""

    def observe(self, now: float, item: Input | ExtensionMessage) -> None:
        """Called with each input, before the policy decides."""

    def collect_inputs(self, now: float) -> list[Input]:
        """Inputs for the policy in this step."""
        ...

    def collect_messages(self, now: float, controller: RoutingController) -> Iterable[tuple[int, bytes]]:
        """Messages to proxies, each with the proxy's number, after the policy has decided."""
        ...


def _ignore_loop_lag() -> None:
    """For a manager without background work."""


def _ignore_state_change(change: StateChange) -> None:
    """For a manager without plug-ins."""


class ControlLoop:
    """Owns the routing controller and its timers.

    `on_loop_lag` is called when a batch or timer was late; `on_state_change` with each state change.
    """

    def __init__(
        self,
        controller: RoutingController,
        input_queue: InputQueue,
        sessions: ProxySessions,
        dispatcher: OrderDispatcher,
        effects: Effects,
        state_change_log: StateChangeLog,
        extensions: Iterable[ControlLoopExtension] = (),
        on_loop_lag: Callable[[], None] = _ignore_loop_lag,
        on_state_change: Callable[[StateChange], None] = _ignore_state_change,
    ) -> None:
        self._controller = controller
        self._input_queue = input_queue
        self._sessions = sessions
        self._dispatcher = dispatcher
        self._effects = effects
        self._state_change_log = state_change_log
        self._extensions = list(extensions)
        self._on_loop_lag = on_loop_lag
        self._on_state_change = on_state_change
        controller.channel_budget.extra_lines = dispatcher.count_added_lines
        self._clock = Clock()
        self._last_timer = 0
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._worst_lag_s: dict[str, float] = {}  # by what was late
        self._effect_handlers: dict[type, Callable[[Any], None]] = {
            StartTimer: self._start_timer,
            WatchEndpoints: self._watch_endpoints,
            FetchEndpoints: self._fetch_endpoints,
            HealthCheck: self._check_health,
            SendGossip: self._send_gossip,
            WorkerStateChanged: self._log_worker_state,
            AdmissionChanged: self._log_admission,
        }
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    async def run(self) -> None:
        """Handles batches of inputs until it is cancelled; a fault of the policy is raised from here."""
        while True:
            batch = await self._input_queue.take()
            started_at = time.monotonic()
            self.step(batch)
            self._record_loop_lag("batch", time.monotonic() - started_at)

    def step(self, batch: list[Input | ExtensionMessage]) -> None:
        """One batch: inputs in, the policy's orders carried out, messages sent."""
        now = self._clock.now()
        inputs = self._collect_inputs(now, batch)
        self._dispatcher.track_proxies(inputs)
        orders = self._controller.decide(now, inputs)
        for order in orders:
            self._carry_out(order)
        if any(isinstance(order, Checkpoint) for order in orders):
            self._controller.channel_budget.record_written(self._dispatcher.pending_line_counts())
        self._send_messages(now)

    def close(self) -> None:
        """Cancels the timers."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    def _collect_inputs(self, now: float, batch: list[Input | ExtensionMessage]) -> list[Input]:
        inputs = [item for item in batch if not isinstance(item, ExtensionMessage)]
        for extension in self._extensions:
            for item in batch:
                extension.observe(now, item)
            inputs += extension.collect_inputs(now)
        return inputs

    def _carry_out(self, order: Order) -> None:
        handler = self._effect_handlers.get(type(order))
        if handler is None:
            self._dispatch(order)
        else:
            handler(order)

    def _dispatch(self, order: Order) -> None:
        try:
            self._dispatcher.apply(order)
        except OrderRejectedError as exc:
            self.log.error(
                "order_rejected", order=type(order).__name__, reason=exc.reason.value, **exc.details()
            )

    def _send_messages(self, now: float) -> None:
        for proxy, data in self._dispatcher.take_messages():
            self._sessions.send(proxy, data)
        for extension in self._extensions:
            for proxy, data in extension.collect_messages(now, self._controller):
                self._sessions.send(proxy, data)

    def _start_timer(self, order: StartTimer) -> None:
        """The policy can't cancel a timer, so each is kept by a number of its own until it is due."""
        self._last_timer += 1
        loop = asyncio.get_running_loop()
        handle = loop.call_later(order.delay_s, self._timer_due, self._last_timer, order.token)
        self._timers[self._last_timer] = handle

    def _timer_due(self, timer: int, token: int) -> None:
        due_at = self._timers.pop(timer).when()
        self._record_loop_lag("timer", asyncio.get_running_loop().time() - due_at)
        self._input_queue.put(TimerFired(token))

    def _watch_endpoints(self, order: WatchEndpoints) -> None:
        self._effects.discovery.set_watching(order.enabled)

    def _fetch_endpoints(self, order: FetchEndpoints) -> None:
        self._effects.discovery.fetch()

    def _check_health(self, order: HealthCheck) -> None:
        self._effects.health_checker.start_check(order.worker_index)

    def _send_gossip(self, order: SendGossip) -> None:
        self._effects.gossip.send_datagram(order.recipient, order.text)

    def _log_worker_state(self, change: WorkerStateChanged) -> None:
        self._state_change_log.worker_state_changed(change)
        self._on_state_change(change)

    def _log_admission(self, change: AdmissionChanged) -> None:
        self._state_change_log.admission_changed(change)
        self._on_state_change(change)

    def _record_loop_lag(self, source: str, lag_s: float) -> None:
        """Logs a batch that took longer, or a timer that came later, than all before by half."""
        if lag_s > MIN_LOOP_LAG:
            self._on_loop_lag()
        if lag_s > max(MIN_LOOP_LAG, LAG_GROWTH * self._worst_lag_s.get(source, 0.0)):
            self._worst_lag_s[source] = lag_s
            self.log.info("loop_lag", source=source, duration_ms=round(lag_s * 1000, 1))
