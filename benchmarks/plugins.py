"""Plug-ins: a call's time, what a no-op costs, what hostile ones cost, reloads under load, memory.

    python -m benchmarks.plugins --json

On loopback against stand-in workers; each figure beside a forwarder without plug-ins, or a calm one, of the
run."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import statistics
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import aiohttp

from benchmarks.upgraded import load
from cottonladder.plugins.chain import request_record
from cottonladder.plugins.host import Plugin
from cottonladder.testbed.discovery import SimulatedDiscovery
from cottonladder.testbed.fleet import ROOT, ForwarderProcess, ManagerProcess
from cottonladder.testbed.workers import EffectLedger, SimulatedWorker, TicketSession

EXAMPLE = ROOT / "deploy" / "plugins" / "audit-trail.wat"
SHELL = """(module (memory (export "memory") 1 4) (func (export "interface") (result i32) (i32.const 1))
  (func (export "input") (result i32) (i32.const 1024))
  (func (export "capacity") (result i32) (i32.const 8192))
  (func $f (export "route") (param i32) (result i64) {}))"""
NOOP = SHELL.format("(i64.const 0)")
HOSTILE = [
    SHELL.format("(loop $l (br $l)) (i64.const 0)"),
    SHELL.format("(call $f (i32.const 0))"),
    SHELL.format("(unreachable)"),
    SHELL.format("(i64.const 0x7fffffff00000010)"),
]
CLIENTS, REQS = 8, 1200


def calls() -> dict[str, float]:
    begun = time.perf_counter()
    plugin = Plugin("audit", str(EXAMPLE), frozenset(), 0, lambda name, words: None)
    ms = (time.perf_counter() - begun) * 1000.0
    headers = {**{f"x-{n}": "v" * 20 for n in range(12)}, "X-Matter": "42"}
    data, took = request_record("route", "POST", "/release/42", "release", headers), list[float]()
    for _ in range(3000):
        begun = time.perf_counter()
        plugin.call("route", data)
        took.append((time.perf_counter() - begun) * 1e6)
    cuts = statistics.quantiles(took, n=100)
    return {"load_ms": ms, "call_us_p50": cuts[49], "call_us_p99": cuts[98]}


class Site:
    """Three workers, a manager, a forwarder with plug-ins or without."""

    def __init__(self) -> None:
        self.ledger, self.workers = EffectLedger(), dict[str, SimulatedWorker]()

    async def start(self, stack: AsyncExitStack, *texts: str) -> ForwarderProcess:
        self.discovery = SimulatedDiscovery()
        at = await self.discovery.start()
        stack.push_async_callback(self.discovery.close)
        cases: dict[str, TicketSession] = {}
        for n in range(3):
            worker = self.workers[f"s-{n}"] = SimulatedWorker(f"s-{n}", self.ledger, cases)
            await worker.start()
            stack.push_async_callback(worker.abort)
            await self.discovery.put(worker.name, worker.address, "a")
        manager = ManagerProcess(at, self.discovery.listing(), None)
        stack.push_async_callback(manager.stop)
        port = await manager.serving()
        self.folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        more: dict[str, Any] = {"plugins": {"chain": self.chain(*texts)}} if texts else {}
        forwarder = ForwarderProcess(0, at, [f"127.0.0.1:{port}"], None, **more)
        stack.push_async_callback(forwarder.stop)
        await forwarder.serving()
        await forwarder.logged("stream opened")
        await asyncio.sleep(1.5)
        return forwarder

    def chain(self, *texts: str) -> list[dict[str, str]]:
        for n, text in enumerate(texts):
            (self.folder / f"{n}.wat").write_text(text)
        return [{"name": f"p-{n}", "path": str(self.folder / f"{n}.wat")} for n in range(len(texts))]


async def noop() -> dict[str, float]:
    """Throughput with a hook that does nothing against none, in turn; over several pairs of processes, as one
    may fall on a slower core for its life."""
    ratios: list[float] = []
    for _ in range(3):
        async with AsyncExitStack() as stack:
            none, with_it = await Site().start(stack), await Site().start(stack, NOOP)
            await load(none.url, 200, CLIENTS)
            await load(with_it.url, 200, CLIENTS)
            for _ in range(3):
                plain, hooked = await load(none.url, REQS, CLIENTS), await load(with_it.url, REQS, CLIENTS)
                ratios.append(hooked["reqs_per_s"] / plain["reqs_per_s"])
            memory = {
                "forwarder_mb_off": none.resident_bytes() / 2**20,
                "forwarder_mb_on": with_it.resident_bytes() / 2**20,
            }
    return {"reqs_ratio_with_noop": statistics.median(ratios), **memory}


async def releases(url: str, reqs: int) -> tuple[list[float], int]:
    """Each client releases one after another: times in ms, and how many were served."""
    took, served = list[float](), 0
    async with aiohttp.ClientSession() as session:

        async def client(name: int) -> None:
            nonlocal served
            for n in range(reqs // CLIENTS):
                begun = time.perf_counter()
                async with session.post(f"{url}/release", data=f"r-{name}-{n}".encode()) as reply:
                    await reply.read()
                    served += reply.status == 200
                took.append((time.perf_counter() - begun) * 1000.0)
                await asyncio.sleep(0.002)

        await asyncio.gather(*(client(n) for n in range(CLIENTS)))
    return took, served


async def hostile() -> dict[str, float]:
    out: dict[str, float] = {}
    times: dict[str, list[float]] = {}
    twice = lapses = 0
    for name, texts in (("calm", [NOOP]), ("hostile", HOSTILE)):
        async with AsyncExitStack() as stack:
            site = Site()
            forwarder = await site.start(stack, *texts)
            await releases(forwarder.url, 80)  # the breakers have acted
            site.ledger.releases.clear()
            running = asyncio.create_task(releases(forwarder.url, 1600))
            await asyncio.sleep(0.5)
            await site.discovery.set_state("s-1", "Terminating")
            await asyncio.sleep(1.5)  # the grace of the platform's rule
            before = sum(site.workers["s-1"].requests.values())
            times[name], served = await running
            lapses += sum(site.workers["s-1"].requests.values()) - before
            twice += site.ledger.repeated_releases()
            out[f"{name}_served_share"] = served / 1600
    p99 = {name: sorted(row)[int(len(row) * 0.99)] for name, row in times.items()}
    out["hostile_added_delay_p99_ms"] = p99["hostile"] - p99["calm"]
    return out | {"released_twice": twice, "drain_lapses": lapses}


async def reloads() -> int:
    """Reqs lost while plug-ins are replaced ten times under load."""
    async with AsyncExitStack() as stack:
        site = Site()
        forwarder = await site.start(stack, EXAMPLE.read_text())
        running = asyncio.create_task(releases(forwarder.url, 1600))
        for n in range(10):
            await asyncio.sleep(0.15)
            texts = (EXAMPLE.read_text(), NOOP, "(module")
            (site.folder / "0.wat").write_text(texts[n % 3])
            forwarder.send(signal.SIGHUP)
        _, served = await running
        return 1600 - served


async def manager_mb() -> float:
    async with AsyncExitStack() as stack:
        discovery = SimulatedDiscovery()
        at = await discovery.start()
        stack.push_async_callback(discovery.close)
        manager = ManagerProcess(at, discovery.listing(), None)
        stack.push_async_callback(manager.stop)
        await manager.serving()
        await asyncio.sleep(2.0)
        return manager.resident_bytes() / 2**20


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    out: dict[str, Any] = {**calls(), **asyncio.run(noop()), **asyncio.run(hostile())}
    out["reload_lost_reqs"] = asyncio.run(reloads())
    out["manager_mb_off"] = asyncio.run(manager_mb())
    out = {key: round(value, 3) for key, value in out.items()}
    out["of"] = "stand-in workers on loopback, one machine"
    if asked.json:
        print(json.dumps(out))
        return
    for key, value in out.items():
        print(f"{key:28} {value}")


if __name__ == "__main__":
    main()
