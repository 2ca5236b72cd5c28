"""What a manager's decisions cost as the fleet grows: seeded inputs straight into ladder and spread.

    python -m benchmarks.scale --json [--before TREE]

One axis at a time grows from a fleet of 400 proxies and 200 workers in 4 zones under 5 managers; each point
is a process of its own.  A point: the list comes, all proxies join at once, 8 s of looks with reports, probes
and other managers' words, half of the workers are replaced, 4 s more.  The channel's pace grows with the
proxies, so that all are bound.  `solve_ms` and `look_ms` are medians, `batch_worst_ms` and `replace_half_ms`
worst batches, `joins_all_ms` all CPU until everybody is bound.  What was before is measured on the text that
TREE holds, a worktree of an older commit; a point that takes over a minute has no figures.
"""

from __future__ import annotations

import argparse
import json
import math
import os
import resource
import subprocess
import sys
import time
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path
from statistics import median
from typing import Any

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
from cottonladder.testbed.simulated_fleet import SimulatedFleet, site

HERE = Path(__file__).resolve()


USUAL = {"proxies": 400, "workers": 200, "zones": 4, "managers": 5}
AXES = {
    "proxies": (150, 400, 1600, 6400),
    "workers": (30, 120, 400, 1024),
    "zones": (3, 8, 16, 24),
    "managers": (2, 16, 64, 256),
}
REPORTS = 30  # lines that a look brings, as the settings limit them: of workers a fifth, of proxies the rest
PROBED = 8  # looks until each worker has been probed
KEYS = (
    "solve_ms", "look_ms", "batch_worst_ms", "joins_all_ms", "replace_half_ms", "bytes_per_join", "peak_mb",
)  # fmt: skip
WAIT = 60.0  # s that a point may take


class Fleet(SimulatedFleet):
    def __init__(self, proxies: int, workers: int, zones: int, managers: int) -> None:
        terms = site(proxies=max(proxies * managers // 2, proxies), zones=zones, managers=managers)
        super().__init__(replace(terms, channel_lines_per_s=max(3200.0, 4.0 * proxies), proxy_count=proxies))
        self.count, self.zones, self.managers = workers, zones, managers
        self.solves, self.looks = list[float](), list[float]()
        self.heard = self.reports
        solve = self.ladder._solve

        def timed() -> None:
            begun = time.perf_counter()
            solve()
            self.solves.append(time.perf_counter() - begun)

        self.ladder._solve = timed  # type: ignore[method-assign]

    def reports(self) -> Iterable[Input]:
        rnd, known = self.random, list(self.ladder.fleet.workers)
        here = list(self.proxies)
        for _ in range(REPORTS // 5):
            yield LoadReport(rnd.choice(known), rnd.randrange(self.zones), 20, 0, 2.0, 0.2, {})
        for _ in range(REPORTS * 4 // 5 if here else 0):
            yield ArrivalReport(rnd.choice(here), rnd.randrange(2), 5, 0, 4.0)
        for be in rnd.sample(known, len(known) // PROBED):
            yield HealthCheckResult(be, True, 0.05, {"inflight": float(rnd.randrange(6))})
        if rnd.random() < 1 / 8:  # once an interval, from each
            for m in range(1, self.managers):
                words = [f"{self.count // self.zones} 99.5"] * self.zones
                yield GossipReceived(m, " ".join(words))

    def step(self, name: str, inputs: Iterable[Input]) -> None:
        super().step(name, inputs)
        if name == "look":
            self.looks.append(self.took[-1])


def point(proxies: int, workers: int, zones: int, managers: int) -> dict[str, float]:
    fleet = Fleet(proxies, workers, zones, managers)
    listed = tuple(fleet.entry(f"s-{n:04x}", n % zones) for n in range(workers))
    fleet.step("start", [EndpointList(ListUpdateKind.CACHED, listed)])
    fleet.join(range(proxies))
    while any(not held.rows for held in fleet.proxies.values()) and fleet.now < 1060.0:
        fleet.run(0.25)
    joins, bytes_joined = sum(fleet.took), fleet.written / proxies
    fleet.looks.clear()
    fleet.run(8.0)
    looks = list(fleet.looks)
    fleet.took.clear()
    half = range(0, workers, 2)
    old = tuple(fleet.entry(f"s-{n:04x}", n % zones, EndpointState.DRAINING) for n in half)
    new = tuple(fleet.entry(f"n-{n:04x}", n % zones, started=fleet.now - 1.0) for n in half)
    fleet.step("list", [EndpointList(ListUpdateKind.DELTA, old + new)])
    fleet.run(4.0)
    return {
        "solve_ms": 1000 * median(fleet.solves),
        "look_ms": 1000 * median(looks),
        "batch_worst_ms": 1000 * max(took for (_, part), took in fleet.spent.items() if part == "all"),
        "joins_all_ms": 1000 * joins,
        "replace_half_ms": 1000 * max(fleet.took),
        "bytes_per_join": bytes_joined,
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
    }


def measure(sizes: dict[str, int], tree: str) -> dict[str, float] | None:
    """A point in a process of its own, on the decisions and the state of a tree."""
    words = [sys.executable, "-B", str(HERE), "--point", json.dumps(sizes)]
    env = {**os.environ, "PYTHONPATH": tree}
    try:
        done = subprocess.run(words, env=env, capture_output=True, text=True, check=True, timeout=WAIT)
    except subprocess.TimeoutExpired:
        return None
    result: dict[str, float] = json.loads(done.stdout)
    return result


def exponent(sizes: Iterable[int], times: Iterable[float]) -> float:
    """The slope of the times over the sizes, both as logarithms, by least squares."""
    pairs = [(math.log(s), math.log(max(t, 1e-6))) for s, t in zip(sizes, times, strict=True)]
    x, y = (sum(c) / len(pairs) for c in zip(*pairs, strict=True))
    return float(sum((a - x) * (b - y) for a, b in pairs) / sum((a - x) ** 2 for a, _ in pairs))


def run(tree: str) -> dict[str, Any]:
    axes: dict[str, Any] = {}
    for axis, sizes in AXES.items():
        points = {size: measure({**USUAL, axis: size}, tree) for size in sizes}
        looks = {size: told["look_ms"] for size, told in points.items() if told is not None}
        axes[axis] = {
            "points": {str(size): told for size, told in points.items()},
            "growth_exponent": exponent(looks, looks.values()) if len(looks) > 1 else None,
        }
    return axes


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--before", metavar="TREE", help="a checkout whose text is measured beside this one")
    parser.add_argument("--point", help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.point:
        print(json.dumps(point(**json.loads(given.point))))
        return
    axes = run(str(HERE.parents[1]))
    before = run(given.before) if given.before else {}
    for axis, old in before.items():
        axes[axis]["growth_exponent_before"] = old["growth_exponent"]
        for size, figures in axes[axis]["points"].items():
            was = old["points"][size] or {}
            (figures or {}).update({f"{key}_before": was.get(key) for key in KEYS})
    if given.json:
        print(json.dumps({"usual": USUAL, "axes": axes}, indent=1))
        return
    for axis, told in axes.items():
        print(f"{axis}: a look grows with the power {told['growth_exponent'] or math.nan:.2f}")
        for size, figures in told["points"].items():
            shown = (f"{key} {value:.1f}" for key, value in (figures or {}).items() if value is not None)
            print(f"  {size:>5}  " + "  ".join(shown))


if __name__ == "__main__":
    main()
