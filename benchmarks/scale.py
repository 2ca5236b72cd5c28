"""Cost of a manager's decisions by the size of the fleet, with seeded inputs to controller and dispatcher.

    python -m benchmarks.scale --json [--before TREE]

The usual fleet has 400 proxies and 200 workers in 4 zones, and 5 managers.  Each axis varies one of these
numbers, and each point on an axis is measured in a separate process:

1. the endpoint list is received, and all proxies connect in one batch;
2. for 8 s, each tick has inputs: load reports, health check results and gossip from the other managers;
3. half of the workers are replaced, and the fleet runs for another 4 s.

The rate of the channel grows with the number of proxies, so that all of them get a table.  The metrics:

- `solve_ms`, `look_ms`: median duration of the solver, and of a tick;
- `batch_worst_ms`, `replace_half_ms`: the longest batch of all, and the longest one since the replacement;
- `joins_all_ms`: the sum over all batches until every proxy has a table;
- `bytes_per_join`: bytes written per proxy until then;
- `peak_mb`: peak resident set size of the process.

With `--before TREE`, the benchmark of an older checkout measures the same points.  A point that takes more
than a minute has no metrics.
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
    TREE,
    add_baseline_argument,
    argument_parser,
    run_in_tree,
)
from cottonladder.config.fields import MS_PER_S
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

Metrics = dict[str, float | None]  # by name, which is one of METRICS
USUAL = {"proxies": 400, "workers": 200, "zones": 4, "managers": 5}
AXES = {
    "proxies": (150, 400, 1600, 6400),
    "workers": (30, 120, 400, 1024),
    "zones": (3, 8, 16, 24),
    "managers": (2, 16, 64, 256),
}
METRICS = (
    "solve_ms",
    "look_ms",
    "batch_worst_ms",
    "joins_all_ms",
    "replace_half_ms",
    "bytes_per_join",
    "peak_mb",
)
LOAD_REPORTS_PER_TICK = 6  # 20% of the 30 reports that the settings allow
ARRIVAL_REPORTS_PER_TICK = 24
TICKS_PER_HEALTH_CHECK = 8  # mean interval of the health checks of a worker
GOSSIP_PROBABILITY = 1 / 8  # per tick
REQUEST_CLASS_COUNT = 2
MIN_CHANNEL_LINES_PER_S = 3200.0
CHANNEL_LINES_PER_PROXY_S = 4.0
JOIN_DEADLINE_S = 1060.0  # simulated clock, which starts at 1000
STEADY_S = 8.0  # between the connections and the replacement
AFTER_REPLACEMENT_S = 4.0
POINT_TIMEOUT_S = 60.0
MIN_DURATION_MS = 1e-6  # replaces 0, which has no logarithm


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The size of a fleet."""

    proxies: int
    workers: int
    zones: int
    managers: int


class MeasuredFleet(SimulatedFleet):
    """A simulated fleet with seeded reports at each tick, which records the durations of ticks and solver."""

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
        self.tick_durations: list[float] = []
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
        """Yields the inputs of a tick from collectors, proxies, health checks and other managers."""
        workers = list(self.controller.state.workers.by_index)
        proxies = list(self.proxies)
        zones = self.size.zones
        for _ in range(LOAD_REPORTS_PER_TICK):
            yield LoadReport(self.random.choice(workers), self.random.randrange(zones), 20, 0, 2.0, 0.2, {})
        for _ in range(ARRIVAL_REPORTS_PER_TICK if proxies else 0):
            yield ArrivalReport(
                self.random.choice(proxies), self.random.randrange(REQUEST_CLASS_COUNT), 5, 0, 4.0
            )
        for worker in self.random.sample(workers, len(workers) // TICKS_PER_HEALTH_CHECK):
            yield HealthCheckResult(worker, True, 0.05, {"inflight": float(self.random.randrange(6))})
        if self.random.random() < GOSSIP_PROBABILITY:
            text = " ".join([f"{self.size.workers // zones} 99.5"] * zones)
            for manager in range(1, self.size.managers):
                yield GossipReceived(manager, text)

    def run_batch(self, name: str, inputs: Iterable[Input]) -> None:
        """Runs one batch, and records its duration if it is a tick."""
        super().run_batch(name, inputs)
        if name == TICK:
            self.tick_durations.append(self.batch_durations[-1])

    def join_all(self) -> None:
        """Connects all proxies in one batch, and runs until each has a table, or until the deadline."""
        self.connect_proxies(range(self.size.proxies))
        while self.now < JOIN_DEADLINE_S and any(not proxy.weights for proxy in self.proxies.values()):
            self.run(0.25)

    def replace_half_of_the_workers(self) -> None:
        """Changes half of the workers to draining, and adds the same number of new ones."""
        zones = self.size.zones
        numbers = range(0, self.size.workers, 2)
        draining = [self.endpoint(f"s-{n:04x}", n % zones, EndpointState.DRAINING) for n in numbers]
        added = [self.endpoint(f"n-{n:04x}", n % zones, started_at=self.now - 1.0) for n in numbers]
        self.run_batch("list", [EndpointList(ListUpdateKind.DELTA, (*draining, *added))])


def measure_point(size: FleetSize) -> dict[str, float]:
    """Measures one point in this process, and returns its metrics by name."""
    fleet = MeasuredFleet(size)
    listed = tuple(fleet.endpoint(f"s-{n:04x}", n % size.zones) for n in range(size.workers))
    fleet.run_batch("start", [EndpointList(ListUpdateKind.CACHED, listed)])
    fleet.join_all()
    joins_s = sum(fleet.batch_durations)
    bytes_per_join = fleet.bytes_written / size.proxies
    fleet.tick_durations.clear()
    fleet.run(STEADY_S)
    tick_s = median(fleet.tick_durations)
    fleet.batch_durations.clear()
    fleet.replace_half_of_the_workers()
    fleet.run(AFTER_REPLACEMENT_S)
    return {
        "solve_ms": MS_PER_S * median(fleet.solve_durations),
        "look_ms": MS_PER_S * tick_s,
        "batch_worst_ms": MS_PER_S * fleet.longest_batch_s,
        "joins_all_ms": MS_PER_S * joins_s,
        "replace_half_ms": MS_PER_S * max(fleet.batch_durations),
        "bytes_per_join": bytes_per_join,
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
    }


def measure_in_process(size: dict[str, int], tree: str) -> dict[str, float] | None:
    """Measures a point by the benchmark of a checkout, in a separate process; None after a timeout."""
    arguments = ("--point", json.dumps(size))
    try:
        metrics: dict[str, float] = run_in_tree(
            tree, "benchmarks.scale", *arguments, timeout_s=POINT_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return None
    return metrics


def growth_exponent(durations: dict[int, float]) -> float | None:
    """Returns the slope of log(duration) over log(size) by least squares, None for fewer than two points."""
    if len(durations) < 2:
        return None
    points = [(math.log(size), math.log(max(ms, MIN_DURATION_MS))) for size, ms in durations.items()]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    return covariance / variance


@dataclass(slots=True)
class AxisMetrics:
    """The metrics of one axis by size, None for a point that timed out.

    The median duration of a tick grows with the size to the power `growth_exponent`.  `exponent_before` is
    that exponent for the older checkout, if `has_baseline` is set.
    """

    points: dict[str, Metrics | None]
    growth_exponent: float | None
    has_baseline: bool = False
    exponent_before: float | None = None

    def add_baseline(self, older: AxisMetrics) -> None:
        """Adds the metrics of an older checkout, under names that end with `_before`."""
        self.has_baseline = True
        self.exponent_before = older.growth_exponent
        for size, metrics in self.points.items():
            older_metrics = older.points[size] or {}
            if metrics is not None:
                metrics.update({f"{name}_before": older_metrics.get(name) for name in METRICS})

    def as_json(self) -> dict[str, object]:
        """Returns the metrics in the form that is printed as JSON."""
        body: dict[str, object] = {"points": self.points, "growth_exponent": self.growth_exponent}
        if self.has_baseline:
            body["growth_exponent_before"] = self.exponent_before
        return body


def measure_axis(axis: str, tree: str) -> AxisMetrics:
    """Measures each point of an axis in a separate process."""
    points = {size: measure_in_process({**USUAL, axis: size}, tree) for size in AXES[axis]}
    durations = {size: metrics["look_ms"] for size, metrics in points.items() if metrics is not None}
    by_size: dict[str, Metrics | None] = {}
    for size, metrics in points.items():
        by_size[str(size)] = None if metrics is None else {**metrics}
    return AxisMetrics(by_size, growth_exponent(durations))


def measure_axes(tree: str) -> dict[str, AxisMetrics]:
    """Measures every axis; returns the metrics by axis."""
    return {axis: measure_axis(axis, tree) for axis in AXES}


def print_axes(axes: dict[str, AxisMetrics]) -> None:
    """Prints one line per axis and one per point."""
    for axis, measured in axes.items():
        exponent = measured.growth_exponent
        print(f"{axis}: tick duration grows with the power {math.nan if exponent is None else exponent:.2f}")
        for size, metrics in measured.points.items():
            shown = [f"{name} {value:.1f}" for name, value in (metrics or {}).items() if value is not None]
            print(f"  {size:>5}  " + "  ".join(shown))


def main() -> None:
    """Runs the command line."""
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
        metrics_by_axis = {axis: measured.as_json() for axis, measured in axes.items()}
        print(json.dumps({"usual": USUAL, "axes": metrics_by_axis}, indent=1))
        return
    print_axes(axes)


if __name__ == "__main__":
    main()
