"""The drain of a worker with a thousand upgraded connections, compared to aborting them all."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

import aiohttp

from benchmarks.harness import start_discovery
from cottonladder.config.fields import MS_PER_S
from cottonladder.testbed.configuration_files import SETTINGS, UpgradesSection
from cottonladder.testbed.fleet import ForwarderProcess, ManagerProcess
from cottonladder.testbed.holding_clients import ClientCounters, HoldingClient
from cottonladder.testbed.workers import EffectLedger, SimulatedWorker, TicketSession

GRACE_S = 12.0
ARRIVALS_PER_S = 100.0  # limit of new connections to a worker
CLIENT_COUNT = 1000
BUSY_CLIENTS = 10  # clients that send requests continuously
WORKER_COUNT = 6
FORWARDER_COUNT = 2
DRAINED_WORKER = "s-0"
WARMING_WORKER = "s-5"
EVEN_CONNECTION_COUNT = CLIENT_COUNT / 4.25  # four warm workers and one that counts for a quarter
WARM_UP_S = SETTINGS["Rules"]["WarmAfterMs"] / MS_PER_S
WARM_UP_START_RATIO = SETTINGS["Rules"]["ColdFrom"]  # capacity at the start of the warm-up / after it
WARM_UP_USABLE_RATIO = 0.66  # share of a warming-up worker's capacity that may be used
CLIENTS_PER_BATCH = 8
BATCH_INTERVAL_S = 0.1  # slow enough that no connection is rejected
UNPACED_BATCH_INTERVAL_S = 0.01
CONNECT_TIMEOUT_S = 60.0
TABLE_UPDATE_S = 5.0  # new workers are in the routing tables by then
EXCLUSION_DELAY_S = 1.0  # the exclusion of a draining worker has been sent by then
DRAIN_TIMEOUT_MARGIN_S = 3.0  # timeout of the drain beyond the grace period
RECONNECT_TIMEOUT_MARGIN_S = 6.0  # timeout of the clients' reconnects beyond the grace period
POLL_INTERVAL_S = 0.05
MAX_CONNECTIONS = 20_000  # per client address; all clients have the same address


def allowed_arrivals_per_s(age_s: float) -> float:
    """Returns the limit of arrivals/s, which is proportional to the capacity of a warming-up worker."""
    if age_s >= WARM_UP_S:
        return ARRIVALS_PER_S
    capacity_ratio = WARM_UP_START_RATIO + (1.0 - WARM_UP_START_RATIO) * age_s / WARM_UP_S
    return ARRIVALS_PER_S * WARM_UP_USABLE_RATIO * capacity_ratio


def max_arrival_ratio(times: list[float], started_at: float | None = None) -> float:
    """Returns the largest ratio of arrivals in a second to the worker's limit.

    `started_at` is None for a worker that has warmed up.
    """
    max_ratio = 0.0
    for second_start in times:
        count = sum(second_start <= arrived_at < second_start + 1.0 for arrived_at in times)
        age_s = WARM_UP_S if started_at is None else second_start - started_at
        max_ratio = max(max_ratio, count / allowed_arrivals_per_s(age_s))
    return max_ratio


@dataclass(frozen=True, slots=True)
class DrainResult:
    """The metrics of the drain of a worker."""

    grace_ratio: float  # duration of the drain / grace period
    max_arrival_ratio: float  # arrivals in a second / limit, largest of all other workers
    max_warm_up_arrival_ratio: float  # the same of the worker that warms up
    max_connection_ratio: float  # connections / even distribution, largest of all other workers
    closed: int  # closed connections
    cut: int  # connections that ended during a request
    repeated_releases: int
    failed_handshakes: int


class DrainFleet:
    """Six workers behind two forwarders, with clients that hold connections.

    The baseline (`is_orderly` false) has no `upgrades` section in the operators' file: its worker aborts all
    connections, and its clients reconnect immediately.
    """

    def __init__(self, is_orderly: bool) -> None:
        self.is_orderly = is_orderly
        self.upgrades: UpgradesSection | None = None
        if is_orderly:
            self.upgrades = {"grace": GRACE_S, "arrivals": ARRIVALS_PER_S}
        self.ledger = EffectLedger()
        self.counts = ClientCounters()
        self.workers: dict[str, SimulatedWorker] = {}
        self.forwarders: list[ForwarderProcess] = []
        self.clients: list[HoldingClient] = []
        self.listed_at = 0.0  # monotonic time at which the other workers were listed

    async def start(self, stack: AsyncExitStack) -> None:
        """Starts workers, a manager and forwarders, which the exit stack stops."""
        self.discovery, discovery_address = await start_discovery(stack)
        sessions: dict[str, TicketSession] = {}
        for number in range(WORKER_COUNT):
            worker = SimulatedWorker(f"s-{number}", self.ledger, sessions)
            await worker.start()
            stack.push_async_callback(worker.abort)
            self.workers[worker.name] = worker
        await self.discovery.put(DRAINED_WORKER, self.workers[DRAINED_WORKER].address, "a")
        manager = ManagerProcess(discovery_address, self.discovery.endpoint_list(), self.upgrades)
        stack.push_async_callback(manager.stop)
        manager_address = f"127.0.0.1:{await manager.start_serving()}"
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
        await forwarder.start_serving()
        await forwarder.wait_for_log("stream_opened")
        self.forwarders.append(forwarder)

    async def connect_clients(self, stack: AsyncExitStack) -> None:
        """Connects all clients; the only listed worker gets all of the connections."""
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
                reconnects_immediately=not self.is_orderly,
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
        await asyncio.sleep(TABLE_UPDATE_S)

    async def drain(self) -> float:
        """Drains the worker and waits until all clients have reconnected.

        Returns the seconds until the worker had no connection left.
        """
        drained = self.workers[DRAINED_WORKER]
        self.counts.failed_handshakes = 0
        started_at = time.monotonic()
        await self.discovery.set_state(DRAINED_WORKER, "Terminating")
        if not self.is_orderly:
            await asyncio.sleep(EXCLUSION_DELAY_S)
            await drained.abort()
        await wait_until(lambda: not drained.held_connections, started_at + GRACE_S + DRAIN_TIMEOUT_MARGIN_S)
        duration_s = time.monotonic() - started_at
        await wait_until(
            lambda: self.held_connections() >= CLIENT_COUNT, started_at + GRACE_S + RECONNECT_TIMEOUT_MARGIN_S
        )
        return duration_s

    def held_connections(self) -> int:
        """Returns the number of connections that the workers hold together."""
        return sum(worker.held_connections for worker in self.workers.values())

    def result(self, duration_s: float) -> DrainResult:
        """Returns the metrics of a drain of `duration_s`."""
        others = {name: worker for name, worker in self.workers.items() if name != DRAINED_WORKER}
        ratios = {
            name: max_arrival_ratio(worker.arrivals, self.listed_at if name == WARMING_WORKER else None)
            for name, worker in others.items()
        }
        return DrainResult(
            grace_ratio=round(duration_s / GRACE_S, 3),
            max_arrival_ratio=round(max(ratios.values()), 3),
            max_warm_up_arrival_ratio=round(ratios[WARMING_WORKER], 3),
            max_connection_ratio=round(
                max(worker.max_held_connections for worker in others.values()) / EVEN_CONNECTION_COUNT, 3
            ),
            closed=sum(self.counts.closes.values()),
            cut=self.counts.unanswered,
            repeated_releases=self.ledger.repeated_releases(),
            failed_handshakes=self.counts.failed_handshakes,
        )


async def wait_until(condition: Callable[[], bool], deadline: float) -> None:
    """Waits until the condition is true or the deadline, a monotonic time, has passed."""
    while not condition() and time.monotonic() < deadline:  # noqa: ASYNC110 - reads counters of many workers
        await asyncio.sleep(POLL_INTERVAL_S)


async def measure_drain(is_orderly: bool) -> DrainResult:
    """Starts a fleet, drains a worker, and returns the metrics."""
    async with AsyncExitStack() as stack:
        fleet = DrainFleet(is_orderly)
        await fleet.start(stack)
        await fleet.connect_clients(stack)
        await fleet.list_other_workers()
        return fleet.result(await fleet.drain())
