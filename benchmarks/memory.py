"""Snapshots: crash safety, benefit after a restart, cost of a stale one, event loop delays.

    python -m benchmarks.memory --json

Restarts are simulated by `benchmarks.manager_restarts`; the other measurements use the disk and event loop of
this machine.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec
import structlog

from benchmarks.harness import argument_parser, percentile, print_metrics
from benchmarks.manager_restarts import SEEDS, RestartMetrics, measure_restarts
from cottonladder.config.fields import MS_PER_S
from cottonladder.control.background_scheduler import BackgroundScheduler
from cottonladder.control.snapshot_folder import SnapshotFolder
from cottonladder.control.snapshot_manager import SnapshotManager
from cottonladder.control.starting_list import StartingList
from cottonladder.model.inputs import (
    Endpoint,
    EndpointList,
    EndpointState,
    ListUpdateKind,
    ProxyConnected,
)
from cottonladder.planning.priority_scheduling import TaskPlan
from cottonladder.policy.controller import RoutingController
from cottonladder.state.worker_registry import WorkerRegistry
from cottonladder.testbed import month_end
from cottonladder.testbed.crash_test import crash_test

CRASH_SEED = 7  # seeds the times at which writers are killed
SNAPSHOT_INTERVAL_S = 0.25
SNAPSHOT_SLICE_TIME_FRACTION = 0.5
SNAPSHOT_RUN_S = 3.0
FLEET_SIZE = (120, 640)  # numbers of workers and proxies
LARGE_FLEET_SIZE = (1200, 6400)
BUSY_TASK_COUNT = 20
BUSY_SLICE_S = 0.002  # a busy task runs this long without yielding
TIMER_S = 0.005
TIMER_COUNT = 400
LAG_THRESHOLD_S = 0.01  # a timer later than this is reported to the scheduler as loop lag


class SnapshotMetrics(msgspec.Struct, frozen=True):
    """Metrics of writing snapshots of one fleet."""

    snapshot_ms: float  # median duration of a snapshot
    longest_stall_ms: float  # longest time between two iterations of the event loop
    file_bytes: int


class MemoryMetrics(msgspec.Struct, frozen=True):
    """The metrics that the benchmark prints."""

    kills: int
    half_written: int
    states_lost: int
    restarts: RestartMetrics
    snapshots: SnapshotMetrics
    snapshots_of_large_fleet: SnapshotMetrics
    timer_delay_p99_ms_idle: float
    timer_delay_p99_ms_loaded: float
    read_ms: float
    measured_on: str = f"simulated workers, seeds {SEEDS}; this machine's disk and loop"


@dataclass(frozen=True, slots=True)
class SettingsStub:
    """The settings that a snapshot manager reads."""

    parameters: Any = month_end.PARAMETERS


class ManagerConfigStub:
    """The configuration that a snapshot manager reads."""

    def __init__(self, worker_count: int) -> None:
        self.workers = WorkerRegistry()
        self.settings = SettingsStub()
        endpoints = tuple(self._endpoint(number) for number in range(worker_count))
        self.starting_list = StartingList(1, EndpointList(ListUpdateKind.CACHED, endpoints))

    def _endpoint(self, number: int) -> Endpoint:
        worker_index = self.workers.register(f"s-{number}", f"127.0.0.9:{number + 1}", 0.0)
        return Endpoint(worker_index, number % month_end.ZONE_COUNT, EndpointState.READY, 1.0, 0.0)


def fleet_controller(config: ManagerConfigStub, proxy_count: int) -> RoutingController:
    """Returns a controller that has all workers and proxies of a fleet in its state."""
    controller = RoutingController(replace(month_end.PARAMETERS, proxy_count=proxy_count))
    connected = [
        ProxyConnected(number, number % month_end.ZONE_COUNT, 2.0, True) for number in range(proxy_count)
    ]
    controller.decide_orders(month_end.START_TIME_S, [config.starting_list.endpoints, *connected])
    return controller


async def longest_loop_delay_s(duration_s: float) -> float:
    """Returns the longest time between two iterations of the event loop, in seconds."""
    longest_s = 0.0
    last = time.perf_counter()
    end = last + duration_s
    while last < end:
        await asyncio.sleep(0)
        now = time.perf_counter()
        longest_s = max(longest_s, now - last)
        last = now
    return longest_s


async def measure_snapshots(worker_count: int, proxy_count: int) -> SnapshotMetrics:
    """Writes snapshots of a fleet, and measures the delays of the event loop."""
    gc.collect()  # collects garbage of earlier measurements, which would delay the event loop
    config = ManagerConfigStub(worker_count)
    controller = fleet_controller(config, proxy_count)
    with tempfile.TemporaryDirectory() as folder:
        scheduler = BackgroundScheduler(lambda: 0.0)
        manager = SnapshotManager(folder, SNAPSHOT_INTERVAL_S, config, scheduler)  # type: ignore[arg-type]
        list(manager.collect_messages(0.0, controller))
        durations_s: list[float] = []

        def timed_snapshot() -> Iterator[Any]:
            """Writes one snapshot and records its duration."""
            started_at = time.perf_counter()
            yield from manager._write_snapshot()
            durations_s.append(time.perf_counter() - started_at)

        plan = TaskPlan(
            "snapshot",
            SNAPSHOT_INTERVAL_S,
            slice_time_fraction=SNAPSHOT_SLICE_TIME_FRACTION,
            jitter_ratio=0.0,
        )
        scheduler.add(plan, timed_snapshot)
        scheduler.start()
        loop_delay_s = await longest_loop_delay_s(SNAPSHOT_RUN_S)
        await scheduler.close()
        size_bytes = manager._folder.size_bytes
        manager._folder.close()
    return SnapshotMetrics(
        snapshot_ms=round(MS_PER_S * percentile(durations_s, 0.5), 2),
        longest_stall_ms=round(MS_PER_S * loop_delay_s, 2),
        file_bytes=size_bytes,
    )


def busy_work() -> Iterator[None]:
    """Runs a background task that always has work."""
    while True:
        end = time.perf_counter() + BUSY_SLICE_S
        while time.perf_counter() < end:
            pass
        yield None


async def timer_delay_ms(is_loaded: bool) -> float:
    """Returns the p99 of a timer's lateness in ms, with busy background tasks if `is_loaded`."""
    scheduler = BackgroundScheduler(lambda: 0.0)
    for number in range(BUSY_TASK_COUNT if is_loaded else 0):
        plan = TaskPlan(f"busy-{number}", 0.01, priority=number % 3, slice_time_fraction=0.02)
        scheduler.add(plan, busy_work)
    scheduler.start()
    delays_s: list[float] = []
    loop = asyncio.get_running_loop()
    for _ in range(TIMER_COUNT):
        due_at = loop.time() + TIMER_S
        await asyncio.sleep(TIMER_S)
        delays_s.append(max(0.0, loop.time() - due_at))
        if delays_s[-1] > LAG_THRESHOLD_S:
            scheduler.pause_for_loop_lag()
    await scheduler.close()
    return percentile(delays_s, 0.99) * MS_PER_S


def read_duration_ms() -> float:
    """Returns the duration of reading a small snapshot, in ms."""
    with tempfile.TemporaryDirectory() as folder:
        snapshots = SnapshotFolder(folder)
        snapshots.write({"manager": {"v": 1, "data": {}}})
        started_at = time.perf_counter()
        snapshots.store.read_newest()
        duration_s = time.perf_counter() - started_at
        snapshots.close()
    return duration_s * MS_PER_S


def measure(kill_count: int) -> MemoryMetrics:
    """Returns all metrics of the benchmark."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    with tempfile.TemporaryDirectory() as folder:
        counts = crash_test(folder, kill_count, CRASH_SEED)
    return MemoryMetrics(
        kills=counts.kills,
        half_written=counts.half_written,
        states_lost=counts.states_lost,
        restarts=measure_restarts(),
        snapshots=asyncio.run(measure_snapshots(*FLEET_SIZE)),
        snapshots_of_large_fleet=asyncio.run(measure_snapshots(*LARGE_FLEET_SIZE)),
        timer_delay_p99_ms_idle=round(asyncio.run(timer_delay_ms(is_loaded=False)), 2),
        timer_delay_p99_ms_loaded=round(asyncio.run(timer_delay_ms(is_loaded=True)), 2),
        read_ms=round(read_duration_ms(), 2),
    )


def main() -> None:
    """Runs the command line."""
    parser = argument_parser(__doc__)
    parser.add_argument("--kills", type=int, default=1000)
    arguments = parser.parse_args()
    print_metrics(measure(arguments.kills), arguments.json)


if __name__ == "__main__":
    main()
