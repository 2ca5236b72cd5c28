"""What a manager's decisions cost as the fleet grows: seeded inputs into controller and dispatcher.

    python -m benchmarks.scale --json [--before TREE]

One axis at a time grows from a fleet of 400 proxies and 200 workers in 4 zones under 5 managers; each point
is a process of its own.  A point: the list comes, all proxies join at once, 8 s of steps with reports, health
checks and other managers' gossip, half of the workers are replaced, 4 s more.  The channel's speed grows with
the proxies, so that all are bound.  `solve_ms` and `look_ms` (a step's batch) are medians, `batch_worst_ms`
and `replace_half_ms` worst batches, `joins_all_ms` all CPU until everybody is bound.  What was before is
measured by the benchmark that TREE holds, a worktree of an older commit; a point that takes over a minute has
no figures.
"""

from __future__ import annotations

import argparse
import json
import math
import resource
import subprocess
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from statistics import median

from benchmarks.harness import (
    MILLISECONDS_PER_S,
    TREE,
    add_baseline_argument,
    argument_parser,
    run_in_tree,
)
from cottonladder.model.inputs import (
    ArrivalReport,
    EndpointList,
    EndpointState,
    GossipReceived,
    HealthCheckResult,
    Input,
    ListUpdateKind,
    LoadReport,
)
from cottonladder.testbed.simulated_fleet import TICK, SimulatedFleet, fleet_parameters

Figures = dict[str, float | None]  # by name, as in FIGURES
USUAL = {"proxies": 400, "workers": 200, "zones": 4, "managers": 5}
AXES = {
    "proxies": (150, 400, 1600, 6400),
    "workers": (30, 120, 400, 1024),
    "zones": (3, 8, 16, 24),
    "managers": (2, 16, 64, 256),
}
FIGURES = (
    "solve_ms",
    "look_ms",
    "batch_worst_ms",
    "joins_all_ms",
    "replace_half_ms",
    "bytes_per_join",
    "peak_mb",
)
LOAD_REPORTS_PER_STEP = 6  # a fifth of the 30 reports that a step may bring by the settings
ARRIVAL_REPORTS_PER_STEP = 24
STEPS_PER_HEALTH_CHECK = 8  # until each worker has been checked
GOSSIP_PROBABILITY = 1 / 8  # of a step: once an interval
MIN_CHANNEL_LINES_PER_S = 3200.0
CHANNEL_LINES_PER_PROXY_S = 4.0
JOIN_DEADLINE_S = 1060.0  # of the fleet's clock, which begins at 1000
STEADY_S = 8.0
AFTER_REPLACEMENT_S = 4.0
POINT_TIMEOUT_S = 60.0
MIN_DURATION_MS = 1e-6  # whose logarithm can still be taken


@dataclass(frozen=True, slots=True)
class FleetSize:
    """One point: how large the fleet is along each axis."""

    proxies: int
    workers: int
    zones: int
    managers: int


class MeasuredFleet(SimulatedFleet):
    """A simulated fleet under seeded reports, whose solver runs and steps are timed."""

    def __init__(self, size: FleetSize) -> None:
        parameters = fleet_parameters(
            proxies=max(size.proxies * size.managers // 2, size.proxies),
            zones=size.zones,
            managers=size.managers,
        )
        channel_lines_per_s = max(MIN_CHANNEL_LINES_PER_S, CHANNEL_LINES_PER_PROXY_S * size.proxies)
        super().__init__(
            replace(parameters, channel_lines_per_s=channel_lines_per_s, proxy_count=size.proxies)
        )
        self.size = size
        self.solve_durations: list[float] = []
        self.step_durations: list[float] = []
        self.extra_inputs = self.reports
        self._time_solver()

    def _time_solver(self) -> None:
        solve = self.controller._solve

        def timed() -> None:
            """Runs the solver and records its duration."""
            started_at = time.perf_counter()
            solve()
            self.solve_durations.append(time.perf_counter() - started_at)

        self.controller._solve = timed  # type: ignore[method-assign]

    def reports(self) -> Iterator[Input]:
        """What a step brings from collectors, proxies, health checks and other managers."""
        workers = list(self.controller.state.workers.by_index)
        proxies = list(self.proxies)
        zones = self.size.zones
        for _ in range(LOAD_REPORTS_PER_STEP):
            yield LoadReport(self.random.choice(workers), self.random.randrange(zones), 20, 0, 2.0, 0.2, {})
        for _ in range(ARRIVAL_REPORTS_PER_STEP if proxies else 0):
            yield ArrivalReport(self.random.choice(proxies), self.random.randrange(2), 5, 0, 4.0)
        for worker in self.random.sample(workers, len(workers) // STEPS_PER_HEALTH_CHECK):
            yield HealthCheckResult(worker, True, 0.05, {"inflight": float(self.random.randrange(6))})
        if self.random.random() < GOSSIP_PROBABILITY:
            text = " ".join([f"{self.size.workers // zones} 99.5"] * zones)
            for manager in range(1, self.size.managers):
                yield GossipReceived(manager, text)

    def step(self, name: str, inputs: Iterable[Input]) -> None:
        """Runs one batch; the durations of ticks are kept."""
        super().step(name, inputs)
        if name == TICK:
            self.step_durations.append(self.batch_durations[-1])

    def join_all(self) -> None:
        """All proxies join at once; returns when each has a table, or it took too long."""
        self.join(range(self.size.proxies))
        while self.now < JOIN_DEADLINE_S and any(not proxy.weights for proxy in self.proxies.values()):
            self.run(0.25)

    def replace_half_of_the_workers(self) -> None:
        """Lists half of the workers as draining and as many new ones."""
        zones = self.size.zones
        numbers = range(0, self.size.workers, 2)
        leaving = [self.endpoint(f"s-{n:04x}", n % zones, EndpointState.DRAINING) for n in numbers]
        coming = [self.endpoint(f"n-{n:04x}", n % zones, started_at=self.now - 1.0) for n in numbers]
        self.step("list", [EndpointList(ListUpdateKind.DELTA, (*leaving, *coming))])


def measure_point(size: FleetSize) -> dict[str, float]:
    """Plays one point in this process."""
    fleet = MeasuredFleet(size)
    listed = tuple(fleet.endpoint(f"s-{n:04x}", n % size.zones) for n in range(size.workers))
    fleet.step("start", [EndpointList(ListUpdateKind.CACHED, listed)])
    fleet.join_all()
    joins_s = sum(fleet.batch_durations)
    bytes_per_join = fleet.bytes_written / size.proxies
    fleet.step_durations.clear()
    fleet.run(STEADY_S)
    step_s = median(fleet.step_durations)
    fleet.batch_durations.clear()
    fleet.replace_half_of_the_workers()
    fleet.run(AFTER_REPLACEMENT_S)
    return {
        "solve_ms": MILLISECONDS_PER_S * median(fleet.solve_durations),
        "look_ms": MILLISECONDS_PER_S * step_s,
        "batch_worst_ms": MILLISECONDS_PER_S * fleet.longest_batch_s,
        "joins_all_ms": MILLISECONDS_PER_S * joins_s,
        "replace_half_ms": MILLISECONDS_PER_S * max(fleet.batch_durations),
        "bytes_per_join": bytes_per_join,
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
    }


def measure_in_process(size: dict[str, int], tree: str) -> dict[str, float] | None:
    """A point in a process of its own, by the benchmark of a tree; None if it takes too long."""
    arguments = ("--point", json.dumps(size))
    try:
        figures: dict[str, float] = run_in_tree(
            tree, "benchmarks.scale", *arguments, timeout_s=POINT_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return None
    return figures


def growth_exponent(durations: dict[int, float]) -> float | None:
    """The slope of durations over sizes, both as logarithms, by least squares."""
    if len(durations) < 2:
        return None
    points = [(math.log(size), math.log(max(ms, MIN_DURATION_MS))) for size, ms in durations.items()]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    return covariance / variance


@dataclass(slots=True)
class AxisFigures:
    """The figures of one axis by size, and the power of the size with which a step's duration grows.

    A point that took too long has no figures.  `exponent_before` is the older tree's, with `has_baseline`.
    """

    points: dict[str, Figures | None]
    growth_exponent: float | None
    has_baseline: bool = False
    exponent_before: float | None = None

    def add_baseline(self, older: AxisFigures) -> None:
        """Writes an older tree's figures beside these, as `..._before`."""
        self.has_baseline = True
        self.exponent_before = older.growth_exponent
        for size, figures in self.points.items():
            older_figures = older.points[size] or {}
            if figures is not None:
                figures.update({f"{name}_before": older_figures.get(name) for name in FIGURES})

    def as_json(self) -> dict[str, object]:
        """The figures in the form that is printed as JSON."""
        body: dict[str, object] = {"points": self.points, "growth_exponent": self.growth_exponent}
        if self.has_baseline:
            body["growth_exponent_before"] = self.exponent_before
        return body


def measure_axis(axis: str, tree: str) -> AxisFigures:
    """Measures each point of an axis in a process of its own."""
    points = {size: measure_in_process({**USUAL, axis: size}, tree) for size in AXES[axis]}
    durations = {size: figures["look_ms"] for size, figures in points.items() if figures is not None}
    by_size: dict[str, Figures | None] = {}
    for size, figures in points.items():
        by_size[str(size)] = None if figures is None else {**figures}
    return AxisFigures(by_size, growth_exponent(durations))


def measure_axes(tree: str) -> dict[str, AxisFigures]:
    """Measures every axis, by its name."""
    return {axis: measure_axis(axis, tree) for axis in AXES}


def print_axes(axes: dict[str, AxisFigures]) -> None:
    """Prints one line for each point."""
    for axis, measured in axes.items():
        exponent = measured.growth_exponent
        print(f"{axis}: a step grows with the power {math.nan if exponent is None else exponent:.2f}")
        for size, figures in measured.points.items():
            shown = [f"{name} {value:.1f}" for name, value in (figures or {}).items() if value is not None]
            print(f"  {size:>5}  " + "  ".join(shown))


def main() -> None:
    """The command line."""
    parser = argument_parser(__doc__)
    add_baseline_argument(parser)
    parser.add_argument("--point", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.point:
        print(json.dumps(measure_point(FleetSize(**json.loads(arguments.point)))))
        return
    axes = measure_axes(str(TREE))
    if arguments.before:
        for axis, older in measure_axes(arguments.before).items():
            axes[axis].add_baseline(older)
    if arguments.json:
        figures_by_axis = {axis: measured.as_json() for axis, measured in axes.items()}
        print(json.dumps({"usual": USUAL, "axes": figures_by_axis}, indent=1))
        return
    print_axes(axes)


if __name__ == "__main__":
    main()
