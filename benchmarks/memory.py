"""Snapshots across restarts: crashes, their gain after a restart, the cost of an old one, stalls.

    python -m benchmarks.memory --json

Restarts are played in simulated time on the controller itself (`cottonladder.testbed.month_end`), at the
busiest; the rest runs on this machine's disk and loop.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from statistics import mean
from typing import Any

import msgspec
import structlog

from benchmarks.harness import MILLISECONDS_PER_S, argument_parser, percentile, print_figures
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
    RestoredState,
)
from cottonladder.planning import snapshot_staleness
from cottonladder.planning.priority_scheduling import TaskPlan
from cottonladder.policy.controller import RoutingController
from cottonladder.state.worker_registry import WorkerRegistry
from cottonladder.testbed import month_end
from cottonladder.testbed.crash_test import crash_test
from cottonladder.testbed.month_end import MonthEndRun
from cottonladder.testbed.month_end_records import RequestCounts

SEEDS = (7, 8, 9, 10, 11, 12)
CRASH_SEED = 7  # without unit
LOAD = 0.8  # of the workers' capacity
DURATION_S = 100.0
RESTART_S = 70.0
AFTERMATH_S = 25.0  # how long what comes after the restart is counted
WINDOW_S = 2.0
WINDOWS_BEFORE = 10  # that tell what is usual
WINDOWS_OF_SETTLING = 3  # that must be as good as usual
MAX_USUAL_SHARE = 0.97
FRESH_AGE_S = 2.0
STALE_AGE_S = 12 * 3600.0
WRONGLY_EJECTED = (0, 1, 9)  # good workers
SNAPSHOT_INTERVAL_S = 0.25
SNAPSHOT_CPU_FRACTION = 0.5
SNAPSHOT_RUN_S = 3.0
FLEET_SIZE = (120, 640)  # workers and proxies
LARGE_FLEET_SIZE = (1200, 6400)
BUSY_TASK_COUNT = 20
BUSY_SLICE_S = 0.002
TIMER_S = 0.005
TIMER_COUNT = 400
LATE_S = 0.01  # of a timer, after which the scheduler is notified of loop lag
Restore = Callable[[RestoredState], RestoredState | None]


class RestartFigures(msgspec.Struct, frozen=True):
    """Requests that missed the latency objective after a restart, over all seeds."""

    late_requests_without_restart: int
    late_requests_without_snapshot: int
    late_requests_with_snapshot: int
    saved_share: float
    settled_s_without_snapshot: float
    settled_s_with_snapshot: float
    added_by_stale_snapshot: int


class SnapshotFigures(msgspec.Struct, frozen=True):
    """Writing snapshots of one fleet."""

    snapshot_ms: float
    longest_stall_ms: float
    file_bytes: int


class MemoryFigures(msgspec.Struct, frozen=True):
    """What the benchmark prints."""

    kills: int
    half_written: int
    states_lost: int
    restarts: RestartFigures
    snapshots: SnapshotFigures
    snapshots_of_large_fleet: SnapshotFigures
    timer_delay_p99_ms_idle: float
    timer_delay_p99_ms_loaded: float
    read_ms: float
    measured_on: str = f"simulated workers, seeds {SEEDS}; this machine's disk and loop"


@dataclass(frozen=True, slots=True)
class Aftermath:
    """Requests not served in time after the restart, and seconds until all is as usual again."""

    failed: int
    settled_s: float


class WindowCounter:
    """Counts a run's requests by window and restarts its manager, or does not where `restore` is None."""

    def __init__(self, restore: Restore | None) -> None:
        self.windows: dict[int, RequestCounts] = {}
        self._restore = restore
        self._seen = RequestCounts()

    def observe(self, elapsed_s: float, run: MonthEndRun) -> None:
        """Called at each step of the run."""
        window = self.windows.setdefault(int(elapsed_s / WINDOW_S), RequestCounts())
        window.requests += run.result.requests - self._seen.requests
        window.served += run.result.served - self._seen.served
        self._seen = RequestCounts(run.result.requests, run.result.served)
        if self._restore is not None and month_end.is_step_at(RESTART_S, elapsed_s):
            run.restart_manager(self._restore)

    def aftermath(self) -> Aftermath:
        """The figures after the restart."""
        first = int(RESTART_S / WINDOW_S)
        end = int((RESTART_S + AFTERMATH_S) / WINDOW_S)
        after = [window for index, window in self.windows.items() if first <= index < end]
        failed = sum(window.requests - window.served for window in after)
        return Aftermath(failed, self._settled_s(first, end))

    def _settled_s(self, first: int, end: int) -> float:
        """Seconds until some windows are as good as those before the restart."""
        before = [window for index, window in self.windows.items() if first - WINDOWS_BEFORE <= index < first]
        usual_share = mean(window.served / max(1, window.requests) for window in before)
        usual_share = min(usual_share, MAX_USUAL_SHARE)
        for index in range(first, end):
            windows = [self.windows[n] for n in range(index, min(index + WINDOWS_OF_SETTLING, end))]
            served = sum(window.served for window in windows)
            if served >= usual_share * sum(window.requests for window in windows):
                return (index - first) * WINDOW_S
        return AFTERMATH_S


def play_restart(restore: Restore | None, seed: int) -> Aftermath:
    """Plays one run with a restart at peak load."""
    run = MonthEndRun({}, seed=seed, duration_s=DURATION_S, load=LOAD)
    counter = WindowCounter(restore)
    run.run(counter.observe)
    return counter.aftermath()


def forget(_state: RestoredState) -> None:
    """A restart without a snapshot."""


def restore_fresh(state: RestoredState) -> RestoredState:
    """A snapshot of two seconds ago."""
    return snapshot_staleness.discount(state, FRESH_AGE_S)


def restore_stale(state: RestoredState) -> RestoredState:
    """A snapshot of twelve hours ago in which three good workers are ejected and slow."""
    workers = tuple(
        replace(worker, was_ejected=True, latency_factor=0.05)
        if worker.worker_index in WRONGLY_EJECTED
        else worker
        for worker in state.workers
    )
    return snapshot_staleness.discount(replace(state, workers=workers), STALE_AGE_S)


def measure_restarts() -> RestartFigures:
    """Requests not served in time, by kind of restart."""
    cases: dict[str, Restore | None] = {
        "no_restart": None,
        "without": forget,
        "with": restore_fresh,
        "stale": restore_stale,
    }
    played = {name: [play_restart(restore, seed) for seed in SEEDS] for name, restore in cases.items()}
    failed = {name: sum(row.failed for row in rows) for name, rows in played.items()}
    settled_s = {name: mean(row.settled_s for row in rows) for name, rows in played.items()}
    caused_by_restart = max(1, failed["without"] - failed["no_restart"])
    return RestartFigures(
        late_requests_without_restart=failed["no_restart"],
        late_requests_without_snapshot=failed["without"],
        late_requests_with_snapshot=failed["with"],
        saved_share=round((failed["without"] - failed["with"]) / caused_by_restart, 3),
        settled_s_without_snapshot=round(settled_s["without"], 1),
        settled_s_with_snapshot=round(settled_s["with"], 1),
        added_by_stale_snapshot=failed["stale"] - failed["without"],
    )


@dataclass(frozen=True, slots=True)
class SettingsStub:
    """The part of the settings that a snapshot manager reads."""

    parameters: Any = month_end.PARAMETERS


class ManagerConfigStub:
    """The part of a manager's configuration that a snapshot manager reads."""

    def __init__(self, worker_count: int) -> None:
        self.workers = WorkerRegistry()
        self.settings = SettingsStub()
        endpoints = tuple(self._endpoint(number) for number in range(worker_count))
        self.starting_list = StartingList(1, EndpointList(ListUpdateKind.CACHED, endpoints))

    def _endpoint(self, number: int) -> Endpoint:
        worker_index = self.workers.register(f"s-{number}", f"127.0.0.9:{number + 1}", 0.0)
        return Endpoint(worker_index, number % month_end.ZONE_COUNT, EndpointState.READY, 1.0, 0.0)


def controller_of_fleet(config: ManagerConfigStub, proxy_count: int) -> RoutingController:
    """A controller that knows all workers and proxies of a fleet."""
    controller = RoutingController(replace(month_end.PARAMETERS, proxy_count=proxy_count))
    joins = [
        ProxyConnected(number, number % month_end.ZONE_COUNT, 2.0, True) for number in range(proxy_count)
    ]
    controller.decide(month_end.START_TIME_S, [config.starting_list.endpoints, *joins])
    return controller


async def longest_loop_stall(duration_s: float) -> float:
    """The longest time between two turns of the event loop."""
    longest_s = 0.0
    last = time.perf_counter()
    end = last + duration_s
    while last < end:
        await asyncio.sleep(0)
        now = time.perf_counter()
        longest_s = max(longest_s, now - last)
        last = now
    return longest_s


async def measure_snapshots(worker_count: int, proxy_count: int) -> SnapshotFigures:
    """The loop's longest stall while snapshots are written, how long one takes, and its bytes."""
    gc.collect()  # an earlier measurement's remains are not this one's stall
    config = ManagerConfigStub(worker_count)
    controller = controller_of_fleet(config, proxy_count)
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

        plan = TaskPlan("snapshot", SNAPSHOT_INTERVAL_S, cpu_fraction=SNAPSHOT_CPU_FRACTION, jitter_ratio=0.0)
        scheduler.add(plan, timed_snapshot)
        scheduler.start()
        stall_s = await longest_loop_stall(SNAPSHOT_RUN_S)
        await scheduler.close()
        size_bytes = manager._folder.size_bytes
        manager._folder.close()
    return SnapshotFigures(
        snapshot_ms=round(MILLISECONDS_PER_S * percentile(durations_s, 0.5), 2),
        longest_stall_ms=round(MILLISECONDS_PER_S * stall_s, 2),
        file_bytes=size_bytes,
    )


def busy_work() -> Iterator[None]:
    """A background task that is always due."""
    while True:
        end = time.perf_counter() + BUSY_SLICE_S
        while time.perf_counter() < end:
            pass
        yield None


async def timer_delay_ms(is_loaded: bool) -> float:
    """p99 of a timer's lateness, with background tasks that are always due, or with none."""
    scheduler = BackgroundScheduler(lambda: 0.0)
    for number in range(BUSY_TASK_COUNT if is_loaded else 0):
        plan = TaskPlan(f"busy-{number}", 0.01, priority=number % 3, cpu_fraction=0.02)
        scheduler.add(plan, busy_work)
    scheduler.start()
    delays_s: list[float] = []
    loop = asyncio.get_running_loop()
    for _ in range(TIMER_COUNT):
        due_at = loop.time() + TIMER_S
        await asyncio.sleep(TIMER_S)
        delays_s.append(max(0.0, loop.time() - due_at))
        if delays_s[-1] > LATE_S:
            scheduler.pause_for_loop_lag()
    await scheduler.close()
    return percentile(delays_s, 0.99) * MILLISECONDS_PER_S


def read_duration_ms() -> float:
    """How long a start takes to read a small snapshot."""
    with tempfile.TemporaryDirectory() as folder:
        snapshots = SnapshotFolder(folder)
        snapshots.write({"manager": {"v": 1, "data": {}}})
        started_at = time.perf_counter()
        snapshots.store.read_newest()
        duration_s = time.perf_counter() - started_at
        snapshots.close()
    return duration_s * MILLISECONDS_PER_S


def measure(kill_count: int) -> MemoryFigures:
    """Measures all figures."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    with tempfile.TemporaryDirectory() as folder:
        counts = crash_test(folder, kill_count, CRASH_SEED)
    return MemoryFigures(
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
    """The command line."""
    parser = argument_parser(__doc__)
    parser.add_argument("--kills", type=int, default=1000)
    arguments = parser.parse_args()
    print_figures(measure(arguments.kills), arguments.json)


if __name__ == "__main__":
    main()
