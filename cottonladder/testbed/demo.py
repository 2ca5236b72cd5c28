"""The demo: two managers, some forwarders and stand-ins on loopback; one worker drains while one looks on."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any

import aiohttp

from .discovery import SimulatedDiscovery
from .fleet import SETTINGS, ForwarderProcess, ManagerProcess, free_port
from .holding_clients import ClientCounters, HoldingClient
from .workers import EffectLedger, SimulatedWorker, TicketSession

ZONES = ("a", "b")
WORKERS, FORWARDERS, MANAGERS = 6, 4, 2
GRACE = 12.0  # s: short enough to watch
CALM, AFTER, EVERY = 4.0, 3.0, 0.5  # s before the drain, after it, and between two tables
UPGRADES: dict[str, Any] = {"grace": GRACE, "arrivals": 100.0}
Row = tuple[str, ...]
HEADS: Row = ("worker", "zone", "state", "share a", "share b", "held", "came below", "most held")


class DemoFleet:
    """The whole fleet; owned by the stack that it was entered on."""

    def __init__(self) -> None:
        self.ledger, self.counts, self.cases = EffectLedger(), ClientCounters(), dict[str, TicketSession]()
        self.discovery = SimulatedDiscovery()
        self.workers: dict[str, SimulatedWorker] = {}
        self.forwarders: list[ForwarderProcess] = []
        self.managers: list[ManagerProcess] = []
        self.clients: list[HoldingClient] = []
        self.words = "starting"
        self._session: aiohttp.ClientSession | None = None

    async def start(self, stack: AsyncExitStack, client_count: int) -> None:
        at = await self.discovery.start()
        stack.push_async_callback(self.discovery.close)
        for n in range(WORKERS):
            worker = self.workers[f"s-{n}"] = SimulatedWorker(f"s-{n}", self.ledger, self.cases)
            await worker.start()
            stack.push_async_callback(worker.abort)
            weight = (1.0, 1.5)[n % 3 == 0]
            started = time.time() if n == WORKERS - 1 else 0.0
            await self.discovery.put(
                worker.name, worker.address, ZONES[n % 2], weight=weight, started=started
            )
        family = {**SETTINGS["FamilyInfo"], "Proxies": FORWARDERS}
        settings: dict[str, Any] = {"NInstances": MANAGERS, "FamilyInfo": family}
        ports = [free_port() for _ in range(MANAGERS)]
        for n, port in enumerate(ports):
            manager = ManagerProcess(at, self.discovery.listing(), UPGRADES, Me=n, **settings)
            stack.push_async_callback(manager.stop)
            await manager.serving(port)
            self.managers.append(manager)
        for n in range(FORWARDERS):
            order = ports[n % MANAGERS :] + ports[: n % MANAGERS]
            managers = [f"127.0.0.1:{port}" for port in order]
            forwarder = ForwarderProcess(n, at, managers, UPGRADES, zone=ZONES[n % 2], collector=n < 2)
            stack.push_async_callback(forwarder.stop)
            await forwarder.serving()
            self.forwarders.append(forwarder)
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        stack.push_async_callback(self._session.close)
        for n in range(client_count):
            url = self.forwarders[n % FORWARDERS].url + "/watch"
            busy = n % 10 == 0
            self.clients.append(
                HoldingClient(self._session, url, self.counts, f"d{n}", busy=busy, releases=busy)
            )
        stack.push_async_callback(self._stop_desks)
        for desk in self.clients:
            desk.start()

    async def _stop_desks(self) -> None:
        await asyncio.gather(*(desk.stop() for desk in self.clients))

    async def table(self) -> tuple[list[Row], str]:
        """Rows by worker, and a line on managers, levels and drains."""
        assert self._session is not None
        states = await asyncio.gather(*(f.status(self._session) for f in self.forwarders))
        shares: dict[str, dict[str, float]] = {zone: {} for zone in ZONES}
        for state in states:
            rows = state["tables"]["fetch"]
            whole = sum(rows.values()) or 1.0
            shares[state["zone"]] = {be: weight / whole for be, weight in rows.items()}
        rows = [
            (
                name, entry["zone"], entry["state"],
                *(f"{shares[zone].get(name, 0.0):.0%}" for zone in ZONES),
                str(worker.held_connections), str(worker.resumed), str(worker.max_held_connections),
            )
            for name, worker in self.workers.items()
            if (entry := self.discovery.entries.get(name))
        ]  # fmt: skip
        levels = {
            f"{kind} {gate:.2f}" for s in states for kind, gate in s["levels"].items() if gate is not None
        }
        drains = {f"{be} {how}" for s in states for be, how in s["drains"].items()}
        joined = sum(s["manager"] is not None for s in states)
        line = f"{joined}/{len(states)} forwarders joined; levels {', '.join(sorted(levels)) or 'none'}"
        return rows, f"{line}; drains {', '.join(sorted(drains)) or 'none'}"


async def run_demo(client_count: int, show: Callable[[str, list[Row], str], None]) -> str:
    """Plays the scene; the closing line."""
    async with AsyncExitStack() as stack:
        scene = DemoFleet()
        await scene.start(stack, client_count)
        loop = asyncio.get_running_loop()

        async def look(until: Callable[[], bool], most: float, words: str) -> float:
            begun = loop.time()
            while not until() and loop.time() - begun < most:
                show(f"{words} ({loop.time() - begun:.1f} s)", *await scene.table())
                await asyncio.sleep(EVERY)
            return loop.time() - begun

        held = scene.workers["s-0"]
        await look(lambda: all(d.connected.is_set() for d in scene.clients), 30.0, "the desks connect")
        await look(lambda: False, CALM, "calm")
        count = held.held_connections
        await scene.discovery.set_state("s-0", "Terminating")
        took = await look(lambda: not held.held_connections, GRACE + 2.0, f"s-0 drains, grace {GRACE:g} s")
        await look(lambda: False, AFTER, "after it")
        return (
            f"s-0 was rid of {count} connections in {took:.1f} of {GRACE:g} s: "
            f"{sum(w.resumed for w in scene.workers.values())} moved below their clients, "
            f"{sum(scene.counts.closes.values())} closed, {scene.counts.unanswered} cut amid a req, "
            f"{scene.ledger.repeated_releases()} of {len(scene.ledger.releases)} releases done twice "
            "(stand-in workers)"
        )


def show_demo(client_count: int, plain: bool) -> str:
    """On the terminal by rich, where it is installed and wanted; else a line each half second."""
    if not plain:
        try:
            from rich.live import Live
            from rich.table import Table
        except ImportError:
            plain = True
    if plain:

        def show_line(words: str, rows: list[Row], line: str) -> None:
            print(f"{words}: held {' '.join(f'{row[0]}={row[5]}' for row in rows)}; {line}", flush=True)

        return asyncio.run(run_demo(client_count, show_line))
    with Live(auto_refresh=False) as live:

        def show(words: str, rows: list[Row], line: str) -> None:
            table = Table(*HEADS, title=words, caption=line)
            for row in rows:
                table.add_row(*row, style="yellow" if row[2] != "Ready" else "")
            live.update(table, refresh=True)

        return asyncio.run(run_demo(client_count, show))
