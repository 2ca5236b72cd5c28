"""The control loop: one task that passes inputs to the routing policy and carries out its orders.

A step awaits nothing, so a cancellation of the task never interrupts one.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import structlog

from ..model.inputs import Input
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
from .clock import Clock
from .control_loop_extension import ControlLoopExtension
from .input_queue import InputQueue, LoopInput
from .loop_lag import LoopLagMonitor
from .policy_timers import PolicyTimers
from .state_change_log import StateChangeLog


@dataclass(frozen=True, slots=True)
class NetworkClients:
    """The network clients that carry out orders which are not messages to proxies."""

    discovery: DiscoveryClient
    health_checker: HealthChecker
    gossip: GossipSocket


@dataclass(frozen=True, slots=True)
class ControlLoopObservers:
    """Optional callbacks of the control loop.

    `on_loop_lag` is called after each long batch and late timer, `on_state_change` with each state change
    of the policy, and `on_step` with the controller's clock, in seconds, after each batch.
    """

    on_loop_lag: Callable[[], None] | None = None
    on_state_change: Callable[[StateChange], None] | None = None
    on_step: Callable[[float], None] | None = None


NO_OBSERVERS = ControlLoopObservers()


class ControlLoop:
    """The control loop, with the routing controller and its timers.

    Inputs are read from a queue; orders are passed to the dispatcher or to the network clients.  Extensions
    are called in the given order.
    """

    def __init__(
        self,
        controller: RoutingController,
        input_queue: InputQueue,
        sessions: ProxySessions,
        dispatcher: OrderDispatcher,
        network_clients: NetworkClients,
        state_change_log: StateChangeLog,
        extensions: Iterable[ControlLoopExtension] = (),
        observers: ControlLoopObservers = NO_OBSERVERS,
    ) -> None:
        self._controller = controller
        self._input_queue = input_queue
        self._sessions = sessions
        self._dispatcher = dispatcher
        self._network_clients = network_clients
        self._state_change_log = state_change_log
        self._extensions = list(extensions)
        self._observers = observers
        controller.channel_budget.count_readmissions = dispatcher.count_readmissions
        controller.channel_budget.can_hold_messages = True
        self._clock = Clock()
        self._lag_monitor = LoopLagMonitor(observers.on_loop_lag)
        self._timers = PolicyTimers(input_queue.put, self._lag_monitor)
        self._non_proxy_order_handlers: dict[type, Callable[[Any], None]] = {
            StartTimer: self._start_timer,
            WatchEndpoints: self._watch_endpoints,
            FetchEndpoints: self._fetch_endpoints,
            HealthCheck: self._check_health,
            SendGossip: self._send_gossip,
            WorkerStateChanged: self._handle_worker_state_change,
            AdmissionChanged: self._handle_admission_change,
        }
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    async def run(self) -> None:
        """Handles batches of inputs until it is cancelled; exceptions of the policy propagate."""
        while True:
            batch = await self._input_queue.get_all()
            started_at = time.monotonic()
            self.run_once(batch)
            self._lag_monitor.record("batch", time.monotonic() - started_at)

    def run_once(self, batch: list[LoopInput]) -> None:
        """Passes one batch to the policy, then carries out its orders and sends the messages to proxies."""
        now = self._clock.now()
        inputs = self._collect_inputs(now, batch)
        self._dispatcher.track_proxies(inputs)
        orders = self._controller.decide_orders(now, inputs)
        for order in orders:
            self._apply_order(order)
        if any(isinstance(order, Checkpoint) for order in orders):
            self._controller.channel_budget.record_written(self._dispatcher.pending_line_counts())
        self._send_messages(now)
        if self._observers.on_step is not None:
            self._observers.on_step(now)

    def close(self) -> None:
        """Cancels the policy's timers; called once `run` has ended."""
        self._timers.cancel_all()

    def _collect_inputs(self, now: float, batch: list[LoopInput]) -> list[Input]:
        inputs = [item for item in batch if not isinstance(item, ExtensionMessage)]
        for extension in self._extensions:
            for item in batch:
                extension.observe(now, item)
            inputs += extension.collect_inputs(now)
        return inputs

    def _apply_order(self, order: Order) -> None:
        handler = self._non_proxy_order_handlers.get(type(order))
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
        for proxy, data in self._dispatcher.pop_messages():
            self._sessions.send(proxy, data)
        for extension in self._extensions:
            for proxy, data in extension.collect_messages(now, self._controller):
                self._sessions.send(proxy, data)

    def _start_timer(self, order: StartTimer) -> None:
        self._timers.start(order)

    def _watch_endpoints(self, order: WatchEndpoints) -> None:
        self._network_clients.discovery.set_watching(order.enabled)

    def _fetch_endpoints(self, _order: FetchEndpoints) -> None:
        self._network_clients.discovery.fetch()

    def _check_health(self, order: HealthCheck) -> None:
        self._network_clients.health_checker.start_check(order.worker_index)

    def _send_gossip(self, order: SendGossip) -> None:
        self._network_clients.gossip.send_datagram(order.recipient, order.text)

    def _handle_worker_state_change(self, change: WorkerStateChanged) -> None:
        self._state_change_log.worker_state_changed(change)
        self._notify_observer(change)

    def _handle_admission_change(self, change: AdmissionChanged) -> None:
        self._state_change_log.admission_changed(change)
        self._notify_observer(change)

    def _notify_observer(self, change: StateChange) -> None:
        if self._observers.on_state_change is not None:
            self._observers.on_state_change(change)
