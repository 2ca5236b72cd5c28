"""A simulation of one manager of a large fleet, with the channel to its proxies and the proxies themselves.

Random choices are seeded, the caller advances the clock, and no sockets are used.
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
    ejection_failure_count=3,
    warm_up_s=17.0,
    cross_zone_cost=0.08,
)
START_TIME_S = 1000.0  # simulated clock
ACKNOWLEDGEMENT_DELAY_RANGE_S = (0.1, 0.6)
ACKNOWLEDGED_LATENCY_S = 0.3  # stated by proxies in an acknowledgement
CLOCK_TOLERANCE_S = 1e-9  # rounding errors of the clock
TICK = "tick"  # name of the batches of `SimulatedFleet.run`
LOCAL_ORDERS = (  # orders that a manager executes itself; they have no effect here
    WatchEndpoints,
    FetchEndpoints,
    HealthCheck,
    SendGossip,
    WorkerStateChanged,
    AdmissionChanged,
)


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A message in the channel, and its size in lines."""

    proxy: int
    message: bytes
    lines: int


class SimulatedFleet:
    """One manager, the channel that queues its messages, and the proxies that apply them.

    `channel_speed` is the ratio of the channel's rate to `parameters.channel_lines_per_s`, and
    `acknowledged_share` the share of checkpoints that proxies acknowledge.
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
        self.controller.channel_budget.can_hold_messages = True
        self.proxies: dict[int, SimulatedProxy] = {}
        self.channel: deque[QueuedMessage] = deque()  # oldest first
        self.sendable_lines = 0.0  # lines that the channel can send now
        self.longest_queue = 0  # largest number of lines in the channel
        self.pending_inputs: list[tuple[float, Input]] = []  # arrival time and acknowledgement
        self.budget_faults: list[str] = []  # descriptions of messages that do not match their reservation
        self.batch_durations: list[float] = []  # seconds
        self.longest_batch_s = 0.0
        self.bytes_written = 0
        self.timer_token = 0
        self.extra_inputs: Callable[[], Iterable[Input]] = tuple  # additional inputs of each tick
        self.orders: list[Order] = []

    def endpoint(
        self, worker_id: str, zone: int, state: EndpointState = EndpointState.READY, started_at: float = 0.0
    ) -> Endpoint:
        """Returns an entry of the endpoint list; registers the worker if its id is new."""
        worker_index = self.workers.register(worker_id, "127.0.0.1:1", started_at)
        return Endpoint(worker_index, zone, state, 1.0, started_at)

    def queued_lines(self) -> int:
        """Returns the number of lines in the channel."""
        return sum(queued.lines for queued in self.channel)

    def run_batch(self, name: str, inputs: Iterable[Input]) -> None:
        """Passes a batch of inputs to the manager, and queues the messages with its orders."""
        inputs = list(inputs)
        started_at = perf_counter()
        self.dispatcher.track_proxies(inputs)
        self.orders = self.controller.decide_orders(self.now, inputs)
        checkpoint = self._apply_orders()
        reserved = self._reserved_lines(checkpoint)
        if checkpoint is not None:
            self.controller.channel_budget.record_written(self.dispatcher.pending_line_counts())
        messages = list(self.dispatcher.pop_messages())
        self._record_duration(perf_counter() - started_at)
        corrected = self._reserved_lines(checkpoint)
        for proxy, message in messages:
            queued = self._enqueue(proxy, message)
            if checkpoint is not None:
                self._check_budget(name, queued, reserved.get(proxy, 0), corrected.get(proxy, 0))
        self.longest_queue = max(self.longest_queue, self.queued_lines())

    def _apply_orders(self) -> int | None:
        """Passes the orders to the dispatcher; returns the number of the last checkpoint, if any."""
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
        """Returns the lines that the controller has reserved for a checkpoint, by proxy."""
        if checkpoint is None:
            return {}
        return dict(self.controller.channel_budget.in_flight.by_checkpoint.get(checkpoint, {}))

    def _record_duration(self, duration_s: float) -> None:
        self.batch_durations.append(duration_s)
        self.longest_batch_s = max(self.longest_batch_s, duration_s)

    def _enqueue(self, proxy: int, message: bytes) -> QueuedMessage:
        queued = QueuedMessage(proxy, message, count_lines(message, self.parameters.message_header_lines))
        self.channel.append(queued)
        self.bytes_written += len(message)
        return queued

    def _check_budget(self, name: str, queued: QueuedMessage, reserved: int, corrected: int) -> None:
        """Records a fault if a message has more lines than reserved, or differs from the corrected number."""
        if queued.lines <= reserved and queued.lines == corrected:
            return
        self.budget_faults.append(
            f"{self.now - START_TIME_S:.2f} s {name}: proxy {queued.proxy}: "
            f"reserved {reserved}, corrected to {corrected}, written {queued.lines}"
        )

    def connect_proxies(self, proxies: Iterable[int], rate: float = 1.0, has_no_table: bool = False) -> None:
        """Connects proxies with a mean of `rate` requests/s each.

        With `has_no_table`, they state that they have no routing table.
        """
        joined = []
        for number in proxies:
            proxy = self.proxies.setdefault(number, SimulatedProxy())
            proxy.request_rate = rate * self.random.expovariate(1.0)
            proxy.joined_at = self.now
            zone = number % self.parameters.zone_count
            joined.append(ProxyConnected(number, zone, proxy.request_rate, has_no_table))
        self.run_batch("joins", joined)

    def disconnect_proxies(self, proxies: Iterable[int]) -> None:
        """Disconnects proxies; messages queued for them still use the channel."""
        disconnected = [number for number in proxies if self.proxies.pop(number, None) is not None]
        self.run_batch("leaves", [ProxyDisconnected(number) for number in disconnected])

    def send_queued_messages(self, seconds: float) -> None:
        """Sends the messages that the channel can send in this time; proxies apply and acknowledge them."""
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
        arrives_at = self.now + self.random.uniform(*ACKNOWLEDGEMENT_DELAY_RANGE_S)
        acknowledged = Acknowledged(queued.proxy, checkpoint, ACKNOWLEDGED_LATENCY_S)
        self.pending_inputs.append((arrives_at, acknowledged))

    def worker_load(self) -> dict[bytes, float]:
        """Returns the requests/s that the weights of all proxies send to each worker, by worker id."""
        load: dict[bytes, float] = {}
        for proxy in self.proxies.values():
            weights = proxy.usable_weights()
            for worker_id, weight in weights.items():
                share = proxy.request_rate * weight / sum(weights.values())
                load[worker_id] = load.get(worker_id, 0.0) + share
        return load

    def run(self, seconds: float) -> None:
        """Advances the clock by `seconds`, in ticks of TICK_INTERVAL_S with one batch each."""
        end = self.now + seconds
        while self.now < end - CLOCK_TOLERANCE_S:
            self.now += TICK_INTERVAL_S
            self.send_queued_messages(TICK_INTERVAL_S)
            arrived = self.pop_arrived_inputs()
            self.run_batch(TICK, [*arrived, *self.extra_inputs(), TimerFired(self.timer_token)])

    def pop_arrived_inputs(self) -> list[Input]:
        """Removes and returns the acknowledgements that have arrived by now."""
        arrived = [item for arrives_at, item in self.pending_inputs if arrives_at <= self.now]
        self.pending_inputs = [pending for pending in self.pending_inputs if pending[0] > self.now]
        return arrived


def fleet_parameters(
    proxies: int = 1600, zones: int = 4, managers: int = 5, max_queued_lines: float = 50000.0
) -> DeploymentParameters:
    """Returns the parameters of a fleet of this size; other parameters do not depend on the size."""
    return replace(
        PARAMETERS,
        proxy_count=proxies,
        zone_count=zones,
        manager_count=managers,
        max_queued_lines=max_queued_lines,
    )
