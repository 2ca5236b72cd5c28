"""The demo: the drain of one worker, with managers, forwarders, simulated workers and clients on loopback."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

import aiohttp

from .configuration_files import SETTINGS, FamilyInfo, UpgradesSection
from .discovery import EndpointEntry, SimulatedDiscovery
from .fleet import ForwarderProcess, ManagerProcess, free_port
from .forwarder_status import ForwarderStatus
from .holding_clients import ClientCounters, HoldingClient
from .workers import EffectLedger, SimulatedWorker, TicketSession

ZONES = ("a", "b")
WORKER_COUNT = 6
FORWARDER_COUNT = 4
MANAGER_COUNT = 2
COLLECTOR_COUNT = 2  # forwarders that send load reports
GRACE_S = 12.0
GRACE_MARGIN_S = 2.0  # how long the demo waits after the grace period for the drain to end
STEADY_S = 4.0  # how long the demo shows the fleet before the drain
AFTER_DRAIN_S = 3.0
CONNECT_TIMEOUT_S = 30.0
REFRESH_INTERVAL_S = 0.5
DRAINED_WORKER = "s-0"
UPGRADES: UpgradesSection = {"grace": GRACE_S, "arrivals": 100.0}
DRAIN_PHASES = {  # printed names of the drain phases, by their names in a forwarder's status
    "waits": "awaiting orders",
    "led": "paced by a manager",
    "alone": "paced by the forwarder",
    "last": "in its final phase",
}
COLUMNS = ("worker", "zone", "state", "share a", "share b", "connections", "migrated here", "most")


@dataclass(frozen=True, slots=True)
class WorkerRow:
    """One row of the table; `shares` has the worker's share of the requests from each zone of ZONES."""

    name: str
    zone: str
    state: str
    shares: tuple[str, ...]
    connections: int
    migrated: int
    max_connections: int

    def cells(self) -> tuple[str, ...]:
        """Returns the cells in the order of COLUMNS."""
        counts = (str(self.connections), str(self.migrated), str(self.max_connections))
        return (self.name, self.zone, self.state, *self.shares, *counts)


@dataclass(frozen=True, slots=True)
class ForwarderState:
    """The fields of a forwarder's status that the demo shows.

    Weights and drain phases are by worker id, admission limits by request class.
    """

    zone: str
    is_connected: bool
    weights: dict[str, float]
    admission_limits: dict[str, float]
    drain_phases: dict[str, str]

    @classmethod
    def from_status(cls, status: ForwarderStatus) -> ForwarderState:
        """Converts a status; drain phases get the names that the demo prints."""
        limits = status.admission_limits.items()
        phases = status.drain_phases.items()
        return cls(
            zone=status.zone,
            is_connected=status.manager is not None,
            weights=status.tables["fetch"],
            admission_limits={name: limit for name, limit in limits if limit is not None},
            drain_phases={worker_id: DRAIN_PHASES[phase] for worker_id, phase in phases},
        )


ShowTable = Callable[[str, list[WorkerRow], str], None]  # arguments: title, rows, line below the rows


class DemoFleet:
    """Discovery, managers, forwarders, workers and clients, which the exit stack passed to `start` stops."""

    def __init__(self) -> None:
        self.ledger = EffectLedger()
        self.counts = ClientCounters()
        self.discovery = SimulatedDiscovery()
        self.workers: dict[str, SimulatedWorker] = {}
        self.forwarders: list[ForwarderProcess] = []
        self.managers: list[ManagerProcess] = []
        self.clients: list[HoldingClient] = []
        self._sessions: dict[str, TicketSession] = {}
        self._http: aiohttp.ClientSession | None = None

    async def start(self, stack: AsyncExitStack, client_count: int) -> None:
        """Starts all processes, workers and clients; the exit stack stops them in reverse order."""
        discovery_address = await self.discovery.start()
        stack.push_async_callback(self.discovery.close)
        for number in range(WORKER_COUNT):
            await self._start_worker(stack, number)
        manager_ports = [free_port() for _ in range(MANAGER_COUNT)]
        for number, port in enumerate(manager_ports):
            await self._start_manager(stack, number, port, discovery_address)
        for number in range(FORWARDER_COUNT):
            await self._start_forwarder(stack, number, manager_ports, discovery_address)
        self._http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        stack.push_async_callback(self._http.close)
        self._start_clients(stack, self._http, client_count)

    async def _start_worker(self, stack: AsyncExitStack, number: int) -> None:
        worker = SimulatedWorker(f"s-{number}", self.ledger, self._sessions)
        self.workers[worker.name] = worker
        await worker.start()
        stack.push_async_callback(worker.abort)
        weight = 1.5 if number % 3 == 0 else 1.0
        started_at = time.time() if number == WORKER_COUNT - 1 else 0.0
        zone = ZONES[number % len(ZONES)]
        await self.discovery.put(worker.name, worker.address, zone, weight=weight, started_at=started_at)

    async def _start_manager(
        self, stack: AsyncExitStack, number: int, port: int, discovery_address: str
    ) -> None:
        family: FamilyInfo = {**SETTINGS["FamilyInfo"], "Proxies": FORWARDER_COUNT}
        manager = ManagerProcess(
            discovery_address,
            self.discovery.endpoint_list(),
            UPGRADES,
            NInstances=MANAGER_COUNT,
            FamilyInfo=family,
            Me=number,
        )
        stack.push_async_callback(manager.stop)
        await manager.start_serving(port)
        self.managers.append(manager)

    async def _start_forwarder(
        self, stack: AsyncExitStack, number: int, manager_ports: list[int], discovery_address: str
    ) -> None:
        first = number % MANAGER_COUNT
        ports = manager_ports[first:] + manager_ports[:first]
        forwarder = ForwarderProcess(
            number,
            discovery_address,
            [f"127.0.0.1:{port}" for port in ports],
            UPGRADES,
            zone=ZONES[number % len(ZONES)],
            collector=number < COLLECTOR_COUNT,
        )
        stack.push_async_callback(forwarder.stop)
        await forwarder.start_serving()
        self.forwarders.append(forwarder)

    def _start_clients(self, stack: AsyncExitStack, http: aiohttp.ClientSession, client_count: int) -> None:
        for number in range(client_count):
            url = self.forwarders[number % FORWARDER_COUNT].url + "/watch"
            is_busy = number % 10 == 0
            client = HoldingClient(http, url, self.counts, f"d{number}", busy=is_busy, releases=is_busy)
            self.clients.append(client)
        stack.push_async_callback(self._stop_clients)
        for client in self.clients:
            client.start()

    async def _stop_clients(self) -> None:
        await asyncio.gather(*(client.stop() for client in self.clients))

    async def table(self) -> tuple[list[WorkerRow], str]:
        """Returns a row for each listed worker, and a line on managers, admission limits and drains."""
        assert self._http is not None
        http = self._http
        statuses = await asyncio.gather(*(forwarder.status(http) for forwarder in self.forwarders))
        states = [ForwarderState.from_status(status) for status in statuses]
        shares = {zone: worker_shares(zone, states) for zone in ZONES}
        rows = []
        for name, worker in self.workers.items():
            entry = self.discovery.entries.get(name)
            if entry is not None:
                rows.append(worker_row(worker, entry, shares))
        return rows, fleet_line(states)

    def summary(self, connection_count: int, duration_s: float) -> str:
        """Returns the last line of the demo, which states the result of the drain."""
        resumed = sum(worker.resumed_count for worker in self.workers.values())
        return (
            f"{DRAINED_WORKER} drained {connection_count} connections "
            f"in {duration_s:.1f} of {GRACE_S:g} s: "
            f"{resumed} migrated without their clients noticing, "
            f"{sum(self.counts.closes.values())} closed, {self.counts.unanswered} cut during a request, "
            f"{self.ledger.repeated_releases()} of {len(self.ledger.releases)} releases run twice "
            "(simulated workers)"
        )


def worker_shares(zone: str, states: list[ForwarderState]) -> dict[str, float]:
    """Returns each worker's share of a zone's requests, from the table of the zone's last forwarder."""
    shares: dict[str, float] = {}
    for state in states:
        if state.zone == zone:
            total = sum(state.weights.values()) or 1.0
            shares = {worker_id: weight / total for worker_id, weight in state.weights.items()}
    return shares


def worker_row(
    worker: SimulatedWorker, entry: EndpointEntry, shares: dict[str, dict[str, float]]
) -> WorkerRow:
    """Returns a worker's row, from its entry in the endpoint list and the shares by zone."""
    return WorkerRow(
        name=worker.name,
        zone=entry["zone"],
        state=entry["state"],
        shares=tuple(f"{shares[zone].get(worker.name, 0.0):.0%}" for zone in ZONES),
        connections=worker.held_connections,
        migrated=worker.resumed_count,
        max_connections=worker.max_held_connections,
    )


def fleet_line(states: list[ForwarderState]) -> str:
    """Returns a line on the connected forwarders, the admission limits, and the draining workers."""
    admission = set()
    drains = set()
    for state in states:
        admission |= {f"{name} {limit:.2f}" for name, limit in state.admission_limits.items()}
        drains |= {f"{worker_id} {phase}" for worker_id, phase in state.drain_phases.items()}
    connected = sum(state.is_connected for state in states)
    return (
        f"{connected}/{len(states)} forwarders connected to a manager; "
        f"admission limits: {', '.join(sorted(admission)) or 'none'}; "
        f"draining: {', '.join(sorted(drains)) or 'none'}"
    )


async def show_until(
    fleet: DemoFleet, show: ShowTable, title: str, timeout_s: float, until: Callable[[], bool] = lambda: False
) -> float:
    """Refreshes the table until a condition is true or the timeout; returns the elapsed seconds."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not until() and loop.time() - started_at < timeout_s:
        show(f"{title} ({loop.time() - started_at:.1f} s)", *await fleet.table())
        await asyncio.sleep(REFRESH_INTERVAL_S)
    return loop.time() - started_at


async def run_demo(client_count: int, show: ShowTable) -> str:
    """Starts the fleet, drains one worker, stops the fleet, and returns the last line to print."""
    async with AsyncExitStack() as stack:
        fleet = DemoFleet()
        await fleet.start(stack, client_count)
        drained = fleet.workers[DRAINED_WORKER]
        await show_until(
            fleet,
            show,
            "clients connect",
            CONNECT_TIMEOUT_S,
            until=lambda: all(client.connected.is_set() for client in fleet.clients),
        )
        await show_until(fleet, show, "steady state", STEADY_S)
        connection_count = drained.held_connections
        await fleet.discovery.set_state(DRAINED_WORKER, "Terminating")
        duration_s = await show_until(
            fleet,
            show,
            f"{DRAINED_WORKER} drains, grace period {GRACE_S:g} s",
            GRACE_S + GRACE_MARGIN_S,
            until=lambda: not drained.held_connections,
        )
        await show_until(fleet, show, "after the drain", AFTER_DRAIN_S)
        return fleet.summary(connection_count, duration_s)


def show_demo(client_count: int, plain: bool) -> str:
    """Runs the demo and returns its last line.

    Shows a table if the library rich is installed and `plain` is false, otherwise prints a line per refresh.
    """
    if plain:
        return asyncio.run(run_demo(client_count, print_line))
    try:
        from rich.live import Live
        from rich.table import Table
    except ImportError:
        return asyncio.run(run_demo(client_count, print_line))
    with Live(auto_refresh=False) as live:

        def show(title: str, rows: list[WorkerRow], line: str) -> None:
            """Updates the table on the terminal."""
            table = Table(*COLUMNS, title=title, caption=line)
            for row in rows:
                table.add_row(*row.cells(), style="yellow" if row.state != "Ready" else "")
            live.update(table, refresh=True)

        return asyncio.run(run_demo(client_count, show))


def print_line(title: str, rows: list[WorkerRow], line: str) -> None:
    """Prints the held connections of each worker, and the line on the fleet, as one line."""
    connections = " ".join(f"{row.name}={row.connections}" for row in rows)
    print(f"{title}: connections {connections}; {line}", flush=True)
