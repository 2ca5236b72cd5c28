"""Plug-ins: duration of a call, cost of no-op and hostile ones, reloads under load, memory.

    python -m benchmarks.plugins --json

Runs on loopback against simulated workers.  The baselines, measured in the same run, are a forwarder without
plug-ins, and one with a plug-in that does nothing.
"""

from __future__ import annotations

import asyncio
import signal
import statistics
import tempfile
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import msgspec

from benchmarks.harness import (
    BYTES_PER_MB,
    MICROSECONDS_PER_S,
    argument_parser,
    percentile,
    print_metrics,
    start_discovery,
)
from benchmarks.http_load import HTTP_OK, http_load
from cottonladder.config.fields import MS_PER_S
from cottonladder.plugins.chain import request_record
from cottonladder.plugins.host import Plugin
from cottonladder.testbed.configuration_files import ForwarderOptions
from cottonladder.testbed.discovery import SimulatedDiscovery
from cottonladder.testbed.fleet import ROOT, ForwarderProcess, ManagerProcess
from cottonladder.testbed.workers import EffectLedger, SimulatedWorker, TicketSession

EXAMPLE = ROOT / "deploy" / "plugins" / "audit-trail.wat"
MODULE = """(module (memory (export "memory") 1 4) (func (export "interface") (result i32) (i32.const 1))
  (func (export "input") (result i32) (i32.const 1024))
  (func (export "capacity") (result i32) (i32.const 8192))
  (func $f (export "route") (param i32) (result i64) {}))"""
NOOP = MODULE.format("(i64.const 0)")
HOSTILE = (
    MODULE.format("(loop $l (br $l)) (i64.const 0)"),
    MODULE.format("(call $f (i32.const 0))"),
    MODULE.format("(unreachable)"),
    MODULE.format("(i64.const 0x7fffffff00000010)"),
)
BROKEN = "(module"
WORKER_COUNT = 3
DRAINED_WORKER = "s-1"
CLIENT_COUNT = 8
CALL_COUNT = 3000
REQUEST_COUNT = 1200  # requests of a round of plain load
WARM_UP_REQUESTS = 200
RELEASE_COUNT = 1600  # requests of a round of releases
BREAKER_RELEASES = 80  # enough to open the circuit breakers of faulty plug-ins
RELEASE_INTERVAL_S = 0.002
ROUND_COUNT = 3  # number of pairs of processes, and of measurements of each pair
RELOAD_COUNT = 10
RELOAD_INTERVAL_S = 0.15
TABLE_DELAY_S = 1.5  # a forwarder has its routing tables by then
DRAIN_DELAY_S = 0.5  # between the first release and the start of the drain
DRAIN_GRACE_S = 1.5  # a draining worker may get requests for this time
IDLE_S = 2.0  # a manager is idle for this time before its memory is read


class CallMetrics(msgspec.Struct, frozen=True):
    """Durations of loading a plug-in and of calling it."""

    load_ms: float
    call_us_p50: float
    call_us_p99: float


class IdleHookMetrics(msgspec.Struct, frozen=True):
    """A forwarder with a no-op hook, compared to one without plug-ins."""

    throughput_ratio: float  # with the hook / without
    forwarder_mb_without: float
    forwarder_mb_with: float


class HostileMetrics(msgspec.Struct, frozen=True):
    """Releases during the drain of a worker, with hostile plug-ins and with a no-op one."""

    harmless_served_share: float
    hostile_served_share: float
    added_p99_ms: float  # p99 with hostile plug-ins - p99 with the no-op one
    releases_run_twice: int
    requests_after_grace: int


class PluginMetrics(msgspec.Struct, frozen=True):
    """The metrics that the benchmark prints."""

    calls: CallMetrics
    idle_hook: IdleHookMetrics
    hostile: HostileMetrics
    requests_lost_in_reloads: int
    manager_mb_without: float
    measured_on: str = "simulated workers on loopback, one machine"


def measure_calls() -> CallMetrics:
    """Measures the durations of loading a plug-in and of calling it."""
    started_at = time.perf_counter()
    plugin = Plugin("audit", str(EXAMPLE), frozenset(), 0, lambda _name, _text: None)
    load_ms = (time.perf_counter() - started_at) * MS_PER_S
    headers = {**{f"x-{n}": "v" * 20 for n in range(12)}, "X-Matter": "42"}
    record = request_record("route", "POST", "/release/42", "release", headers)
    durations_us: list[float] = []
    for _ in range(CALL_COUNT):
        started_at = time.perf_counter()
        plugin.call("route", record)
        durations_us.append((time.perf_counter() - started_at) * MICROSECONDS_PER_S)
    percentiles = statistics.quantiles(durations_us, n=100)
    return CallMetrics(round(load_ms, 3), round(percentiles[49], 3), round(percentiles[98], 3))


@dataclass(frozen=True, slots=True)
class PluginFleet:
    """The workers and the forwarder of a fleet with one manager, and the folder of its plug-ins."""

    ledger: EffectLedger
    discovery: SimulatedDiscovery
    workers: dict[str, SimulatedWorker]
    forwarder: ForwarderProcess
    plugin_folder: Path


async def start_fleet(stack: AsyncExitStack, *plugins: str) -> PluginFleet:
    """Starts a fleet whose forwarder has these plug-ins, in WebAssembly text format."""
    discovery, discovery_address = await start_discovery(stack)
    ledger = EffectLedger()
    workers = await start_workers(stack, discovery, ledger)
    manager = ManagerProcess(discovery_address, discovery.endpoint_list(), None)
    stack.push_async_callback(manager.stop)
    port = await manager.start_serving()
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    options: ForwarderOptions = {}
    if plugins:
        options["plugins"] = {"chain": write_chain(folder, plugins)}
    forwarder = ForwarderProcess(0, discovery_address, [f"127.0.0.1:{port}"], None, **options)
    stack.push_async_callback(forwarder.stop)
    await forwarder.start_serving()
    await forwarder.wait_for_log("stream_opened")
    await asyncio.sleep(TABLE_DELAY_S)
    return PluginFleet(ledger, discovery, workers, forwarder, folder)


async def start_workers(
    stack: AsyncExitStack, discovery: SimulatedDiscovery, ledger: EffectLedger
) -> dict[str, SimulatedWorker]:
    """Starts workers, which the exit stack stops, and adds them to the endpoint list."""
    workers: dict[str, SimulatedWorker] = {}
    sessions: dict[str, TicketSession] = {}
    for number in range(WORKER_COUNT):
        worker = SimulatedWorker(f"s-{number}", ledger, sessions)
        await worker.start()
        stack.push_async_callback(worker.abort)
        await discovery.put(worker.name, worker.address, "a")
        workers[worker.name] = worker
    return workers


def write_chain(folder: Path, plugins: tuple[str, ...]) -> list[dict[str, str]]:
    """Writes plug-ins into files and returns the value of `chain` in the operators' file."""
    chain = []
    for number, text in enumerate(plugins):
        path = folder / f"{number}.wat"
        path.write_text(text)
        chain.append({"name": f"p-{number}", "path": str(path)})
    return chain


async def measure_idle_hook() -> IdleHookMetrics:
    """Measures the throughput with a no-op hook and without plug-ins, alternately.

    Several pairs of processes are measured, because a process may run on a slower core all the time.
    """
    ratios: list[float] = []
    for _ in range(ROUND_COUNT):
        async with AsyncExitStack() as stack:
            plain = (await start_fleet(stack)).forwarder
            hooked = (await start_fleet(stack, NOOP)).forwarder
            await http_load(plain.url, WARM_UP_REQUESTS, CLIENT_COUNT)
            await http_load(hooked.url, WARM_UP_REQUESTS, CLIENT_COUNT)
            ratios += [await throughput_ratio(plain, hooked) for _ in range(ROUND_COUNT)]
            plain_bytes = plain.resident_bytes()
            hooked_bytes = hooked.resident_bytes()
    return IdleHookMetrics(
        throughput_ratio=round(statistics.median(ratios), 3),
        forwarder_mb_without=round(plain_bytes / BYTES_PER_MB, 3),
        forwarder_mb_with=round(hooked_bytes / BYTES_PER_MB, 3),
    )


async def throughput_ratio(plain: ForwarderProcess, hooked: ForwarderProcess) -> float:
    """Returns the ratio of the requests/s with the hook to those without."""
    plain_load = await http_load(plain.url, REQUEST_COUNT, CLIENT_COUNT)
    hooked_load = await http_load(hooked.url, REQUEST_COUNT, CLIENT_COUNT)
    return hooked_load.requests_per_s / plain_load.requests_per_s


@dataclass(slots=True)
class ReleaseCounts:
    """The durations of a round of releases, and the number that succeeded."""

    durations_ms: list[float]
    served: int = 0


async def send_releases(url: str, count: int) -> ReleaseCounts:
    """Sends `count` releases from CLIENT_COUNT clients, with one request at a time from each."""
    counts = ReleaseCounts([])
    async with aiohttp.ClientSession() as session:

        async def client(name: int) -> None:
            """Sends one release after another."""
            for number in range(count // CLIENT_COUNT):
                body = f"r-{name}-{number}".encode()
                started_at = time.perf_counter()
                async with session.post(f"{url}/release", data=body) as response:
                    await response.read()
                    counts.served += response.status == HTTP_OK
                counts.durations_ms.append((time.perf_counter() - started_at) * MS_PER_S)
                await asyncio.sleep(RELEASE_INTERVAL_S)

        await asyncio.gather(*(client(name) for name in range(CLIENT_COUNT)))
    return counts


@dataclass(frozen=True, slots=True)
class DrainUnderPlugins:
    """A round of releases during which one worker drains."""

    p99_ms: float
    served_share: float
    repeated_releases: int
    requests_after_grace: int  # requests at the drained worker after DRAIN_GRACE_S


async def drain_under_plugins(*plugins: str) -> DrainUnderPlugins:
    """Sends a round of releases through a new fleet with these plug-ins, while a worker drains."""
    async with AsyncExitStack() as stack:
        fleet = await start_fleet(stack, *plugins)
        await send_releases(fleet.forwarder.url, BREAKER_RELEASES)
        fleet.ledger.releases.clear()
        releasing = asyncio.create_task(send_releases(fleet.forwarder.url, RELEASE_COUNT))
        await asyncio.sleep(DRAIN_DELAY_S)
        await fleet.discovery.set_state(DRAINED_WORKER, "Terminating")
        await asyncio.sleep(DRAIN_GRACE_S)
        drained = fleet.workers[DRAINED_WORKER]
        requests_until_grace = sum(drained.requests.values())
        counts = await releasing
        return DrainUnderPlugins(
            p99_ms=percentile(counts.durations_ms, 0.99),
            served_share=counts.served / RELEASE_COUNT,
            repeated_releases=fleet.ledger.repeated_releases(),
            requests_after_grace=sum(drained.requests.values()) - requests_until_grace,
        )


async def measure_hostile() -> HostileMetrics:
    """Measures a drain with hostile plug-ins and one with a no-op plug-in."""
    noop = await drain_under_plugins(NOOP)
    hostile = await drain_under_plugins(*HOSTILE)
    return HostileMetrics(
        harmless_served_share=round(noop.served_share, 3),
        hostile_served_share=round(hostile.served_share, 3),
        added_p99_ms=round(hostile.p99_ms - noop.p99_ms, 3),
        releases_run_twice=noop.repeated_releases + hostile.repeated_releases,
        requests_after_grace=noop.requests_after_grace + hostile.requests_after_grace,
    )


async def lost_in_reloads() -> int:
    """Returns the number of releases that fail while a plug-in is reloaded RELOAD_COUNT times."""
    texts = (EXAMPLE.read_text(), NOOP, BROKEN)
    async with AsyncExitStack() as stack:
        fleet = await start_fleet(stack, EXAMPLE.read_text())
        releasing = asyncio.create_task(send_releases(fleet.forwarder.url, RELEASE_COUNT))
        for number in range(RELOAD_COUNT):
            await asyncio.sleep(RELOAD_INTERVAL_S)
            (fleet.plugin_folder / "0.wat").write_text(texts[number % len(texts)])
            fleet.forwarder.send_signal(signal.SIGHUP)
        counts = await releasing
        return RELEASE_COUNT - counts.served


async def manager_memory_mb() -> float:
    """Returns the resident set size of an idle manager."""
    async with AsyncExitStack() as stack:
        discovery, discovery_address = await start_discovery(stack)
        manager = ManagerProcess(discovery_address, discovery.endpoint_list(), None)
        stack.push_async_callback(manager.stop)
        await manager.start_serving()
        await asyncio.sleep(IDLE_S)
        return manager.resident_bytes() / BYTES_PER_MB


def main() -> None:
    """Runs the command line."""
    arguments = argument_parser(__doc__).parse_args()
    metrics = PluginMetrics(
        calls=measure_calls(),
        idle_hook=asyncio.run(measure_idle_hook()),
        hostile=asyncio.run(measure_hostile()),
        requests_lost_in_reloads=asyncio.run(lost_in_reloads()),
        manager_mb_without=round(asyncio.run(manager_memory_mb()), 3),
    )
    print_metrics(metrics, arguments.json)


if __name__ == "__main__":
    main()
