"""One manager of a large fleet, in memory, with its channel and the proxies that apply its messages.

The random choices are seeded, the caller advances the clock, and no sockets are used.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from time import perf_counter

from ..model.inputs import (
    Acknowledged,
    Endpoint,
    EndpointState,
    Input,
    ProxyConnected,
    ProxyDisconnected,
    TimerFired,
)
from ..model.orders import (
    Checkpoint,
    FetchEndpoints,
    HealthCheck,
    Order,
    SendGossip,
    StartTimer,
    WatchEndpoints,
)
from ..model.parameters import DeploymentParameters
from ..model.state_changes import AdmissionChanged, WorkerStateChanged
from ..policy.cadence import TICK_INTERVAL_S
from ..policy.controller import RoutingController
from ..state.order_dispatcher import OrderDispatcher
from ..state.worker_registry import WorkerRegistry
from .deployment_parameters import BASE_PARAMETERS
from .simulated_proxy import SimulatedProxy, count_lines

REQUEST_CLASSES = ("fetch", "release")
PARAMETERS = replace(
    BASE_PARAMETERS,
    manager_count=5,
    zone_count=4,
    proxy_count=1600,
    health_checks=True,
    gossip=True,
    channel_lines_per_s=3200.0,
    max_queued_lines=50000.0,
    drain_grace_s=16.0,
    warm_up_start_ratio=0.15,
    proxies_eject_outliers=True,
    warm_up_s=17.0,
    cross_zone_cost=0.08,
)
START_TIME_S = 1000.0  # of the fleet's clock
ACKNOWLEDGEMENT_DELAY_S = (0.1, 0.6)  # the least and the largest delay
ACKNOWLEDGED_LATENCY_S = 0.3  # that proxies state in an acknowledgement
CLOCK_TOLERANCE_S = 1e-9  # for the rounding errors of added steps
TICK = "tick"  # the name of the batches that `run` gives the manager
LOCAL_ORDERS = (  # those that the manager carries out itself, which has no effect here
    WatchEndpoints,
    FetchEndpoints,
    HealthCheck,
    SendGossip,
    WorkerStateChanged,
    AdmissionChanged,
)


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A message that waits in the channel, and the lines that it takes there."""

    proxy: int
    message: bytes
    lines: int


class SimulatedFleet:
    """One manager, the channel that its messages wait in, and the proxies that apply them.

    `channel_speed` is the channel's pace as a ratio of the deployed one, `acknowledged_share` the share of
    checkpoints that proxies acknowledge.
    """

    def __init__(
        self, parameters: DeploymentParameters, channel_speed: float = 1.0, acknowledged_share: float = 1.0
    ) -> None:
        self.parameters = parameters
        self.channel_speed = channel_speed
        self.acknowledged_share = acknowledged_share
        self.now = START_TIME_S
        self.random = random.Random(parameters.seed)
        self.workers = WorkerRegistry()
        self.controller = RoutingController(parameters)
        self.dispatcher = OrderDispatcher(list(REQUEST_CLASSES), parameters.manager_count, self.workers)
        self.controller.channel_budget.count_readmissions = self.dispatcher.count_readmissions
        self.proxies: dict[int, SimulatedProxy] = {}
        self.channel: deque[QueuedMessage] = deque()  # the oldest first
        self.sendable_lines = 0.0  # that the channel may send by now
        self.longest_queue = 0  # lines that waited in the channel at a time
        self.pending_inputs: list[tuple[float, Input]] = []  # acknowledgements by the time of their arrival
        self.budget_faults: list[str] = []  # messages that did not match their reservation
        self.batch_durations: list[float] = []  # s of each batch
        self.longest_batch_s = 0.0
        self.bytes_written = 0
        self.timer_token = 0
        self.extra_inputs: Callable[[], Iterable[Input]] = tuple  # further inputs of each tick; none
        self.orders: list[Order] = []

    def endpoint(
        self, worker_id: str, zone: int, state: EndpointState = EndpointState.READY, started_at: float = 0.0
    ) -> Endpoint:
        """An entry of the endpoint list; registers the worker if its id is new."""
        worker_index = self.workers.register(worker_id, "127.0.0.1:1", started_at)
        return Endpoint(worker_index, zone, state, 1.0, started_at)

    def queued_lines(self) -> int:
        """Lines that wait in the channel."""
        return sum(queued.lines for queued in self.channel)

    def run_batch(self, name: str, inputs: Iterable[Input]) -> None:
        """Gives the manager one batch of inputs, and queues the messages with its orders."""
        inputs = list(inputs)
        started_at = perf_counter()
        self.dispatcher.track_proxies(inputs)
        self.orders = self.controller.decide_orders(self.now, inputs)
        checkpoint = self._dispatch()
        reserved = self._reserved_lines(checkpoint)
        if checkpoint is not None:
            self.controller.channel_budget.record_written(self.dispatcher.pending_line_counts())
        messages = list(self.dispatcher.pop_messages())
        self._record_duration(perf_counter() - started_at)
        corrected = self._reserved_lines(checkpoint)
        for proxy, message in messages:
            queued = self._queue(proxy, message)
            if checkpoint is not None:
                self._check_budget(name, queued, reserved.get(proxy, 0), corrected.get(proxy, 0))
        self.longest_queue = max(self.longest_queue, self.queued_lines())

    def _dispatch(self) -> int | None:
        """Hands the orders to the dispatcher; gives the number of the last checkpoint among them."""
        checkpoint = None
        for order in self.orders:
            if isinstance(order, StartTimer):
                self.timer_token = order.token
                continue
            if isinstance(order, LOCAL_ORDERS):
                continue
            self.dispatcher.apply(order)
            if isinstance(order, Checkpoint):
                checkpoint = order.number
        return checkpoint

    def _reserved_lines(self, checkpoint: int | None) -> dict[int, int]:
        """The lines that the controller has reserved under a checkpoint, by proxy."""
        if checkpoint is None:
            return {}
        return dict(self.controller.channel_budget.in_flight.by_checkpoint.get(checkpoint, {}))

    def _record_duration(self, duration_s: float) -> None:
        self.batch_durations.append(duration_s)
        self.longest_batch_s = max(self.longest_batch_s, duration_s)

    def _queue(self, proxy: int, message: bytes) -> QueuedMessage:
        queued = QueuedMessage(proxy, message, count_lines(message, self.parameters.message_header_lines))
        self.channel.append(queued)
        self.bytes_written += len(message)
        return queued

    def _check_budget(self, name: str, queued: QueuedMessage, reserved: int, corrected: int) -> None:
        """Records a fault if a message has more lines than reserved, or not as many as the correction."""
        if queued.lines <= reserved and queued.lines == corrected:
            return
        self.budget_faults.append(
            f"{self.now - START_TIME_S:.2f} s {name}: proxy {queued.proxy}: "
            f"reserved {reserved}, corrected to {corrected}, written {queued.lines}"
        )

    def connect_proxies(self, proxies: Iterable[int], rate: float = 1.0, has_no_table: bool = False) -> None:
        """Connects proxies, which average `rate` requests/s; `has_no_table` is what they state."""
        joined = []
        for number in proxies:
            proxy = self.proxies.setdefault(number, SimulatedProxy())
            proxy.request_rate = rate * self.random.expovariate(1.0)
            proxy.joined_at = self.now
            zone = number % self.parameters.zone_count
            joined.append(ProxyConnected(number, zone, proxy.request_rate, has_no_table))
        self.run_batch("joins", joined)

    def disconnect_proxies(self, proxies: Iterable[int]) -> None:
        """Disconnects proxies; messages that wait for them still take their time in the channel."""
        disconnected = [number for number in proxies if self.proxies.pop(number, None) is not None]
        self.run_batch("leaves", [ProxyDisconnected(number) for number in disconnected])

    def send_queued_messages(self, seconds: float) -> None:
        """Sends what the channel can send in this time, to proxies that apply and acknowledge it."""
        self.sendable_lines += seconds * self.parameters.channel_lines_per_s * self.channel_speed
        while self.channel and self.channel[0].lines <= self.sendable_lines:
            queued = self.channel.popleft()
            self.sendable_lines -= queued.lines
            self._deliver(queued)
        if not self.channel:
            self.sendable_lines = 0.0

    def _deliver(self, queued: QueuedMessage) -> None:
        proxy = self.proxies.get(queued.proxy)
        if proxy is None:
            return
        checkpoint = proxy.apply(queued.message)
        if checkpoint is None or self.random.random() >= self.acknowledged_share:
            return
        arrives_at = self.now + self.random.uniform(*ACKNOWLEDGEMENT_DELAY_S)
        acknowledged = Acknowledged(queued.proxy, checkpoint, ACKNOWLEDGED_LATENCY_S)
        self.pending_inputs.append((arrives_at, acknowledged))

    def worker_load(self) -> dict[bytes, float]:
        """The requests/s that all proxies' weights send to each worker, by worker id."""
        load: dict[bytes, float] = {}
        for proxy in self.proxies.values():
            weights = proxy.usable_weights()
            for worker_id, weight in weights.items():
                share = proxy.request_rate * weight / sum(weights.values())
                load[worker_id] = load.get(worker_id, 0.0) + share
        return load

    def run(self, seconds: float) -> None:
        """Advances the clock by ticks of the controller's interval, with a batch at each."""
        end = self.now + seconds
        while self.now < end - CLOCK_TOLERANCE_S:
            self.now += TICK_INTERVAL_S
            self.send_queued_messages(TICK_INTERVAL_S)
            arrived = [item for arrives_at, item in self.pending_inputs if arrives_at <= self.now]
            self.pending_inputs = [pending for pending in self.pending_inputs if pending[0] > self.now]
            self.run_batch(TICK, [*arrived, *self.extra_inputs(), TimerFired(self.timer_token)])


def fleet_parameters(
    proxies: int = 1600, zones: int = 4, managers: int = 5, max_queued_lines: float = 50000.0
) -> DeploymentParameters:
    """The parameters of a fleet of this size; all others are the same at each size."""
    return replace(
        PARAMETERS,
        proxy_count=proxies,
        zone_count=zones,
        manager_count=managers,
        max_queued_lines=max_queued_lines,
    )
