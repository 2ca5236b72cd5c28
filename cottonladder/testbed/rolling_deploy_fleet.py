"""The fleet of a simulated rolling deploy: one manager process, and the proxies that are connected to it."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from ..model.inputs import Input, TimerFired
from ..model.orders import StartTimer
from ..model.parameters import DeploymentParameters
from .simulated_fleet import QueuedMessage, SimulatedFleet
from .simulated_proxy import SimulatedProxy

STEP_S = 0.05
CLOCK_TOLERANCE_S = 1e-6
TRAVEL_S = 0.16  # from the channel to the proxy
MAX_WRITE_LAG_S = 0.2  # from a decision until its message has entered the channel


@dataclass(frozen=True, slots=True)
class _TravellingMessage:
    """A message that has left the channel; `message_times` stands for the connection that it is sent over."""

    arrives_at: float
    queued: QueuedMessage
    message_times: list[float]


class RollingDeployFleet(SimulatedFleet):
    """A fleet whose messages travel for a while, and which keeps the times of each connection's messages.

    The times are those at which the messages have entered the channel, which is when the limit counts them.
    """

    def __init__(self, parameters: DeploymentParameters) -> None:
        super().__init__(parameters)
        self.message_times: dict[int, list[float]] = {}  # by connected proxy
        self.timer_due_at = math.inf
        self._write_lags = random.Random(parameters.seed)
        self._travelling: deque[_TravellingMessage] = deque()  # oldest first

    def connect(self, number: int, proxy: SimulatedProxy) -> None:
        """Starts a connection of a proxy, which keeps its table."""
        self.proxies[number] = proxy
        self.message_times[number] = []
        proxy.joined_at = self.now

    def disconnect(self, number: int) -> None:
        """Ends the connection of a proxy."""
        del self.proxies[number]
        del self.message_times[number]

    def step(self, inputs: list[Input]) -> None:
        """Delivers what has travelled, and passes the inputs and due acknowledgements and timers."""
        self.send_queued_messages(STEP_S)
        self._deliver_travelled()
        batch = [*self.pop_arrived_inputs(), *inputs]
        if self.now >= self.timer_due_at - CLOCK_TOLERANCE_S:
            self.timer_due_at = math.inf
            batch.append(TimerFired(self.timer_token))
        if batch:
            self.run_batch("step", batch)

    def run_batch(self, name: str, inputs: Iterable[Input]) -> None:
        """Passes a batch of inputs to the manager, and starts its timer."""
        super().run_batch(name, inputs)
        for order in self.orders:
            if isinstance(order, StartTimer):
                self.timer_due_at = self.now + order.delay_s

    def _enqueue(self, proxy: int, message: bytes) -> QueuedMessage:
        if proxy in self.message_times:
            self.message_times[proxy].append(self.now + self._write_lags.uniform(0.0, MAX_WRITE_LAG_S))
        return super()._enqueue(proxy, message)

    def _deliver(self, queued: QueuedMessage) -> None:
        message_times = self.message_times.get(queued.proxy)
        if message_times is not None:
            self._travelling.append(_TravellingMessage(self.now + TRAVEL_S, queued, message_times))

    def _deliver_travelled(self) -> None:
        while self._travelling and self._travelling[0].arrives_at <= self.now + CLOCK_TOLERANCE_S:
            message = self._travelling.popleft()
            # A message on a connection that has ended is lost.
            if self.message_times.get(message.queued.proxy) is message.message_times:
                super()._deliver(message.queued)
