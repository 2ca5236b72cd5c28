"""One manager without sockets and without a real clock: its control loop, dispatcher and extensions.

Messages of proxies and collectors are given as the words of RESP2 messages, and endpoint lists as discovery's
JSON; all other inputs are given as objects.  Outputs are recorded as bytes, message by message, so the
recorded digests stay valid when the program's types are renamed.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import tempfile
import zlib
from collections import defaultdict
from collections.abc import Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast
from unittest import mock

from cottonladder.config.operator_config import UpgradesConfig
from cottonladder.control.background_scheduler import BackgroundScheduler
from cottonladder.control.clock import Clock
from cottonladder.control.connection_migrator import ConnectionMigrator
from cottonladder.control.control_loop import NetworkClients
from cottonladder.control.input_queue import InputQueue
from cottonladder.control.snapshot_manager import SnapshotManager
from cottonladder.control.startup_config import StartupConfig, read_startup_config
from cottonladder.control.state_change_log import StateChangeLog
from cottonladder.model.connection_counts import ConnectionCounts
from cottonladder.model.inputs import (
    AdviceSource,
    AdvisedFactor,
    EndpointList,
    GossipReceived,
    HealthCheckResult,
    Input,
    ListUpdateKind,
    ProxyDisconnected,
    TimerFired,
)
from cottonladder.policy.controller import RoutingController
from cottonladder.protocol.endpoint_list import read_endpoint_list
from cottonladder.protocol.messages import ExtensionMessage, MessageReader
from cottonladder.state.order_dispatcher import OrderDispatcher
from cottonladder.state.proxy_sessions import ProxySessions
from tests.support.control_loop_doubles import (
    ManualTaskRunner,
    OutputRecorder,
    SentMessage,
    SteppedClock,
    SteppedControlLoop,
)
from tests.support.json_object import JsonObject
from tests.support.wire_manager_files import ZONES, endpoint_list, manager_file

START_TIME_S = 1_700_000_000.0  # Unix time
RESTART_DELAY_S = 9.0  # age of the first incarnation's snapshot when the second incarnation reads it
SNAPSHOT_HEADER_BYTES = 44  # length of the header that precedes the compressed body
SNAPSHOT_INTERVAL_S = 2.0
TICK_S = 0.25
TICKS_PER_S = 4
PROXY_COUNT = 12
OUTLIER_WORKER = b"s-4"
OVERLOAD_FROM_S = 24
SEED = 5


@dataclass(frozen=True, slots=True)
class IncarnationRecord:
    """Digests of one incarnation's output and last snapshot, and the number of its messages to proxies."""

    output_digest: str
    snapshot_digest: str
    message_count: int


class WireManager:
    """A manager with connection migration, and with snapshots in `folder`."""

    def __init__(self, folder: str, seed: int) -> None:
        self.output = OutputRecorder()
        self._random = random.Random(seed)
        self._task_runner = ManualTaskRunner()
        self._clock = SteppedClock(START_TIME_S)
        config = read_manager_file()
        self._settings = config.settings
        self._workers = config.workers
        self._messages = MessageReader(self._settings, self._workers.find_index)
        scheduler = cast(BackgroundScheduler, self._task_runner)
        self._snapshots = SnapshotManager(folder, SNAPSHOT_INTERVAL_S, config, scheduler)
        self._control_loop = self._build_control_loop()
        self._connections: dict[int, dict[int, ConnectionCounts]] = defaultdict(dict)  # by proxy and worker
        self._list_version = 1
        self._batch: list[Input | ExtensionMessage] = [self._snapshots.starting_list.endpoints]

    def _build_control_loop(self) -> SteppedControlLoop:
        parameters = self._settings.parameters
        upgrades = UpgradesConfig(
            grace_s=8.0,
            max_connections_per_worker=500,
            arrivals_per_s=40.0,
            requests_per_s_per_connection=0.05,
        )
        migrator = ConnectionMigrator(self._settings, upgrades, self._workers, self._messages)
        output = cast(Any, self.output)
        control_loop = SteppedControlLoop(
            RoutingController(parameters),
            InputQueue(),
            cast(ProxySessions, self.output),
            OrderDispatcher(list(self._settings.request_classes), parameters.manager_count, self._workers),
            NetworkClients(output, output, output),
            StateChangeLog(self._workers, list(self._settings.zones)),
            [self._snapshots, migrator],
        )
        control_loop._clock = cast(Clock, self._clock)  # instead of the real clock
        return control_loop

    async def start(self, stack: AsyncExitStack) -> None:
        """Restores the last snapshot and makes the first decision, as a manager does at its start."""
        await self._snapshots.start(stack)
        self._decide()

    async def run(self, duration_s: int) -> None:
        """Runs the scripted inputs for `duration_s` simulated seconds, then writes a snapshot."""
        for tick in range(duration_s * TICKS_PER_S):
            self._clock.time_s += TICK_S
            self._answer_messages()
            if tick < PROXY_COUNT:
                self._connect(proxy=tick)  # one proxy connects at each of the first ticks
            if tick % TICKS_PER_S == 0:
                second = tick // TICKS_PER_S
                self._receive_reports(second)
                self._receive_held_connections()
                self._apply_incidents(second)
            self._batch.append(TimerFired(self._control_loop.timer_token))
            self._decide()
        await self._task_runner.run_all()

    def _decide(self) -> None:
        batch = self._batch
        self._batch = []
        self._control_loop.run_once(batch)

    def _receive(self, text: str, proxy: int = -1) -> None:
        """Adds a message from a proxy or a collector to the batch; its arguments are the words of `text`."""
        message = self._messages.read(text.encode().split())
        if isinstance(message, ExtensionMessage):
            message = ExtensionMessage(message.body, proxy)  # as a connection does
        self._batch.append(cast(Input, message))

    def _receive_list(self, workers: Iterable[int], full: bool = False, **changes: JsonObject) -> None:
        self._list_version += 1
        body = endpoint_list(self._list_version, workers, full, **changes)
        _, endpoints = read_endpoint_list(body, self._settings, self._workers.register, "list")
        self._batch.append(endpoints)

    def _connect(self, proxy: int) -> None:
        has_no_table = self._random.randrange(2)
        requests_per_s = 3.0 * (proxy + 1)
        zone = ZONES[proxy % len(ZONES)]
        self._receive(f"SUBSCRIBE node {proxy} locality {zone} w {requests_per_s} cold {has_no_table}")
        if proxy % 2:
            self._receive(f"UPGRADES node {proxy} version 1", proxy)

    def _disconnect(self, proxy: int) -> None:
        self._batch.append(ProxyDisconnected(proxy))
        self._connections.pop(proxy, None)

    def _receive_reports(self, second: int) -> None:
        for worker in self._workers.ids.values():
            self._receive_load_report(worker, second)
        for proxy in range(PROXY_COUNT):
            request_class = self._random.choice(["fetch", "release", "audit"])
            count = self._random.randrange(40)
            self._receive(f"RATE node {proxy} route {request_class} total {count} errors 0 interval 1000.0")
        for worker_index in list(self._workers.ids):
            self._receive_health_check_result(worker_index)
        # The number of another manager's proxies and their requests/s, for each zone.
        proxy_count = self._random.randrange(9)
        self._batch.append(GossipReceived(1, f"{proxy_count} {proxy_count * 7.5} 2 20.0 1 8.0"))

    def _receive_load_report(self, worker: bytes, second: int) -> None:
        if worker == OUTLIER_WORKER and 8 <= second < 14:
            attempts = 20
            failed = 19
        else:
            attempts = self._random.randrange(30)
            failed = self._random.randrange(2)
        zone = self._random.choice(ZONES)
        is_overloaded = second >= OVERLOAD_FROM_S
        lowest, highest = (1.0, 1.5) if is_overloaded else (0.2, 0.9)
        load = self._random.uniform(lowest, highest)
        latency_ms = self._random.uniform(40.0, 90.0) * (15.0 if is_overloaded else 1.0)
        self._receive(
            f"LOAD locality {zone} endpoint {worker.decode()} total {max(attempts, failed)} errors {failed} "
            f"rtt {latency_ms:.1f} interval 1000.0 metrics util:{load:.3f}"
        )

    def _receive_health_check_result(self, worker_index: int) -> None:
        has_succeeded = self._random.random() > 0.05
        metrics = {"inflight": float(self._random.randrange(9))} if has_succeeded else {}
        self._batch.append(HealthCheckResult(worker_index, has_succeeded, 0.05, metrics))

    def _receive_held_connections(self) -> None:
        for proxy in (1, 3, 5):
            by_worker = self._connections[proxy]
            for worker_index, worker in self._workers.ids.items():
                if worker_index not in by_worker and self._random.random() < 0.3:
                    by_worker[worker_index] = ConnectionCounts(self._random.randrange(5, 60), 2, 3)
                if worker_index in by_worker:
                    counts = by_worker[worker_index]
                    counts_text = f"{counts.open}:{counts.busy}:{counts.resumable}"
                    self._receive(f"HELD node {proxy} whole 0 holds {worker.decode()}:{counts_text}", proxy)

    def _answer_messages(self) -> None:
        """Acknowledges most checkpoints, and reports every migration as completed."""
        for message in self.output.pop_sent():
            fields = message.data.split(b"\r\n")
            if b"stamp" in fields and self._random.random() < 0.85:
                checkpoint = fields[fields.index(b"stamp") + 2].decode()
                self._receive(f"ACK node {message.proxy} nonce {checkpoint} latency 120.0")
            if b"move" in fields and b"count" in fields:
                self._complete_migration(message, fields)

    def _complete_migration(self, message: SentMessage, fields: list[bytes]) -> None:
        migration = fields[fields.index(b"move") + 2].decode()
        count = fields[fields.index(b"count") + 2].decode()
        text = f"MOVED node {message.proxy} move {migration} done {count} failed 0"
        self._receive(text, message.proxy)

    def _receive_advice(self) -> None:
        for worker_index in list(self._workers.ids)[::2]:
            factor = self._random.choice([0.4, 0.8, 1.0, 1.5, 3.0])
            source = AdviceSource(self._random.randrange(2))
            self._batch.append(AdvisedFactor(worker_index, factor, source))

    def _apply_incidents(self, second: int) -> None:
        """Applies the changes of the endpoint list, the disconnections and the advice due at this second."""
        if second == 5:  # a full list, which adds workers s-6 to s-8
            self._receive_list(range(9), full=True)
        elif second == 10:  # two workers drain
            self._receive_list([2, 5], s_2={"state": "Terminating"}, s_5={"state": "Terminating"})
        elif second == 16:  # s-2 is gone, s-5 is ready again, s-9 has just started
            started_ms = (self._clock.time_s - 2.0) * 1000.0
            self._receive_list([2, 5, 9], s_2={"state": "Gone"}, s_9={"started_ms": started_ms})
        elif second == 20:  # three proxies disconnect, and one of them reconnects
            for proxy in (1, 4, 7):
                self._disconnect(proxy)
            self._connect(1)
        elif second == 22:  # a call to discovery fails
            self._batch.append(EndpointList(ListUpdateKind.FAILED, ()))
        if second in (7, 13, 21):
            self._receive_advice()


def read_manager_file() -> StartupConfig:
    """Writes `manager_file()` to a temporary file, and reads it as a manager does at its start."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(manager_file()))
        return read_startup_config(str(path))


def read_snapshot_body(folder: str) -> bytes:
    """Returns the newest snapshot's sections, still encoded.

    The header is left out, because it contains the time of writing.
    """
    newest = max(Path(folder).glob("state-*.clm"))
    return zlib.decompress(newest.read_bytes()[SNAPSHOT_HEADER_BYTES:])


async def run_incarnation(folder: str, unix_time_s: float, duration_s: int) -> IncarnationRecord:
    """Runs one incarnation of the manager, which restores the newest snapshot in `folder`."""
    async with AsyncExitStack() as stack:
        stack.enter_context(mock.patch("time.time", return_value=unix_time_s))
        manager = WireManager(folder, SEED)
        await manager.start(stack)
        await manager.run(duration_s)
        return IncarnationRecord(
            output_digest=manager.output.digest.hexdigest(),
            snapshot_digest=hashlib.sha256(read_snapshot_body(folder)).hexdigest(),
            # `OutputRecorder` counts messages to proxies under the names "proxy 0", "proxy 1", ...
            message_count=sum(count for name, count in manager.output.counts.items() if "proxy" in name),
        )


def run_two_incarnations(duration_s: int) -> dict[str, str | int]:
    """Runs two incarnations, the second from the first one's snapshot.

    Returns their records in the form in which `tests/recorded/orders.json` stores them.
    """
    stored: dict[str, str | int] = {}
    with tempfile.TemporaryDirectory() as folder:
        for name, unix_time_s in (("first", START_TIME_S), ("second", START_TIME_S + RESTART_DELAY_S)):
            record = asyncio.run(run_incarnation(folder, unix_time_s, duration_s))
            stored[name] = record.output_digest
            stored[f"{name} snapshot"] = record.snapshot_digest
            stored[f"{name} messages"] = record.message_count
    return stored
