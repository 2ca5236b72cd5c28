"""Forwarders and managers as programs on loopback, stand-in workers and clients that hold connections."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from cottonladder.testbed.discovery import SimulatedDiscovery
from cottonladder.testbed.fleet import ForwarderProcess, ManagerProcess
from cottonladder.testbed.holding_clients import ClientCounters, HoldingClient
from cottonladder.testbed.workers import EffectLedger, SimulatedWorker, TicketSession

WAIT = 20.0  # s for any event, so that a slow machine fails no test
GRACE = 6.0
UPGRADES: dict[str, Any] = {"grace": GRACE, "arrivals": 1000.0}
RELEASES = [{"name": "fetch", "replays": "replayable", "timeout": 8.0, "ticket": "Case-Ticket",
             "busy": {"opens": "release:", "ends": "done:"}}]  # fmt: skip


class ForwarderRig(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # a thousand clients would wait for its traces
        self.ledger, self.cases, self.counts = EffectLedger(), dict[str, TicketSession](), ClientCounters()
        self.workers: dict[str, SimulatedWorker] = {}
        self.discovery = SimulatedDiscovery()
        self.at = await self.discovery.start()
        self.addAsyncCleanup(self.discovery.close)
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.addAsyncCleanup(self.session.close)
        self.desks: list[HoldingClient] = []
        self.addAsyncCleanup(self.stop_desks)

    async def stop_desks(self) -> None:
        for desk in self.desks:
            await desk.stop()

    async def worker(self, name: str, zone: str = "a", **listed: Any) -> SimulatedWorker:
        worker = self.workers[name] = SimulatedWorker(name, self.ledger, self.cases)
        await worker.start()
        self.addAsyncCleanup(worker.abort)
        await self.discovery.put(name, worker.address, zone, **listed)
        return worker

    async def manager(
        self, upgrades: dict[str, Any] | None = UPGRADES, port: int = 0, **more: Any
    ) -> ManagerProcess:
        manager = ManagerProcess(self.at, self.discovery.listing(), upgrades, **more)
        await manager.serving(port)
        self.addAsyncCleanup(manager.stop)
        return manager

    async def forwarder(self, *ports: int, node: int = 0, **part: Any) -> ForwarderProcess:
        managers = [f"127.0.0.1:{port}" for port in ports]
        upgrades = part.pop("upgrades", UPGRADES)
        forwarder = ForwarderProcess(node, self.at, managers, upgrades, **part)
        await forwarder.serving()
        self.addAsyncCleanup(forwarder.stop)
        return forwarder

    async def until(
        self, what: Callable[[], bool] | Callable[[], Awaitable[bool]], wait: float = WAIT
    ) -> None:
        end = time.monotonic() + wait
        while True:
            found = what()
            if found if isinstance(found, bool) else await found:
                return
            self.assertLess(time.monotonic(), end, "did not come")
            await asyncio.sleep(0.02)

    async def bound(self, forwarder: ForwarderProcess, *names: str) -> None:
        """Until its table names these workers and no other."""

        async def same() -> bool:
            status = await forwarder.status(self.session)
            return status["manager"] is not None and set(status["tables"]["fetch"]) == set(names)

        await self.until(same)

    async def open(
        self,
        forwarder: ForwarderProcess,
        count: int,
        path: str = "/watch",
        *,
        busy: bool = False,
        releases: bool = False,
        reconnects_at_once: bool = False,
        ask_interval_s: float = 0.2,
    ) -> list[HoldingClient]:
        """Clients that hold a connection, each connected."""
        first = len(self.desks)
        url = forwarder.url + path
        new = [
            HoldingClient(
                self.session,
                url,
                self.counts,
                f"d{first + n}",
                busy=busy,
                releases=releases,
                reconnects_at_once=reconnects_at_once,
                ask_interval_s=ask_interval_s,
            )
            for n in range(count)
        ]
        self.desks += new
        for desk in new:
            desk.start()
        for desk in new:
            await asyncio.wait_for(desk.connected.wait(), WAIT)
        return new

    def held(self) -> dict[str, int]:
        return {name: worker.held_connections for name, worker in self.workers.items()}

    async def emptied(self, *names: str, grace: float = GRACE) -> float:
        """Waits for these workers to hold nothing; s that it took, within the grace."""
        begun = time.monotonic()
        await self.until(lambda: not any(self.workers[name].held_connections for name in names), grace + 1.0)
        return time.monotonic() - begun
