"""Test cases with forwarder and manager processes on loopback, simulated workers and long-lived clients."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import aiohttp

from cottonladder.testbed.discovery import SimulatedDiscovery
from cottonladder.testbed.fleet import ForwarderProcess, ManagerProcess
from cottonladder.testbed.holding_clients import ClientCounters, HoldingClient
from cottonladder.testbed.workers import EffectLedger, SimulatedWorker, TicketSession
from tests.support import program_with_constants
from tests.support.json_object import JsonObject

EVENT_TIMEOUT_S = 20.0  # long enough for a slow machine
POLL_INTERVAL_S = 0.02
GRACE_S = 6.0
UPGRADES: JsonObject = {"grace": GRACE_S, "arrivals": 1000.0}
RELEASE_CLASSES: list[JsonObject] = [
    {"name": "fetch", "replays": "replayable", "timeout": 8.0, "ticket": "Case-Ticket",
     "busy": {"opens": "release:", "ends": "done:"}},
]  # fmt: skip
WEBSOCKET_HANDSHAKE = (
    b"GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
)


class ForwarderRig(unittest.IsolatedAsyncioTestCase):
    """Starts a discovery service; stops it and everything else that a test starts when the test ends."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # debug mode would slow down a thousand clients
        self.ledger = EffectLedger()
        self.ticket_sessions: dict[str, TicketSession] = {}
        self.counts = ClientCounters()
        self.workers: dict[str, SimulatedWorker] = {}
        self.clients: list[HoldingClient] = []
        self.discovery = SimulatedDiscovery()
        self.discovery_address = await self.discovery.start()
        self.addAsyncCleanup(self.discovery.close)
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.addAsyncCleanup(self.disconnect_clients)

    async def disconnect_clients(self) -> None:
        """Stops all clients and closes idle connections, because a stopping forwarder would wait for them."""
        clients = self.clients
        self.clients = []
        await asyncio.gather(*(client.stop() for client in clients))
        await self.session.close()

    async def worker(self, name: str, zone: str = "a", **listed: Any) -> SimulatedWorker:
        """Starts a worker and adds it to the endpoint list; `listed` are further fields of its entry."""
        worker = SimulatedWorker(name, self.ledger, self.ticket_sessions)
        self.workers[name] = worker
        await worker.start()
        self.addAsyncCleanup(worker.abort)
        await self.discovery.put(name, worker.address, zone, **listed)
        return worker

    async def manager(
        self, upgrades: JsonObject | None = UPGRADES, port: int = 0, **options: Any
    ) -> ManagerProcess:
        """Starts a manager; `options` are passed to ManagerProcess."""
        manager = ManagerProcess(self.discovery_address, self.discovery.endpoint_list(), upgrades, **options)
        await manager.start_serving(port)
        self.addAsyncCleanup(manager.stop)
        return manager

    async def forwarder(
        self, *ports: int, node: int = 0, constants: Mapping[str, float] | None = None, **options: Any
    ) -> ForwarderProcess:
        """Starts a forwarder that connects to the managers on `ports`.

        `constants` replaces constants of the program, by their full names; `options` are passed to
        ForwarderProcess.  When the test ends, the clients are disconnected before the forwarder is stopped.
        """
        managers = [f"127.0.0.1:{port}" for port in ports]
        upgrades = options.pop("upgrades", UPGRADES)
        forwarder = ForwarderProcess(node, self.discovery_address, managers, upgrades, **options)
        if constants:
            program_with_constants.run_with(forwarder, constants)
        await forwarder.start_serving()
        self.addAsyncCleanup(forwarder.stop)
        self.addAsyncCleanup(self.disconnect_clients)
        return forwarder

    async def wait_until(
        self,
        condition: Callable[[], bool] | Callable[[], Awaitable[bool]],
        timeout_s: float = EVENT_TIMEOUT_S,
    ) -> None:
        """Polls a condition until it is true; fails the test after `timeout_s`."""
        deadline = time.monotonic() + timeout_s
        while True:
            result = condition()
            if result if isinstance(result, bool) else await result:
                return
            self.assertLess(time.monotonic(), deadline, f"condition is still false after {timeout_s} s")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_table(self, forwarder: ForwarderProcess, *names: str) -> None:
        """Waits until a manager is connected and the forwarder's table contains exactly these workers."""

        async def has_exactly_these_workers() -> bool:
            status = await forwarder.status(self.session)
            return status.manager is not None and set(status.tables["fetch"]) == set(names)

        await self.wait_until(has_exactly_these_workers)

    async def wait_for_workers_in_table(self, forwarder: ForwarderProcess, *names: str) -> None:
        """Waits until the forwarder's table contains at least these workers."""

        async def has_these_workers() -> bool:
            status = await forwarder.status(self.session)
            return set(status.tables["fetch"]) >= set(names)

        await self.wait_until(has_these_workers)

    async def open(
        self,
        forwarder: ForwarderProcess,
        count: int,
        path: str = "/watch",
        *,
        busy: bool = False,
        releases: bool = False,
        reconnects_immediately: bool = False,
        request_interval_s: float = 0.2,
    ) -> list[HoldingClient]:
        """Starts `count` clients, each with one upgraded connection; returns them when all are connected."""
        first_number = len(self.clients)
        url = forwarder.url + path
        clients = [
            HoldingClient(
                self.session,
                url,
                self.counts,
                f"d{first_number + number}",
                busy=busy,
                releases=releases,
                reconnects_immediately=reconnects_immediately,
                request_interval_s=request_interval_s,
            )
            for number in range(count)
        ]
        self.clients += clients
        for client in clients:
            client.start()
        for client in clients:
            await asyncio.wait_for(client.connected.wait(), EVENT_TIMEOUT_S)
        return clients

    async def open_websocket(
        self, forwarder: ForwarderProcess, limit_bytes: int = 65_536
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a WebSocket and completes its handshake; returns the streams of its raw bytes."""
        reader, writer = await asyncio.open_connection("127.0.0.1", forwarder.port, limit=limit_bytes)
        self.addCleanup(lambda: writer.transport.abort())  # this reference keeps the writer open
        writer.write(WEBSOCKET_HANDSHAKE)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), EVENT_TIMEOUT_S)
        self.assertIn(b" 101 ", head)
        return reader, writer

    def connections_by_worker(self) -> dict[str, int]:
        """Returns the number of upgraded connections at each worker, as counted by the workers."""
        return {name: worker.held_connections for name, worker in self.workers.items()}

    async def wait_until_empty(self, *names: str, grace_s: float = GRACE_S) -> float:
        """Waits until these workers have no upgraded connections; returns the duration in seconds.

        The test fails if this takes more than one second longer than the grace period.
        """
        started_at = time.monotonic()
        await self.wait_until(
            lambda: not any(self.workers[name].held_connections for name in names), grace_s + 1.0
        )
        return time.monotonic() - started_at
