"""Simulated restarts of a manager at peak load: with a fresh snapshot, a stale one, and none."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from statistics import mean

import msgspec

from cottonladder.model.inputs import RestoredState
from cottonladder.planning import snapshot_staleness
from cottonladder.testbed import month_end
from cottonladder.testbed.month_end import MonthEndRun
from cottonladder.testbed.month_end_records import RequestCounts

SEEDS = (7, 8, 9, 10, 11, 12)
LOAD = 0.8  # request rate at the peak / capacity of the workers
RUN_DURATION_S = 100.0
RESTART_AT_S = 70.0  # since the start of the run
RECOVERY_PERIOD_S = 25.0  # requests are counted for this time after the restart
WINDOW_S = 2.0
BASELINE_WINDOWS = 10  # the usual share of served requests is the mean over these, before the restart
RECOVERED_WINDOWS = 3  # a run has recovered when the share over this many windows reaches the usual one
MAX_USUAL_SHARE = 0.97  # upper limit of the usual share
FRESH_AGE_S = 2.0
STALE_AGE_S = 12 * 3600.0
WRONGLY_EJECTED = (0, 1, 9)  # indices of fast workers
WRONG_LATENCY_FACTOR = 0.05  # latency factor of these workers in the stale snapshot
Restore = Callable[[RestoredState], RestoredState | None]  # maps the old controller's state to the new one's


class RestartMetrics(msgspec.Struct, frozen=True):
    """Requests that missed the latency objective, summed over the seeds, and the mean times to recover."""

    late_requests_without_restart: int
    late_requests_without_snapshot: int
    late_requests_with_snapshot: int
    saved_share: float  # share of the late requests due to a restart that a fresh snapshot avoids
    settled_s_without_snapshot: float
    settled_s_with_snapshot: float
    added_by_stale_snapshot: int


@dataclass(frozen=True, slots=True)
class Recovery:
    """Requests that missed the latency objective after the restart, and the seconds until the recovery."""

    late_count: int
    duration_s: float


class WindowCounter:
    """Counts the requests of a run by window, and restarts the manager unless `restore` is None."""

    def __init__(self, restore: Restore | None) -> None:
        self.windows: dict[int, RequestCounts] = {}
        self._restore = restore
        self._counted = RequestCounts()  # totals of the run at the last step

    def observe(self, elapsed_s: float, run: MonthEndRun) -> None:
        """Counts the requests of a step, and restarts the manager; the run calls this at each step."""
        window = self.windows.setdefault(int(elapsed_s / WINDOW_S), RequestCounts())
        window.requests += run.result.requests - self._counted.requests
        window.served += run.result.served - self._counted.served
        self._counted = RequestCounts(run.result.requests, run.result.served)
        if self._restore is not None and month_end.is_step_at(RESTART_AT_S, elapsed_s):
            run.restart_manager(self._restore)

    def recovery(self) -> Recovery:
        """Returns the metrics after the restart."""
        first = int(RESTART_AT_S / WINDOW_S)
        end = int((RESTART_AT_S + RECOVERY_PERIOD_S) / WINDOW_S)
        after = [window for index, window in self.windows.items() if first <= index < end]
        late = sum(window.requests - window.served for window in after)
        return Recovery(late, self._recovery_time_s(first, end))

    def _recovery_time_s(self, first: int, end: int) -> float:
        """Returns the seconds until the usual share of requests is served, at most RECOVERY_PERIOD_S."""
        before = [
            window for index, window in self.windows.items() if first - BASELINE_WINDOWS <= index < first
        ]
        usual_share = mean(window.served / max(1, window.requests) for window in before)
        usual_share = min(usual_share, MAX_USUAL_SHARE)
        for index in range(first, end):
            windows = [self.windows[n] for n in range(index, min(index + RECOVERED_WINDOWS, end))]
            served = sum(window.served for window in windows)
            if served >= usual_share * sum(window.requests for window in windows):
                return (index - first) * WINDOW_S
        return RECOVERY_PERIOD_S


def simulate_restart(restore: Restore | None, seed: int) -> Recovery:
    """Simulates one run with a restart at peak load, or without one if `restore` is None."""
    run = MonthEndRun({}, seed=seed, duration_s=RUN_DURATION_S, load=LOAD)
    counter = WindowCounter(restore)
    run.run(counter.observe)
    return counter.recovery()


def restore_nothing(_state: RestoredState) -> None:
    """Returns no state: a restart without a snapshot."""


def restore_fresh(state: RestoredState) -> RestoredState:
    """Returns the state of a snapshot that is two seconds old."""
    return snapshot_staleness.discount_restored_state(state, FRESH_AGE_S)


def restore_stale(state: RestoredState) -> RestoredState:
    """Returns the state of a snapshot of twelve hours ago that has three fast workers as slow and ejected."""
    workers = tuple(
        replace(worker, was_ejected=True, latency_factor=WRONG_LATENCY_FACTOR)
        if worker.worker_index in WRONGLY_EJECTED
        else worker
        for worker in state.workers
    )
    return snapshot_staleness.discount_restored_state(replace(state, workers=workers), STALE_AGE_S)


def measure_restarts() -> RestartMetrics:
    """Simulates each kind of restart with the same seeds."""
    cases: dict[str, Restore | None] = {
        "no_restart": None,
        "without": restore_nothing,
        "with": restore_fresh,
        "stale": restore_stale,
    }
    recoveries = {
        name: [simulate_restart(restore, seed) for seed in SEEDS] for name, restore in cases.items()
    }
    late = {name: sum(run.late_count for run in runs) for name, runs in recoveries.items()}
    recovery_s = {name: mean(run.duration_s for run in runs) for name, runs in recoveries.items()}
    added_by_restart = max(1, late["without"] - late["no_restart"])
    return RestartMetrics(
        late_requests_without_restart=late["no_restart"],
        late_requests_without_snapshot=late["without"],
        late_requests_with_snapshot=late["with"],
        saved_share=round((late["without"] - late["with"]) / added_by_restart, 3),
        settled_s_without_snapshot=round(recovery_s["without"], 1),
        settled_s_with_snapshot=round(recovery_s["with"], 1),
        added_by_stale_snapshot=late["stale"] - late["without"],
    )
