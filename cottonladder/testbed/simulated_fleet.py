"""One manager of a large fleet in memory: its controller and dispatcher, the channel that its messages wait
in, and the proxies that apply and acknowledge them.  Seeded; time is the caller's, and nothing touches a
socket."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
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
from ..protocol.resp import MAX_MESSAGE_SIZE, RespReader
from ..state.order_dispatcher import OrderDispatcher
from ..state.worker_registry import WorkerRegistry
from .deployment_parameters import BASE_PARAMETERS

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
ACKNOWLEDGEMENT_DELAY_S = (0.1, 0.6)  # drawn from this range
ACKNOWLEDGED_LATENCY_S = 0.3  # that proxies report with it
CLOCK_TOLERANCE_S = 1e-9  # steps of a fraction of a second don't add up exactly
LISTED_FIELDS = (b"rows", b"drop", b"undrop")  # each of their items is a line
SINGLE_FIELDS = (b"replace", b"gate", b"stamp")  # each is one line
UNDISPATCHED_ORDERS = (
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


@dataclass(frozen=True, slots=True)
class BatchTimes:
    """When each part of one batch began, by the process's clock; `ended_at` closes the last."""

    started_at: float
    decided_from: float
    dispatched_from: float
    written_from: float
    ended_at: float

    def durations(self) -> dict[str, float]:
        """Seconds by part of the batch."""
        tracking = self.decided_from - self.started_at
        dispatching = self.written_from - self.dispatched_from
        return {
            "module": self.dispatched_from - self.decided_from,
            "spread": tracking + dispatching,
            "write": self.ended_at - self.written_from,
            "all": self.ended_at - self.started_at,
        }


def message_fields(message: bytes) -> Iterator[dict[bytes, bytes]]:
    """The named fields of each command in a message's bytes."""
    for arguments in RespReader(MAX_MESSAGE_SIZE).feed(message):
        yield dict(zip(arguments[1::2], arguments[2::2], strict=True))


def count_lines(message: bytes, header_lines: int) -> int:
    """The lines that a message takes in the channel, counted from its bytes.

    These are its header and one line for each weight, excluded or readmitted worker, admission limit,
    checkpoint and `replace`.
    """
    lines = header_lines
    for fields in message_fields(message):
        lines += sum(len(fields[name].split(b",")) for name in LISTED_FIELDS if name in fields)
        lines += sum(name in fields for name in SINGLE_FIELDS)
    return lines


@dataclass
class SimulatedProxy:
    """A proxy as it stands: its weights by worker id, the workers that it excludes, its requests a second,
    and when it joined."""

    weights: dict[bytes, float] = field(default_factory=dict)
    excluded: set[bytes] = field(default_factory=set)
    request_rate: float = 0.0
    joined_at: float = 0.0

    def apply(self, message: bytes) -> int | None:
        """Applies a message; gives the number of its checkpoint, if it has one."""
        checkpoint = None
        for fields in message_fields(message):
            if b"replace" in fields:
                self.weights.clear()
            self._apply_weights(fields.get(b"rows", b""))
            self.excluded |= {worker_id for worker_id in fields.get(b"drop", b"").split(b",") if worker_id}
            self.excluded -= set(fields.get(b"undrop", b"").split(b","))
            if b"stamp" in fields:
                checkpoint = int(fields[b"stamp"])
        return checkpoint

    def _apply_weights(self, rows: bytes) -> None:
        for row in rows.split(b","):
            worker_id, _, weight = row.partition(b":")
            self.weights.pop(worker_id, None)
            if worker_id and float(weight) > 0:
                self.weights[worker_id] = float(weight)

    def usable_weights(self) -> dict[bytes, float]:
        """Its weights by worker, without the excluded workers."""
        return {
            worker_id: weight for worker_id, weight in self.weights.items() if worker_id not in self.excluded
        }


class SimulatedFleet:
    """One manager, the channel that its messages wait in, and the proxies that apply them.

    `channel_speed` is the part of the usual speed at which the channel sends, `acknowledged_share` the part
    of checkpoints that proxies acknowledge.  `worst_durations` has the longest seconds of each part of a
    batch, by the name that the caller gives the batch.
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
        self.credit_lines = 0.0  # what the channel may send now
        self.longest_queue = 0  # lines
        self.pending_inputs: list[tuple[float, Input]] = []  # acknowledgements, and when they arrive
        self.budget_faults: list[str] = []  # messages that cost more than was reserved for them
        self.worst_durations: dict[tuple[str, str], float] = {}
        self.batch_durations: list[float] = []  # s of each batch
        self.bytes_written = 0
        self.timer_token = 0
        self.extra_inputs: Callable[[], Iterable[Input]] = tuple  # what else comes in at each step of `run`
        self.orders: list[Order] = []

    def endpoint(
        self, name: str, zone: int, mode: EndpointState = EndpointState.READY, started: float = 0.0
    ) -> Endpoint:
        """A list entry of a worker, which is registered under its name."""
        return Endpoint(self.workers.register(name, "127.0.0.1:1", started), zone, mode, 1.0, started)

    def queued_lines(self) -> int:
        """Lines that wait in the channel."""
        return sum(queued.lines for queued in self.channel)

    def step(self, name: str, inputs: Iterable[Input]) -> None:
        """Gives the manager one batch of inputs and queues the messages that its orders make."""
        inputs = list(inputs)
        started_at = perf_counter()
        self.dispatcher.track_proxies(inputs)
        decided_from = perf_counter()
        self.orders = self.controller.decide(self.now, inputs)
        dispatched_from = perf_counter()
        checkpoint = self._dispatch()
        reserved = self._reserved_lines(checkpoint)
        if checkpoint is not None:
            self.controller.channel_budget.record_written(self.dispatcher.pending_line_counts())
        written_from = perf_counter()
        messages = list(self.dispatcher.take_messages())
        times = BatchTimes(started_at, decided_from, dispatched_from, written_from, perf_counter())
        self._note_durations(name, times)
        settled = self._reserved_lines(checkpoint)
        for proxy, message in messages:
            queued = self._queue(proxy, message)
            if checkpoint is not None:
                self._check_budget(name, queued, reserved.get(proxy, 0), settled.get(proxy, 0))
        self.longest_queue = max(self.longest_queue, self.queued_lines())

    def _dispatch(self) -> int | None:
        """Hands the orders to the dispatcher; gives the number of the last checkpoint among them."""
        checkpoint = None
        for order in self.orders:
            if isinstance(order, StartTimer):
                self.timer_token = order.token
                continue
            if isinstance(order, UNDISPATCHED_ORDERS):
                continue
            self.dispatcher.apply(order)
            if isinstance(order, Checkpoint):
                checkpoint = order.number
        return checkpoint

    def _reserved_lines(self, checkpoint: int | None) -> dict[int, int]:
        """Lines by proxy that the controller holds reserved under a checkpoint."""
        if checkpoint is None:
            return {}
        return dict(self.controller.channel_budget.in_flight.by_checkpoint.get(checkpoint, {}))

    def _note_durations(self, name: str, times: BatchTimes) -> None:
        durations = times.durations()
        self.batch_durations.append(durations["all"])
        for part, duration in durations.items():
            self.worst_durations[name, part] = max(duration, self.worst_durations.get((name, part), 0.0))

    def _queue(self, proxy: int, message: bytes) -> QueuedMessage:
        queued = QueuedMessage(proxy, message, count_lines(message, self.parameters.message_header_lines))
        self.channel.append(queued)
        self.bytes_written += len(message)
        return queued

    def _check_budget(self, name: str, queued: QueuedMessage, reserved: int, settled: int) -> None:
        """Notes a message of more lines than were reserved for it, or of others than were settled."""
        if queued.lines <= reserved and queued.lines == settled:
            return
        self.budget_faults.append(
            f"{self.now - START_TIME_S:.2f} s {name}: proxy {queued.proxy}: "
            f"reserved {reserved}, settled {settled}, written {queued.lines}"
        )

    def join(self, proxies: Iterable[int], rate: float = 1.0, fresh: bool = False) -> None:
        """Proxies connect; a `fresh` one has no table, others bring the one that they have."""
        joined = []
        for number in proxies:
            proxy = self.proxies.setdefault(number, SimulatedProxy())
            proxy.request_rate = rate * self.random.expovariate(1.0)
            proxy.joined_at = self.now
            zone = number % self.parameters.zone_count
            joined.append(ProxyConnected(number, zone, proxy.request_rate, fresh))
        self.step("joins", joined)

    def leave(self, proxies: Iterable[int]) -> None:
        """Their streams break; what waits for them is still sent, and is lost."""
        gone = [number for number in proxies if self.proxies.pop(number, None) is not None]
        self.step("leaves", [ProxyDisconnected(number) for number in gone])

    def send_for(self, seconds: float) -> None:
        """Sends what the channel can in this time; its messages are applied and acknowledged."""
        self.credit_lines += seconds * self.parameters.channel_lines_per_s * self.channel_speed
        while self.channel and self.channel[0].lines <= self.credit_lines:
            queued = self.channel.popleft()
            self.credit_lines -= queued.lines
            self._deliver(queued)
        if not self.channel:
            self.credit_lines = 0.0

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
        """The requests a second that all proxies' tables bring each worker."""
        load: dict[bytes, float] = {}
        for proxy in self.proxies.values():
            weights = proxy.usable_weights()
            for worker_id, weight in weights.items():
                share = proxy.request_rate * weight / sum(weights.values())
                load[worker_id] = load.get(worker_id, 0.0) + share
        return load

    def run(self, seconds: float) -> None:
        """Lets time pass, in steps of the controller's own interval."""
        end = self.now + seconds
        while self.now < end - CLOCK_TOLERANCE_S:
            self.now += TICK_INTERVAL_S
            self.send_for(TICK_INTERVAL_S)
            arrived = [item for due_at, item in self.pending_inputs if due_at <= self.now]
            self.pending_inputs = [entry for entry in self.pending_inputs if entry[0] > self.now]
            self.step("look", [*arrived, *self.extra_inputs(), TimerFired(self.timer_token)])


def fleet_parameters(
    proxies: int = 1600, zones: int = 4, managers: int = 5, max_queued_lines: float = 50000.0
) -> DeploymentParameters:
    """The parameters of a fleet of this size; everything else is the same at each size."""
    return replace(
        PARAMETERS,
        proxy_count=proxies,
        zone_count=zones,
        manager_count=managers,
        max_queued_lines=max_queued_lines,
    )
