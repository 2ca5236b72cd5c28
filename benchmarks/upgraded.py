"""Upgraded connections: drain of a thousand, overhead of a forwarder, duration of a migration plan.

    python -m benchmarks.upgraded --json

Runs on loopback against simulated workers, and prints the drain and the overhead with baselines of the same
run.
"""

from __future__ import annotations

import asyncio
import base64
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Any

import msgspec

from benchmarks.connection_drain import measure_drain
from benchmarks.harness import argument_parser, print_metrics, start_discovery
from benchmarks.http_load import LoadMetrics, http_load, median_load
from benchmarks.migration_plans import plan_duration_ms
from cottonladder.testbed.fleet import ROOT, ForwarderProcess, ManagerProcess

CONCURRENCY = 8  # connections over which HTTP requests are sent
WARM_UP_REQUESTS = 300  # sent before the first measurement
ROUND_COUNT = 3
MEMORY_STEPS = (1000, 5000)  # numbers of held connections
MEMORY_READ_DELAY_S = 1.0  # after the last connection was opened
TABLE_DELAY_S = 1.0  # a forwarder has its routing tables by then
CONNECTION_BATCH_SIZE = 100  # connections opened concurrently
MAX_CONNECTIONS = 20_000  # per client address and per worker
WEBSOCKET_KEY = base64.b64encode(b"0123456789abcdef").decode()
HANDSHAKE = (
    "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
    f"Sec-WebSocket-Key: {WEBSOCKET_KEY}\r\nSec-WebSocket-Version: 13\r\n\r\n"
).encode()


async def start_worker_process(stack: AsyncExitStack) -> str:
    """Starts a worker in a separate process and returns its address."""
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
async def worker_behind_forwarder(**options: Any) -> AsyncIterator[tuple[str, ForwarderProcess]]:
    """Starts a worker process behind a forwarder; yields the worker's address and the forwarder."""
    async with AsyncExitStack() as stack:
        address = await start_worker_process(stack)
        discovery, discovery_address = await start_discovery(stack)
        await discovery.put("s-0", address, "a")
        manager = ManagerProcess(discovery_address, discovery.endpoint_list(), None)
        stack.push_async_callback(manager.stop)
        manager_address = f"127.0.0.1:{await manager.start_serving()}"
        forwarder = ForwarderProcess(0, discovery_address, [manager_address], None, **options)
        stack.push_async_callback(forwarder.stop)
        await forwarder.start_serving()
        await forwarder.wait_for_log("stream_opened")
        await asyncio.sleep(TABLE_DELAY_S)
        yield address, forwarder


@dataclass(frozen=True, slots=True)
class ForwarderOverhead:
    """Median metrics of the same load, sent directly to the worker and through the forwarder."""

    direct: LoadMetrics
    through: LoadMetrics

    @property
    def ratio(self) -> float:
        """The requests/s without the forwarder / with it."""
        return self.direct.requests_per_s / self.through.requests_per_s


async def measure_overhead(request_count: int) -> ForwarderOverhead:
    """Measures loads directly to the worker and through the forwarder, alternately."""
    direct: list[LoadMetrics] = []
    through: list[LoadMetrics] = []
    async with worker_behind_forwarder() as (address, forwarder):
        await http_load(forwarder.url, WARM_UP_REQUESTS, CONCURRENCY)
        for _ in range(ROUND_COUNT):
            direct.append(await http_load(f"http://{address}/", request_count, CONCURRENCY))
            through.append(await http_load(forwarder.url, request_count, CONCURRENCY))
    return ForwarderOverhead(median_load(direct), median_load(through))


async def open_websocket(port: int) -> asyncio.StreamWriter:
    """Opens a WebSocket without a client library, to need less memory."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
    writer.write(HANDSHAKE)
    assert b" 101 " in await reader.readuntil(b"\r\n\r\n")
    return writer


async def bytes_per_connection(steps: tuple[int, ...]) -> dict[int, float]:
    """Returns the forwarder's additional resident bytes per held connection, for each number in `steps`."""
    limits = {"client": MAX_CONNECTIONS, "worker": MAX_CONNECTIONS}
    async with worker_behind_forwarder(limits=limits) as (_, forwarder):
        before = forwarder.resident_bytes()
        writers: list[asyncio.StreamWriter] = []
        metrics: dict[int, float] = {}
        for step in steps:
            while len(writers) < step:
                count = min(CONNECTION_BATCH_SIZE, step - len(writers))
                writers += await asyncio.gather(*(open_websocket(forwarder.port) for _ in range(count)))
            await asyncio.sleep(MEMORY_READ_DELAY_S)
            metrics[step] = (forwarder.resident_bytes() - before) / step
        for writer in writers:
            writer.transport.abort()
    return metrics


class UpgradedMetrics(msgspec.Struct, frozen=True):
    """The metrics that the benchmark prints; arrivals and connections are ratios, as in `DrainResult`."""

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
    direct: LoadMetrics
    forwarded: LoadMetrics
    bytes_per_connection: dict[int, int]
    plan_ms: float
    plan_ms_half: float
    plan_ms_double: float
    measured_on: str = "simulated workers on loopback, one machine"


async def measure(request_count: int) -> UpgradedMetrics:
    """Returns all metrics of the benchmark."""
    orderly = await measure_drain(is_orderly=True)
    baseline = await measure_drain(is_orderly=False)
    overhead = await measure_overhead(request_count)
    bytes_by_step = await bytes_per_connection(MEMORY_STEPS)
    return UpgradedMetrics(
        drain_part_of_grace=orderly.grace_ratio,
        neighbour_arrivals=orderly.max_arrival_ratio,
        warming_neighbour_arrivals=orderly.max_warm_up_arrival_ratio,
        neighbour_connections=orderly.max_connection_ratio,
        cut_during_request=orderly.cut,
        releases_run_twice=orderly.repeated_releases + baseline.repeated_releases,
        failed_handshakes=orderly.failed_handshakes,
        closed=orderly.closed,
        baseline_neighbour_arrivals=baseline.max_arrival_ratio,
        baseline_warming_neighbour_arrivals=baseline.max_warm_up_arrival_ratio,
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
    """Runs the command line."""
    parser = argument_parser(__doc__)
    parser.add_argument(
        "--reqs",
        dest="request_count",
        type=int,
        default=1500,
        help="requests per round, both directly and through the forwarder",
    )
    arguments = parser.parse_args()
    print_metrics(asyncio.run(measure(arguments.request_count)), arguments.json)


if __name__ == "__main__":
    main()
