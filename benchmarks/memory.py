"""Memory across restarts: kills, what it saves after a restart, what an old file costs, stalls, the
scheduler.

    python -m benchmarks.memory --json

Restarts are played in simulated time on the module itself (`cottonladder.testbed.month_end`), at the busiest;
the rest runs on this machine's disk and loop.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import structlog

from cottonladder.control.background_scheduler import BackgroundScheduler
from cottonladder.control.snapshot_manager import SnapshotFolder, SnapshotManager
from cottonladder.model.inputs import (
    Endpoint,
    EndpointList,
    EndpointState,
    ListUpdateKind,
    ProxyConnected,
    RestoredState,
)
from cottonladder.planning import snapshot_staleness as ageing
from cottonladder.planning.priority_scheduling import TaskPlan
from cottonladder.policy.controller import RoutingController
from cottonladder.state.worker_registry import WorkerRegistry
from cottonladder.testbed import crash_test as kills
from cottonladder.testbed import month_end as me

SEEDS, LOAD, LENGTH = (7, 8, 9, 10, 11, 12), 0.8, 100.0
RESTART, AFTER = 70.0, 25.0  # s: when, and how long what comes after it is counted
Recall = Callable[[RestoredState], RestoredState | None]


def bad_after(recall: Recall | None, seed: int) -> tuple[int, float]:
    """Reqs not done within target in the time after the restart, and s until a 2 s window is as good as the
    20 s before it.  `recall` None: no restart at all."""
    day = me.MonthEndRun({}, seed=seed, duration_s=LENGTH, load=LOAD)
    windows: dict[int, list[int]] = {}
    last = [0, 0]

    def events(now: float, day: me.MonthEndRun) -> None:
        window = windows.setdefault(int(now / 2.0), [0, 0])
        asked, served = day.result.requests, day.result.served
        window[0] += asked - last[0]
        window[1] += served - last[1]
        last[:] = [asked, served]
        if recall is not None and abs(now - RESTART) < me.STEP_S / 2:
            day.restart_manager(recall)

    day.run(events)
    first, end = int(RESTART / 2.0), int((RESTART + AFTER) / 2.0)
    bad = sum(n - s for w, (n, s) in windows.items() if first <= w < end)
    before = [s / max(1, n) for w, (n, s) in windows.items() if first - 10 <= w < first]
    usual = min(sum(before) / len(before), 0.97)
    settled = AFTER
    for w in range(first, end):
        rest = [windows[k] for k in range(w, min(w + 3, end))]
        if sum(s for _, s in rest) >= usual * sum(n for n, _ in rest):
            settled = (w - first) * 2.0
            break
    return bad, settled


def restarts() -> dict[str, float]:
    def none(life: RestoredState) -> None:
        return None

    def fresh(life: RestoredState) -> RestoredState:
        return ageing.discount(life, 2.0)

    def stale(life: RestoredState) -> RestoredState:
        """Twelve hours old, and its suspicions no longer hold: three good workers suspected and slow."""
        wrong = {0, 1, 9}
        pasts = tuple(
            replace(p, was_ejected=True, latency_factor=0.05) if p.worker_index in wrong else p
            for p in life.workers
        )
        return ageing.discount(replace(life, workers=pasts), 12 * 3600.0)

    cases: dict[str, Recall | None] = {"no_restart": None, "without": none, "with": fresh, "stale": stale}
    rows = {name: [bad_after(recall, seed) for seed in SEEDS] for name, recall in cases.items()}
    bad = {name: sum(b for b, _ in row) for name, row in rows.items()}
    settled = {name: sum(s for _, s in row) / len(row) for name, row in rows.items()}
    extra = max(1, bad["without"] - bad["no_restart"])
    return {
        "bad_reqs_no_restart": bad["no_restart"],
        "bad_reqs_after_restart_without": bad["without"],
        "bad_reqs_after_restart_with": bad["with"],
        "saved_of_restart": round((bad["without"] - bad["with"]) / extra, 3),
        "seconds_to_settled_without": round(settled["without"], 1),
        "seconds_to_settled_with": round(settled["with"], 1),
        "stale_file_extra_loss": bad["stale"] - bad["without"],
    }


class Placed:
    """As much of a placement as a keeper asks for."""

    def __init__(self, workers: int) -> None:
        self.workers, self.list_version = WorkerRegistry(), 1
        entries = tuple(
            Endpoint(
                self.workers.register(f"s-{n}", f"127.0.0.9:{n + 1}", 0.0),
                n % 2,
                EndpointState.READY,
                1.0,
                0.0,
            )
            for n in range(workers)
        )
        self.known_endpoints = EndpointList(ListUpdateKind.CACHED, entries)
        self.settings = type("Settings", (), {"parameters": me.PARAMETERS})


async def snapshots(workers: int, proxies: int) -> dict[str, float]:
    """The loop's longest stall while snapshots are written, how long one takes, and its bytes."""
    gc.collect()  # an earlier measurement's remains are not this one's stall
    placed, out = Placed(workers), dict[str, float]()
    ladder = RoutingController(replace(me.PARAMETERS, proxy_count=proxies))
    joins = [ProxyConnected(p, p % 2, 2.0, True) for p in range(proxies)]
    ladder.decide(1000.0, [placed.known_endpoints, *joins])
    with tempfile.TemporaryDirectory() as folder:
        tasks = BackgroundScheduler(lambda: 0.0)
        keeper = SnapshotManager(folder, 0.25, placed, tasks)  # type: ignore[arg-type]
        list(keeper.collect_messages(0.0, ladder))
        took: list[float] = []

        def timed() -> Iterator[Any]:
            begun = time.perf_counter()
            yield from keeper._snapshot()
            took.append(time.perf_counter() - begun)

        tasks.add(TaskPlan("snapshot", 0.25, cpu_fraction=0.5, jitter_ratio=0.0), timed)
        longest, last = 0.0, time.perf_counter()
        tasks.start()
        end = last + 3.0
        while last < end:
            await asyncio.sleep(0)
            now = time.perf_counter()
            longest, last = max(longest, now - last), now
        await tasks.close()
        out = {"snapshot_ms": 1000.0 * sorted(took)[len(took) // 2], "longest_stall_ms": 1000.0 * longest}
        out["file_bytes"] = keeper._folder.size_bytes
        keeper._folder.close()
    return out


async def delays(loaded: bool) -> float:
    """p99 of how late a timer comes each 5 ms, beside background tasks that always want more, or none."""
    tasks = BackgroundScheduler(lambda: 0.0)

    def busy() -> Iterator[Any]:
        while True:
            end = time.perf_counter() + 0.002
            while time.perf_counter() < end:
                pass
            yield None

    if loaded:
        for n in range(20):
            tasks.add(TaskPlan(f"busy-{n}", 0.01, priority=n % 3, cpu_fraction=0.02), busy)
    tasks.start()
    late: list[float] = []
    loop = asyncio.get_running_loop()
    for _ in range(400):
        due = loop.time() + 0.005
        await asyncio.sleep(0.005)
        late.append(max(0.0, loop.time() - due))
        if late[-1] > 0.01:
            tasks.pause_for_loop_lag()
    await tasks.close()
    return sorted(late)[int(len(late) * 0.99)] * 1000.0


def measure(count: int) -> dict[str, Any]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    with tempfile.TemporaryDirectory() as folder:
        counts = kills.crash_test(folder, count, 7)
    out: dict[str, Any] = {key: counts[key] for key in ("kills", "half_written", "states_lost")}
    out |= restarts()
    for name, (workers, proxies) in (("", (120, 640)), ("_large", (1200, 6400))):
        out |= {
            key + name: round(value, 2) for key, value in asyncio.run(snapshots(workers, proxies)).items()
        }
    for name, loaded in (("idle", False), ("loaded", True)):
        out[f"decision_delay_p99_ms_{name}"] = round(asyncio.run(delays(loaded)), 2)
    with tempfile.TemporaryDirectory() as folder:
        kept = SnapshotFolder(folder)
        kept.write({"manager": {"v": 1, "data": {}}})
        begun = time.perf_counter()
        kept.store.read_newest()
        out["read_ms"] = round((time.perf_counter() - begun) * 1000.0, 2)
        kept.close()
    out["of"] = f"simulated workers, seeds {SEEDS}; this machine's disk and loop"
    return out


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--kills", type=int, default=1000)
    asked = parser.parse_args()
    figures = measure(asked.kills)
    if asked.json:
        print(json.dumps(figures))
        return
    for key, value in figures.items():
        print(f"{key:32} {value}")


if __name__ == "__main__":
    main()
