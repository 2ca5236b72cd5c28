"""Upgraded connections: a drain of a thousand, the forwarder's overhead, the duration of a plan.

    python -m benchmarks.upgraded --json

On loopback, against simulated workers; each figure stands beside its baseline of the same run.
"""

from __future__ import annotations

import asyncio
import base64
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from benchmarks.harness import argument_parser, print_figures, start_discovery
from benchmarks.http_load import LoadFigures, http_load, median_load
from benchmarks.migration_plans import plan_duration_ms
from cottonladder.testbed.configuration_files import UpgradesPart
from cottonladder.testbed.fleet import ROOT, ForwarderProcess, ManagerProcess
from cottonladder.testbed.holding_clients import ClientCounters, HoldingClient
from cottonladder.testbed.workers import EffectLedger, SimulatedWorker, TicketSession

GRACE_S = 12.0
ARRIVALS_PER_S = 100.0  # that a worker may get
CLIENT_COUNT = 1000
BUSY_CLIENTS = 10  # of these, clients with a request in progress all the time
WORKER_COUNT = 6
FORWARDER_COUNT = 2
LEAVING_WORKER = "s-0"
WARMING_WORKER = "s-5"
EVEN_CONNECTION_COUNT = CLIENT_COUNT / 4.25  # four warm neighbours and a quarter of one
WARM_UP_S = 15.0  # of the testbed's settings, as the next two
WARM_UP_START = 0.2
WARM_UP_HEADROOM = 0.66  # of a warming-up worker's capacity that may be used
CLIENTS_PER_BATCH = 8
BATCH_INTERVAL_S = 0.1  # slow enough that no connection is rejected
UNPACED_BATCH_INTERVAL_S = 0.01
CONNECT_TIMEOUT_S = 60.0
SETTLE_S = 5.0  # two intervals, after which new workers are in the tables
POLL_INTERVAL_S = 0.05
CONCURRENCY = 8  # requests at a time
WARM_UP_REQUESTS = 300  # before the first measurement
ROUND_COUNT = 3
MEMORY_STEPS = (1000, 5000)  # held connections
OPENED_AT_ONCE = 100
MAX_CONNECTIONS = 20_000  # by the forwarder's limits
WEBSOCKET_KEY = base64.b64encode(b"0123456789abcdef").decode()
HANDSHAKE = (
    "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
    f"Sec-WebSocket-Key: {WEBSOCKET_KEY}\r\nSec-WebSocket-Version: 13\r\n\r\n"
).encode()


def allowed_arrivals_per_s(age_s: float) -> float:
    """The limit that operators configure, reduced by the warm-up bound for a new worker."""
    if age_s >= WARM_UP_S:
        return ARRIVALS_PER_S
    warm_part = WARM_UP_START + (1.0 - WARM_UP_START) * age_s / WARM_UP_S
    return ARRIVALS_PER_S * WARM_UP_HEADROOM * warm_part


def worst_arrival_ratio(times: list[float], started_at: float | None = None) -> float:
    """The most arrivals in any second, as a part of the limit on the worker's arrivals."""
    worst = 0.0
    for at in times:
        count = sum(at <= other < at + 1.0 for other in times)
        age_s = WARM_UP_S if started_at is None else at - started_at
        worst = max(worst, count / allowed_arrivals_per_s(age_s))
    return worst


@dataclass(frozen=True, slots=True)
class DrainResult:
    """How the drain of a worker with a thousand connections went."""

    part_of_grace: float
    worst_arrivals: float  # at any other worker, as a part of its limit
    worst_warming_arrivals: float
    max_connections: float  # of any other worker, as a part of an even share
    closed: int
    cut: int  # during a request
    repeated_releases: int
    failed_handshakes: int


class DrainFleet:
    """Six workers behind two forwarders.

    The baseline (`is_orderly` false) has no upgrades part: its worker closes all connections at once, and its
    clients reconnect at once.
    """

    def __init__(self, is_orderly: bool) -> None:
        self.is_orderly = is_orderly
        self.upgrades: UpgradesPart | None = None
        if is_orderly:
            self.upgrades = {"grace": GRACE_S, "arrivals": ARRIVALS_PER_S}
        self.ledger = EffectLedger()
        self.counts = ClientCounters()
        self.workers: dict[str, SimulatedWorker] = {}
        self.forwarders: list[ForwarderProcess] = []
        self.clients: list[HoldingClient] = []
        self.listed_at = 0.0  # when the other workers were listed

    async def start(self, stack: AsyncExitStack) -> None:
        """Starts workers, a manager and forwarders; `stack` stops them."""
        self.discovery, discovery_address = await start_discovery(stack)
        sessions: dict[str, TicketSession] = {}
        for number in range(WORKER_COUNT):
            worker = SimulatedWorker(f"s-{number}", self.ledger, sessions)
            await worker.start()
            stack.push_async_callback(worker.abort)
            self.workers[worker.name] = worker
        await self.discovery.put(LEAVING_WORKER, self.workers[LEAVING_WORKER].address, "a")
        manager = ManagerProcess(discovery_address, self.discovery.endpoint_list(), self.upgrades)
        stack.push_async_callback(manager.stop)
        manager_address = f"127.0.0.1:{await manager.serving()}"
        for number in range(FORWARDER_COUNT):
            await self._start_forwarder(stack, number, discovery_address, manager_address)

    async def _start_forwarder(
        self, stack: AsyncExitStack, number: int, discovery_address: str, manager_address: str
    ) -> None:
        forwarder = ForwarderProcess(
            number,
            discovery_address,
            [manager_address],
            self.upgrades,
            zone="ab"[number],
            limits={"client": MAX_CONNECTIONS},
        )
        stack.push_async_callback(forwarder.stop)
        await forwarder.serving()
        await forwarder.logged("stream_opened")
        self.forwarders.append(forwarder)

    async def connect_clients(self, stack: AsyncExitStack) -> None:
        """Opens a thousand connections, all to the one worker that is listed."""
        http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        stack.push_async_callback(http.close)
        interval_s = BATCH_INTERVAL_S if self.is_orderly else UNPACED_BATCH_INTERVAL_S
        for number in range(CLIENT_COUNT):
            client = HoldingClient(
                http,
                self.forwarders[number % FORWARDER_COUNT].url,
                self.counts,
                f"d{number}",
                busy=number < BUSY_CLIENTS,
                releases=True,
                reconnects_at_once=not self.is_orderly,
            )
            self.clients.append(client)
            stack.push_async_callback(client.stop)
            client.start()
            if (number + 1) % CLIENTS_PER_BATCH == 0:
                await asyncio.sleep(interval_s)
        for client in self.clients:
            await asyncio.wait_for(client.connected.wait(), CONNECT_TIMEOUT_S)

    async def list_other_workers(self) -> None:
        """Lists the other workers, one of which has just started."""
        for number in range(1, WORKER_COUNT):
            name = f"s-{number}"
            started_at = time.time() if name == WARMING_WORKER else 0.0
            zone = "ab"[number % 2]
            await self.discovery.put(name, self.workers[name].address, zone, started_at=started_at)
        self.listed_at = time.monotonic()
        await asyncio.sleep(SETTLE_S)

    async def drain(self) -> float:
        """Drains the worker; gives the seconds until it is empty, once all clients are back."""
        leaving = self.workers[LEAVING_WORKER]
        self.counts.failed_handshakes = 0
        started_at = time.monotonic()
        await self.discovery.set_state(LEAVING_WORKER, "Terminating")
        if not self.is_orderly:
            await asyncio.sleep(1.0)  # the worker's exclusion has gone out
            await leaving.abort()
        await wait_until(lambda: not leaving.held_connections, started_at + GRACE_S + 3.0)
        duration_s = time.monotonic() - started_at
        await wait_until(lambda: self.held_connections() >= CLIENT_COUNT, started_at + GRACE_S + 6.0)
        return duration_s

    def held_connections(self) -> int:
        """Connections that all workers hold."""
        return sum(worker.held_connections for worker in self.workers.values())

    def result(self, duration_s: float) -> DrainResult:
        """The figures of the drain, which took `duration_s`."""
        others = {name: worker for name, worker in self.workers.items() if name != LEAVING_WORKER}
        ratios = {
            name: worst_arrival_ratio(worker.arrivals, self.listed_at if name == WARMING_WORKER else None)
            for name, worker in others.items()
        }
        return DrainResult(
            part_of_grace=round(duration_s / GRACE_S, 3),
            worst_arrivals=round(max(ratios.values()), 3),
            worst_warming_arrivals=round(ratios[WARMING_WORKER], 3),
            max_connections=round(
                max(worker.max_held_connections for worker in others.values()) / EVEN_CONNECTION_COUNT, 3
            ),
            closed=sum(self.counts.closes.values()),
            cut=self.counts.unanswered,
            repeated_releases=self.ledger.repeated_releases(),
            failed_handshakes=self.counts.failed_handshakes,
        )


async def wait_until(condition: Callable[[], bool], deadline: float) -> None:
    """Until the condition holds, or the deadline has passed."""
    while not condition() and time.monotonic() < deadline:  # noqa: ASYNC110 - reads counters of many workers
        await asyncio.sleep(POLL_INTERVAL_S)


async def measure_drain(is_orderly: bool) -> DrainResult:
    """Plays one drain from the start of the fleet."""
    async with AsyncExitStack() as stack:
        fleet = DrainFleet(is_orderly)
        await fleet.start(stack)
        await fleet.connect_clients(stack)
        await fleet.list_other_workers()
        return fleet.result(await fleet.drain())


async def start_worker_process(stack: AsyncExitStack) -> str:
    """A worker in a process of its own; gives its address."""
    worker = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "cottonladder.testbed.workers",
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    stack.push_async_callback(worker.wait)
    assert worker.stdin is not None and worker.stdout is not None
    stack.callback(worker.stdin.close)
    return (await worker.stdout.readline()).decode().strip()


@asynccontextmanager
async def one_worker(**part: Any) -> AsyncIterator[tuple[str, ForwarderProcess]]:
    """A worker in a process of its own behind a forwarder; gives the worker's address, too."""
    async with AsyncExitStack() as stack:
        address = await start_worker_process(stack)
        discovery, discovery_address = await start_discovery(stack)
        await discovery.put("s-0", address, "a")
        manager = ManagerProcess(discovery_address, discovery.endpoint_list(), None)
        stack.push_async_callback(manager.stop)
        manager_address = f"127.0.0.1:{await manager.serving()}"
        forwarder = ForwarderProcess(0, discovery_address, [manager_address], None, **part)
        stack.push_async_callback(forwarder.stop)
        await forwarder.serving()
        await forwarder.logged("stream_opened")
        await asyncio.sleep(1.0)
        yield address, forwarder


@dataclass(frozen=True, slots=True)
class ForwarderOverhead:
    """Medians of the load directly to the worker, and through the forwarder."""

    direct: LoadFigures
    through: LoadFigures

    @property
    def ratio(self) -> float:
        """Requests a second directly, over those through the forwarder."""
        return self.direct.requests_per_s / self.through.requests_per_s


async def measure_overhead(request_count: int) -> ForwarderOverhead:
    """Measures requests directly to the worker and through the forwarder, alternately."""
    direct: list[LoadFigures] = []
    through: list[LoadFigures] = []
    async with one_worker() as (address, forwarder):
        await http_load(forwarder.url, WARM_UP_REQUESTS, CONCURRENCY)
        for _ in range(ROUND_COUNT):
            direct.append(await http_load(f"http://{address}/", request_count, CONCURRENCY))
            through.append(await http_load(forwarder.url, request_count, CONCURRENCY))
    return ForwarderOverhead(median_load(direct), median_load(through))


async def open_websocket(port: int) -> asyncio.StreamWriter:
    """Opens a WebSocket by hand, which costs less memory than a client library."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
    writer.write(HANDSHAKE)
    assert b" 101 " in await reader.readuntil(b"\r\n\r\n")
    return writer


async def bytes_per_connection(steps: tuple[int, ...]) -> dict[int, float]:
    """Resident bytes of the forwarder by held connection."""
    limits = {"client": MAX_CONNECTIONS, "worker": MAX_CONNECTIONS}
    async with one_worker(limits=limits) as (_, forwarder):
        before = forwarder.resident_bytes()
        writers: list[asyncio.StreamWriter] = []
        figures: dict[int, float] = {}
        for step in steps:
            while len(writers) < step:
                count = min(OPENED_AT_ONCE, step - len(writers))
                writers += await asyncio.gather(*(open_websocket(forwarder.port) for _ in range(count)))
            await asyncio.sleep(1.0)
            figures[step] = (forwarder.resident_bytes() - before) / step
        for writer in writers:
            writer.transport.abort()
    return figures


class UpgradedFigures(msgspec.Struct, frozen=True):
    """What the benchmark prints; arrivals and connections are parts of their limits."""

    drain_part_of_grace: float
    neighbour_arrivals: float
    warming_neighbour_arrivals: float
    neighbour_connections: float
    cut_during_request: int
    releases_run_twice: int
    failed_handshakes: int
    closed: int
    baseline_neighbour_arrivals: float
    baseline_warming_neighbour_arrivals: float
    baseline_cut_during_request: int
    baseline_failed_handshakes: int
    direct_over_forwarded: float
    direct: LoadFigures
    forwarded: LoadFigures
    bytes_per_connection: dict[int, int]
    plan_ms: float
    plan_ms_half: float
    plan_ms_double: float
    measured_on: str = "simulated workers on loopback, one machine"


async def measure(request_count: int) -> UpgradedFigures:
    """Measures all figures."""
    orderly = await measure_drain(is_orderly=True)
    baseline = await measure_drain(is_orderly=False)
    overhead = await measure_overhead(request_count)
    bytes_by_step = await bytes_per_connection(MEMORY_STEPS)
    return UpgradedFigures(
        drain_part_of_grace=orderly.part_of_grace,
        neighbour_arrivals=orderly.worst_arrivals,
        warming_neighbour_arrivals=orderly.worst_warming_arrivals,
        neighbour_connections=orderly.max_connections,
        cut_during_request=orderly.cut,
        releases_run_twice=orderly.repeated_releases + baseline.repeated_releases,
        failed_handshakes=orderly.failed_handshakes,
        closed=orderly.closed,
        baseline_neighbour_arrivals=baseline.worst_arrivals,
        baseline_warming_neighbour_arrivals=baseline.worst_warming_arrivals,
        baseline_cut_during_request=baseline.cut,
        baseline_failed_handshakes=baseline.failed_handshakes,
        direct_over_forwarded=round(overhead.ratio, 2),
        direct=overhead.direct.rounded(),
        forwarded=overhead.through.rounded(),
        bytes_per_connection={count: round(size) for count, size in bytes_by_step.items()},
        plan_ms=round(plan_duration_ms(50_000, 400, 120), 2),
        plan_ms_half=round(plan_duration_ms(25_000, 200, 60), 2),
        plan_ms_double=round(plan_duration_ms(100_000, 800, 240), 2),
    )


def main() -> None:
    """The command line."""
    parser = argument_parser(__doc__)
    parser.add_argument(
        "--reqs", dest="request_count", type=int, default=1500, help="requests a round, either way"
    )
    arguments = parser.parse_args()
    print_figures(asyncio.run(measure(arguments.request_count)), arguments.json)


if __name__ == "__main__":
    main()
