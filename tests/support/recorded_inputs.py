"""Replays the recorded inputs of one manager, `tests/recorded/morning.txt`, without sockets or a clock."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

from cottonladder.config.deployment import read_settings
from cottonladder.model.inputs import (
    Acknowledged,
    EndpointList,
    GossipReceived,
    Input,
    ListUpdateKind,
    ProxyDisconnected,
    TimerFired,
)
from cottonladder.model.orders import (
    Checkpoint,
    HealthCheck,
    Order,
    SendGossip,
    StartTimer,
    WatchEndpoints,
)
from cottonladder.model.state_changes import AdmissionChanged, WorkerStateChanged
from cottonladder.policy.controller import RoutingController
from cottonladder.protocol.endpoint_list import read_endpoint_list
from cottonladder.protocol.messages import MessageReader
from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader
from cottonladder.state.order_dispatcher import OrderDispatcher
from cottonladder.state.worker_registry import WorkerRegistry

RECORDED_INPUTS = (Path(__file__).parents[1] / "recorded" / "morning.txt").read_text()
START_TIME_S = 1000.0  # the controller's time at offset 0 of the recording
SEED = 7
PEER_INDEX = 1  # index of the manager that sends the recorded gossip
ACKNOWLEDGEMENT_DELAY_S = 0.2


@dataclass(frozen=True, slots=True)
class PendingTimer:
    """The controller's latest timer: the time at which it fires, and its token."""

    time_s: float
    token: int


class RecordedRun:
    """One manager whose inputs are a recording, which the program's own message readers parse.

    `output` is a list of orders and messages to proxies, as text.  Proxies acknowledge each checkpoint, and
    timers fire at their time.  `changes` replace settings by name; a setting that is an object is updated.
    """

    def __init__(self, recording: str, **changes: Any) -> None:
        lines = [line for line in recording.splitlines() if line and not line.startswith("#")]
        settings = json.loads(lines[0].removeprefix("settings "))
        for name, value in changes.items():
            settings[name] = {**settings[name], **value} if isinstance(value, dict) else value
        self._input_lines = lines[1:]
        self._settings = read_settings(settings, SEED, "settings")
        parameters = self._settings.parameters
        self._workers = WorkerRegistry()
        self._messages = MessageReader(self._settings, self._workers.find_index)
        self._controller = RoutingController(parameters)
        class_names = list(self._settings.request_classes)
        self._dispatcher = OrderDispatcher(class_names, parameters.manager_count, self._workers)
        self._controller.channel_budget.count_readmissions = self._dispatcher.count_readmissions
        self._timer = PendingTimer(START_TIME_S, 0)
        self._acknowledgements: list[Input] = []
        self.output: list[str] = []

    def run(self) -> list[str]:
        """Processes the whole recording; returns the output."""
        for _ in self.steps():
            pass
        return self.output

    def steps(self) -> Iterator[None]:
        """Processes one input for each item, after firing all timers up to its time."""
        for line in self._input_lines:
            offset, source, text = line.split(" ", 2)
            now = START_TIME_S + float(offset)
            while self._timer.time_s <= now:
                self._fire_timer()
            self._decide(now, [self._read_input(source, text)])
            yield

    def _fire_timer(self) -> None:
        acknowledgements = self._acknowledgements
        self._acknowledgements = []
        self._decide(self._timer.time_s, [TimerFired(self._timer.token), *acknowledgements])

    def _read_input(self, source: str, text: str) -> Input:
        if source == "list":
            return self._read_list(text)
        if source == "leave":
            return ProxyDisconnected(int(text))
        if source == "peer":
            return GossipReceived(PEER_INDEX, text)
        message = text.partition(" ")[2] if source == "stream" else text  # without the proxy's index
        return cast(Input, self._messages.read(message.encode().split()))

    def _read_list(self, text: str) -> EndpointList:
        _, endpoints = read_endpoint_list(json.loads(text), self._settings, self._workers.register, "list")
        if self._controller.has_endpoint_list:
            return endpoints
        return EndpointList(ListUpdateKind.CACHED, endpoints.endpoints)

    def _decide(self, now: float, inputs: list[Input]) -> None:
        self._dispatcher.track_proxies(inputs)
        orders = self._controller.decide_orders(now, inputs)
        for order in orders:
            self._apply_order(order, now)
        if any(isinstance(order, Checkpoint) for order in orders):
            self._controller.channel_budget.record_written(self._dispatcher.pending_line_counts())
        for proxy, data in self._dispatcher.pop_messages():
            for arguments in RespReader(MAX_MESSAGE_SIZE).feed(data):
                self._send(proxy, b" ".join(arguments).decode(), now)

    def _apply_order(self, order: Order, now: float) -> None:
        if isinstance(order, StartTimer):
            self._timer = PendingTimer(now + order.delay_s, order.token)
        elif isinstance(order, (WorkerStateChanged, AdmissionChanged, SendGossip)):
            self.output.append(f"{now:.2f} {order}")
        elif not isinstance(order, (WatchEndpoints, HealthCheck)):
            self._dispatcher.apply(order)

    def _send(self, proxy: int, message: str, now: float) -> None:
        self.output.append(f"{now:.2f} to {proxy}: {message}")
        _, has_checkpoint, rest = message.partition("stamp ")
        if has_checkpoint:
            checkpoint = int(rest.split()[0])
            self._acknowledgements.append(Acknowledged(proxy, checkpoint, ACKNOWLEDGEMENT_DELAY_S))
