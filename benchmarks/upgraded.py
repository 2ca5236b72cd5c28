"""Upgraded connections: a drain of a thousand, the forwarder's price, the plan's time.

    python -m benchmarks.upgraded --json

On loopback, against stand-in workers; each figure stands beside its baseline of the same run.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
import random
import statistics
import sys
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import aiohttp

from cottonladder.model.views import WorkerCapacityView
from cottonladder.planning import connection_migration as mv
from cottonladder.planning.migration_orders import (
    HeldConnectionCounts,
    MigrateConnections,
    MigrationParameters,
)
from cottonladder.testbed.discovery import SimulatedDiscovery
from cottonladder.testbed.fleet import ROOT, ForwarderProcess, ManagerProcess
from cottonladder.testbed.holding_clients import ClientCounters, HoldingClient
from cottonladder.testbed.workers import EffectLedger, SimulatedWorker, TicketSession

GRACE, ARRIVALS, HELD = 12.0, 100.0, 1000
BUSY = 10  # of these, desks that release all the time
KEY = base64.b64encode(b"0123456789abcdef").decode()


def over_room(times: list[float], cold_since: float | None = None) -> float:
    """The most arrivals in any second against the worker's room: what operators state, of a cold one the part
    that the settings' cold rule leaves (`lab.fleet.SETTINGS`: from a fifth to all in 15 s, of that 0.66)."""
    most = 0.0
    for at in times:
        came = sum(at <= other < at + 1.0 for other in times)
        age = 15.0 if cold_since is None else at - cold_since
        most = max(most, came / (ARRIVALS * (1.0 if age >= 15.0 else 0.66 * (0.2 + 0.8 * age / 15.0))))
    return most


async def drain(orderly: bool) -> dict[str, Any]:
    """A thousand at one worker, which then leaves.  The baseline closes all at once and its clients come back
    at once, through a forwarder that paces nothing."""
    async with AsyncExitStack() as stack:
        ledger, counts, cases, discovery = (
            EffectLedger(),
            ClientCounters(),
            dict[str, TicketSession](),
            SimulatedDiscovery(),
        )
        at = await discovery.start()
        stack.push_async_callback(discovery.close)
        workers = {f"s-{n}": SimulatedWorker(f"s-{n}", ledger, cases) for n in range(6)}
        for worker in workers.values():
            await worker.start()
            stack.push_async_callback(worker.abort)
        await discovery.put("s-0", workers["s-0"].address, "a")
        upgrades: dict[str, Any] | None = {"grace": GRACE, "arrivals": ARRIVALS} if orderly else None
        manager = ManagerProcess(at, discovery.listing(), upgrades)
        stack.push_async_callback(manager.stop)
        port = await manager.serving()
        forwarders = [
            ForwarderProcess(n, at, [f"127.0.0.1:{port}"], upgrades, zone="ab"[n], limits={"client": 20_000})
            for n in range(2)
        ]
        for forwarder in forwarders:
            stack.push_async_callback(forwarder.stop)
            await forwarder.serving()
            await forwarder.logged("stream opened")
        session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        stack.push_async_callback(session.close)
        desks = [
            HoldingClient(
                session,
                forwarders[n % 2].url,
                counts,
                f"d{n}",
                busy=n < BUSY,
                releases=True,
                reconnects_at_once=not orderly,
            )
            for n in range(HELD)
        ]
        for n, desk in enumerate(desks):
            stack.push_async_callback(desk.stop)
            desk.start()
            if n % 8 == 7:
                await asyncio.sleep(0.1 if orderly else 0.01)  # under the pace, so that none is turned away
        for desk in desks:
            await asyncio.wait_for(desk.connected.wait(), 60.0)
        for n in range(1, 6):  # one of them cold
            started = time.time() if n == 5 else 0.0
            await discovery.put(f"s-{n}", workers[f"s-{n}"].address, "ab"[n % 2], started=started)
        await asyncio.sleep(5.0)  # two intervals: they stand in the tables
        counts.failed_handshakes, listed = 0, time.monotonic() - 5.0
        begun = time.monotonic()
        await discovery.set_state("s-0", "Terminating")
        if not orderly:
            await asyncio.sleep(1.0)  # the withdrawal has gone out
            await workers["s-0"].abort()
        while workers["s-0"].held_connections and time.monotonic() - begun < GRACE + 3.0:
            await asyncio.sleep(0.05)
        took = time.monotonic() - begun
        while (
            sum(w.held_connections for w in workers.values()) < HELD
            and time.monotonic() - begun < GRACE + 6.0
        ):
            await asyncio.sleep(0.05)
        rates = {
            n: over_room(w.arrivals, listed if n == "s-5" else None) for n, w in workers.items() if n != "s-0"
        }
        level = HELD / 4.25  # four warm neighbours and a quarter of one: a fair level
        return {
            "of_grace": round(took / GRACE, 3),
            "over_room": round(max(rates.values()), 3),
            "cold_over_room": round(rates["s-5"], 3),
            "most_held_of_level": round(
                max(w.max_held_connections for n, w in workers.items() if n != "s-0") / level, 3
            ),
            "closed": sum(counts.closes.values()),
            "cut": counts.unanswered,
            "twice": ledger.repeated_releases(),
            "bare": counts.failed_handshakes,
            "back": sum(w.held_connections for w in workers.values()),
        }


@asynccontextmanager
async def one_worker(**part: Any) -> AsyncIterator[tuple[str, ForwarderProcess]]:
    """A worker in a process of its own behind a forwarder; gives the worker's address, too."""
    async with AsyncExitStack() as stack:
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "cottonladder.testbed.workers", cwd=ROOT,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        stack.push_async_callback(child.wait)
        assert child.stdin is not None and child.stdout is not None
        stack.callback(child.stdin.close)
        address = (await child.stdout.readline()).decode().strip()
        discovery = SimulatedDiscovery()
        at = await discovery.start()
        stack.push_async_callback(discovery.close)
        await discovery.put("s-0", address, "a")
        manager = ManagerProcess(at, discovery.listing(), None)
        stack.push_async_callback(manager.stop)
        forwarder = ForwarderProcess(0, at, [f"127.0.0.1:{await manager.serving()}"], None, **part)
        stack.push_async_callback(forwarder.stop)
        await forwarder.serving()
        await forwarder.logged("stream opened")
        await asyncio.sleep(1.0)
        yield address, forwarder


async def load(url: str, reqs: int, at_once: int) -> dict[str, float]:
    """A closed loop over kept connections."""
    took: list[float] = []
    left = iter(range(reqs))
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=at_once)) as session:

        async def one() -> None:
            for _ in left:
                begun = time.perf_counter()
                async with session.get(url) as reply:
                    await reply.read()
                    assert reply.status == 200
                took.append(time.perf_counter() - begun)

        begun = time.perf_counter()
        await asyncio.gather(*(one() for _ in range(at_once)))
        whole = time.perf_counter() - begun
    cuts = statistics.quantiles(took, n=100)
    return {"reqs_per_s": reqs / whole, "p50_ms": cuts[49] * 1000.0, "p99_ms": cuts[98] * 1000.0}


async def price(reqs: int) -> dict[str, Any]:
    """Through the forwarder against straight to the worker, in turn."""
    async with one_worker() as (address, forwarder):
        await load(forwarder.url, 300, 8)  # warm
        rounds = []
        for _ in range(3):
            rounds.append((await load(f"http://{address}/", reqs, 8), await load(forwarder.url, reqs, 8)))
        direct, through = (
            {key: statistics.median(r[side][key] for r in rounds) for key in rounds[0][side]}
            for side in (0, 1)
        )
    ratio = direct["reqs_per_s"] / through["reqs_per_s"]
    return {"direct": direct, "through": through, "ratio": ratio}


async def memory(steps: tuple[int, ...]) -> dict[int, float]:
    """Resident bytes of the forwarder by held connection."""
    limits = {"client": 20_000, "worker": 20_000}
    async with one_worker(limits=limits) as (_, forwarder):
        before, held, out = forwarder.resident_bytes(), list[asyncio.StreamWriter](), dict[int, float]()
        head = "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
        head += f"Sec-WebSocket-Key: {KEY}"

        async def one() -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", forwarder.port, limit=1024)
            writer.write(f"{head}\r\nSec-WebSocket-Version: 13\r\n\r\n".encode())
            assert b" 101 " in await reader.readuntil(b"\r\n\r\n")
            held.append(writer)

        for step in steps:
            while len(held) < step:
                await asyncio.gather(*(one() for _ in range(min(100, step - len(held)))))
            await asyncio.sleep(1.0)
            out[step] = (forwarder.resident_bytes() - before) / step
        for writer in held:
            writer.transport.abort()
    return out


def plan(connections: int, forwarders: int, workers: int, zones: int = 4) -> float:
    """ms a plan, the median of ten, while a tenth of the workers leave."""
    chance = random.Random(7)
    moves = mv.MigrationPlanner(MigrationParameters(zones, 30.0, 8000, 50.0, 0.05, 3000.0, 10))
    leaving = max(1, workers // 10)
    standing = {
        be: WorkerCapacityView(be % zones, 0.0 if be < leaving else 1.0, False, 0.0 if be < leaving else -1.0)
        for be in range(workers)
    }
    per = connections / forwarders
    for f in range(forwarders):
        moves.add_forwarder(f, f % zones)
        rows: dict[int, int] = {}
        for _ in range(round(per)):
            be = chance.randrange(workers)
            rows[be] = rows.get(be, 0) + 1
        moves.update_connections(f, True, {be: HeldConnectionCounts(n) for be, n in rows.items()})
    took = []
    for n in range(10):
        begun = time.perf_counter()
        orders = moves.plan(n * mv.PLAN_INTERVAL, standing)
        took.append((time.perf_counter() - begun) * 1000.0)
        for order in orders:
            if isinstance(order, MigrateConnections):
                moves.complete_migration(order.forwarder, order.number)
    return statistics.median(took)


async def measure(reqs: int) -> dict[str, Any]:
    orderly, baseline = await drain(True), await drain(False)
    cost, bytes_at = await price(reqs), await memory((1000, 5000))
    return {
        "drain_of_grace": orderly["of_grace"],
        "neighbour_over_room": orderly["over_room"],
        "cold_over_room": orderly["cold_over_room"],
        "most_held_of_level": orderly["most_held_of_level"],
        "busy_cut": orderly["cut"],
        "released_twice": orderly["twice"] + baseline["twice"],
        "bare_clients": orderly["bare"],
        "closed": orderly["closed"],
        "baseline_neighbour_over_room": baseline["over_room"],
        "baseline_cold_over_room": baseline["cold_over_room"],
        "baseline_busy_cut": baseline["cut"],
        "baseline_bare_clients": baseline["bare"],
        "req_overhead_ratio": round(cost["ratio"], 2),
        "direct": {key: round(value, 2) for key, value in cost["direct"].items()},
        "through": {key: round(value, 2) for key, value in cost["through"].items()},
        "bytes_per_connection": {str(n): round(size) for n, size in bytes_at.items()},
        "plan_ms": round(plan(50_000, 400, 120), 2),
        "plan_ms_half": round(plan(25_000, 200, 60), 2),
        "plan_ms_double": round(plan(100_000, 800, 240), 2),
        "of": "stand-in workers on loopback, one machine",
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--reqs", type=int, default=1500, help="reqs of each of three rounds, either way")
    asked = parser.parse_args()
    figures = asyncio.run(measure(asked.reqs))
    if asked.json:
        print(json.dumps(figures))
    else:
        for key, value in figures.items():
            print(f"{key:30} {value}")


if __name__ == "__main__":
    main()
