"""A manager's restart at peak load, in simulated time, with a snapshot, without one, and with an old one."""

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
LOAD = 0.8  # of the workers' capacity
DURATION_S = 100.0  # of a run
RESTART_S = 70.0  # after the start of the run
AFTERMATH_S = 25.0  # for which requests are counted after the restart
WINDOW_S = 2.0
BASELINE_WINDOWS = 10  # before the restart, for the usual share of served requests
SETTLED_WINDOWS = 3  # in a row with the usual share, after which a run counts as settled
MAX_USUAL_SHARE = 0.97  # a share that is enough, whatever the usual one is
FRESH_AGE_S = 2.0
STALE_AGE_S = 12 * 3600.0
WRONGLY_EJECTED = (0, 1, 9)  # indices of fast workers
WRONG_LATENCY_FACTOR = 0.05  # that the stale snapshot has for them
Restore = Callable[[RestoredState], RestoredState | None]  # gives what the new controller is started from


class RestartFigures(msgspec.Struct, frozen=True):
    """Requests that missed the latency objective after a restart, and the time to settle, over all seeds."""

    late_requests_without_restart: int
    late_requests_without_snapshot: int
    late_requests_with_snapshot: int
    saved_share: float  # of the late requests that a restart adds, by a fresh snapshot
    settled_s_without_snapshot: float
    settled_s_with_snapshot: float
    added_by_stale_snapshot: int


@dataclass(frozen=True, slots=True)
class Aftermath:
    """Requests that missed the latency objective after the restart, and seconds until a run has settled."""

    late: int
    settled_s: float


class WindowCounter:
    """Counts a run's requests by window, and restarts its manager unless `restore` is None."""

    def __init__(self, restore: Restore | None) -> None:
        self.windows: dict[int, RequestCounts] = {}
        self._restore = restore
        self._counted = RequestCounts()  # the run's totals at the last step

    def observe(self, elapsed_s: float, run: MonthEndRun) -> None:
        """Called at each step of the run."""
        window = self.windows.setdefault(int(elapsed_s / WINDOW_S), RequestCounts())
        window.requests += run.result.requests - self._counted.requests
        window.served += run.result.served - self._counted.served
        self._counted = RequestCounts(run.result.requests, run.result.served)
        if self._restore is not None and month_end.is_step_at(RESTART_S, elapsed_s):
            run.restart_manager(self._restore)

    def aftermath(self) -> Aftermath:
        """The figures after the restart."""
        first = int(RESTART_S / WINDOW_S)
        end = int((RESTART_S + AFTERMATH_S) / WINDOW_S)
        after = [window for index, window in self.windows.items() if first <= index < end]
        late = sum(window.requests - window.served for window in after)
        return Aftermath(late, self._settled_s(first, end))

    def _settled_s(self, first: int, end: int) -> float:
        """Seconds until the share of served requests is as usual; AFTERMATH_S if it never is."""
        before = [
            window for index, window in self.windows.items() if first - BASELINE_WINDOWS <= index < first
        ]
        usual_share = mean(window.served / max(1, window.requests) for window in before)
        usual_share = min(usual_share, MAX_USUAL_SHARE)
        for index in range(first, end):
            windows = [self.windows[n] for n in range(index, min(index + SETTLED_WINDOWS, end))]
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
    """A restart with a snapshot that is two seconds old."""
    return snapshot_staleness.discount_restored_state(state, FRESH_AGE_S)


def restore_stale(state: RestoredState) -> RestoredState:
    """A restart with a snapshot of twelve hours ago in which three fast workers are slow and ejected."""
    workers = tuple(
        replace(worker, was_ejected=True, latency_factor=WRONG_LATENCY_FACTOR)
        if worker.worker_index in WRONGLY_EJECTED
        else worker
        for worker in state.workers
    )
    return snapshot_staleness.discount_restored_state(replace(state, workers=workers), STALE_AGE_S)


def measure_restarts() -> RestartFigures:
    """Plays each case on the same seeds."""
    cases: dict[str, Restore | None] = {
        "no_restart": None,
        "without": forget,
        "with": restore_fresh,
        "stale": restore_stale,
    }
    played = {name: [play_restart(restore, seed) for seed in SEEDS] for name, restore in cases.items()}
    late = {name: sum(run.late for run in runs) for name, runs in played.items()}
    settled_s = {name: mean(run.settled_s for run in runs) for name, runs in played.items()}
    added_by_restart = max(1, late["without"] - late["no_restart"])
    return RestartFigures(
        late_requests_without_restart=late["no_restart"],
        late_requests_without_snapshot=late["without"],
        late_requests_with_snapshot=late["with"],
        saved_share=round((late["without"] - late["with"]) / added_by_restart, 3),
        settled_s_without_snapshot=round(settled_s["without"], 1),
        settled_s_with_snapshot=round(settled_s["with"], 1),
        added_by_stale_snapshot=late["stale"] - late["without"],
    )
