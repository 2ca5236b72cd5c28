"""Weight advice: benefit, cost of wrong weights, speed of the codecs and of pushes, memory.

    python -m benchmarks.advice --json

The scenarios are seeded runs of the simulation `cottonladder.testbed.month_end`, which uses the real
controller; the other measurements run on loopback.  A request counts as served if its latency was within the
objective.  The scenario `none`, with the same seeds, is the baseline of the others.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from ipaddress import IPv4Address
from pathlib import Path
from statistics import mean
from typing import Any

import msgspec

from benchmarks.harness import (
    argument_parser,
    percentile,
    print_metrics,
    start_discovery,
)
from cottonladder.config.fields import MS_PER_S
from cottonladder.planning.advice_weighting import AdvisoryWeight
from cottonladder.testbed import month_end, month_end_advisors
from cottonladder.testbed.balancers import SaspBalancer, weights_by_label
from cottonladder.testbed.discovery import SimulatedDiscovery
from cottonladder.testbed.fleet import ManagerProcess
from cottonladder.testbed.month_end import MonthEndRun
from cottonladder.weight_advice import dfp, sasp
from cottonladder.weight_advice.tlv import TCP_PROTOCOL_NUMBER

SEEDS = (7, 8, 9, 10)
LOAD = 0.85  # request rate at the peak / capacity of the workers
NEW_WORKER_INDEX = 20
NEW_WORKER_SPEED = 1.5  # relative to a worker with speed 1
NEW_WORKER_START_S = 20.0  # since the start of the run
WARM_UP_RUN_S = 45.0
BALANCER_COUNT = 200
SPARE_BALANCERS = 8  # additional clients that the server allows, so that it rejects none
PUSH_COUNT = 8
PUSHED_WORKERS = 20
PUSH_TIMEOUT_S = 20.0
REGISTRATION_PUSHES_S = 3.0  # the pushes after the registrations have ended by then
PUSH_INTERVAL_S = 2.5
IDLE_S = 2.5  # a manager is idle for this time before its memory is read
CALL_TIME_S = 0.7  # a codec is called repeatedly for this time
FIRST_ADDRESS = 0x0A000000  # 10.0.0.0
GROUP = sasp.GroupData(b"lb", b"workers")
KB_PER_MB = 1024

SCENARIOS: dict[str, tuple[month_end.Advisor, ...]] = {
    "none": (),
    "honest": (month_end_advisors.honest_advisor,),
    "lying": (month_end_advisors.inverted_advisor,),
    "stalled": (month_end_advisors.stopping_advisor,),
    "random": (month_end_advisors.random_advisor,),
    "all_0": (month_end_advisors.zero_advisor,),
    "all_most": (month_end_advisors.maximum_advisor,),
    "stalls_then_lies": (month_end_advisors.stopping_then_inverted_advisor,),
    "two_differ": (month_end_advisors.honest_advisor, month_end_advisors.inverted_advisor),
}


class ScenarioResult(msgspec.Struct, frozen=True):
    """Shares of served requests, as means over the seeds, and proxies without a usable worker, as a sum."""

    served_share: float
    worst_share: float  # lowest share in a window
    proxies_without_worker: int  # summed over the steps and seeds


class WarmUpMetrics(msgspec.Struct, frozen=True):
    """Loads of a new worker, as ratios to the load at which it collapses."""

    overloaded_runs: int  # runs with a ratio of 1.0 or more
    largest_load: float
    largest_load_without_advice: float


class CodecMetrics(msgspec.Struct, frozen=True):
    """Rates of the codecs: messages/s for small messages, members/s or hosts/s for large ones."""

    encode_per_s: int
    decode_per_s: int
    members_per_s_of_1000: int
    members_per_s_of_10000: int
    dfp_hosts_per_s_of_10000: int


class PushMetrics(msgspec.Struct, frozen=True):
    """Percentiles of the time from a change of the endpoint list to the push at a load balancer."""

    p50_ms: float
    p99_ms: float


class AdviceMetrics(msgspec.Struct, frozen=True):
    """The metrics that the benchmark prints."""

    scenarios: dict[str, ScenarioResult]
    warm_up: WarmUpMetrics
    codecs: CodecMetrics
    pushes: PushMetrics
    manager_mb_without: float
    manager_mb_with: float
    measured_on: str


def run_scenario(advisors: Sequence[month_end.Advisor]) -> ScenarioResult:
    """Runs the simulation with these advisors once for each seed, and returns the combined result."""
    named = {str(number): advisor for number, advisor in enumerate(advisors)}
    results = [MonthEndRun(named, seed=seed, load=LOAD).run(month_end.slow_two_workers) for seed in SEEDS]
    return ScenarioResult(
        served_share=round(mean(result.served_share for result in results), 4),
        worst_share=round(mean(result.worst_share for result in results), 3),
        proxies_without_worker=sum(result.proxies_without_worker for result in results),
    )


def new_worker_advisor(_elapsed_s: float, run: MonthEndRun) -> dict[int, AdvisoryWeight]:
    """Returns the largest weight for new workers, and a small one for the others."""
    return {
        index: AdvisoryWeight(month_end_advisors.MAX_ADVISORY_WEIGHT if worker.started_at else 1.0)
        for index, worker in run.workers.items()
    }


def add_new_worker(elapsed_s: float, run: MonthEndRun) -> None:
    """Starts a new worker at NEW_WORKER_START_S; an event function of the simulation."""
    if month_end.is_step_at(NEW_WORKER_START_S, elapsed_s):
        run.start_worker(NEW_WORKER_INDEX, 0, NEW_WORKER_SPEED, month_end.START_TIME_S + elapsed_s)


def warm_up_loads(advisors: dict[str, month_end.Advisor]) -> list[float]:
    """Returns the largest load of the new worker in the run of each seed."""
    runs = [MonthEndRun(advisors, seed=seed, duration_s=WARM_UP_RUN_S, load=LOAD) for seed in SEEDS]
    return [run.run(add_new_worker).max_warm_up_load for run in runs]


def measure_warm_up() -> WarmUpMetrics:
    """Measures the load of a new worker whose advised weight is far too large, and without advice."""
    advised = warm_up_loads({"a": new_worker_advisor})
    unadvised = warm_up_loads({})
    return WarmUpMetrics(
        overloaded_runs=sum(load >= 1.0 for load in advised),
        largest_load=round(max(advised), 3),
        largest_load_without_advice=round(max(unadvised), 3),
    )


def calls_per_s(call: Callable[[], object]) -> float:
    """Returns the rate at which a function can be called, in calls/s."""
    count = 0
    started_at = time.perf_counter()
    while time.perf_counter() - started_at < CALL_TIME_S:
        call()
        count += 1
    return count / (time.perf_counter() - started_at)


def sasp_weights(count: int) -> sasp.Message:
    """Returns a SASP message with the weights of `count` members."""
    entries = []
    for n in range(count):
        member = sasp.MemberData(TCP_PROTOCOL_NUMBER, n % 65536, IPv4Address(FIRST_ADDRESS + n), b"s-%d" % n)
        entries.append(sasp.WeightEntry(member, 0, 9, n % 65536))
    return sasp.Message(
        sasp.MessageType.SEND_WEIGHTS, 0, groups=(sasp.GroupOfEntries(GROUP, tuple(entries)),)
    )


def dfp_report(count: int) -> bytes:
    """Returns an encoded DFP report on `count` hosts."""
    hosts = tuple(dfp.HostPreference(IPv4Address(FIRST_ADDRESS + n), 0, n) for n in range(count))
    return dfp.encode_message(
        dfp.Message(dfp.MessageType.PREFERENCE_INFORMATION, (dfp.Load(80, TCP_PROTOCOL_NUMBER, hosts),))
    )


def measure_codecs() -> CodecMetrics:
    """Measures the codecs of SASP and DFP on small and large messages."""
    small = sasp_weights(10)
    small_bytes = sasp.encode_message(small)
    large_bytes = sasp.encode_message(sasp_weights(1000))
    largest_bytes = sasp.encode_message(sasp_weights(10_000))
    report = dfp_report(10_000)
    return CodecMetrics(
        encode_per_s=round(calls_per_s(lambda: sasp.encode_message(small))),
        decode_per_s=round(calls_per_s(lambda: sasp.decode_message(small_bytes))),
        members_per_s_of_1000=round(1000 * calls_per_s(lambda: sasp.decode_message(large_bytes))),
        members_per_s_of_10000=round(10_000 * calls_per_s(lambda: sasp.decode_message(largest_bytes))),
        dfp_hosts_per_s_of_10000=round(10_000 * calls_per_s(lambda: dfp.decode_message(report))),
    )


async def start_advice_server(
    stack: AsyncExitStack, discovery: SimulatedDiscovery, discovery_address: str
) -> int:
    """Starts a manager that serves advice over SASP; returns the port of its advice server."""
    server = {"protocol": "sasp", "listen": "127.0.0.1:0", "clients": BALANCER_COUNT + SPARE_BALANCERS}
    manager = ManagerProcess(discovery_address, discovery.endpoint_list(), None, {"serve": [server]})
    stack.push_async_callback(manager.stop)
    await manager.start_serving()
    line = await manager.wait_for_log("advice_server_started")
    return int(line.split("port=")[1].split()[0])


async def start_balancer(stack: AsyncExitStack, number: int, port: int) -> SaspBalancer:
    """Connects a load balancer that registers all workers and requests pushes of changes."""
    balancer = SaspBalancer(b"lb-%d" % number)
    await balancer.connect(port)
    stack.push_async_callback(balancer.close)
    flags = sasp.PUSH_FLAG | sasp.NO_CHANGE_NO_SEND_FLAG
    await balancer.ask(sasp.MessageType.SET_LB_STATE_REQUEST, lb_uid=balancer.uid, flags=flags)
    address = IPv4Address("127.0.0.9")
    members = [
        sasp.MemberData(TCP_PROTOCOL_NUMBER, 8000 + n, address, b"s-%d" % n) for n in range(PUSHED_WORKERS)
    ]
    await balancer.register(b"g", *members)
    return balancer


async def wait_for_push(balancer: SaspBalancer, is_draining: bool) -> float:
    """Waits for the push that the first worker drains, or is ready again; returns its time of arrival."""
    while True:
        message = await asyncio.wait_for(balancer.pushed.get(), PUSH_TIMEOUT_S)
        weights = weights_by_label(message)
        if b"s-0" in weights and (weights[b"s-0"].weight == 0) == is_draining:
            return time.perf_counter()


async def measure_pushes() -> PushMetrics:
    """Changes the endpoint list repeatedly, and measures the time until each load balancer gets the push."""
    async with AsyncExitStack() as stack:
        discovery, discovery_address = await start_discovery(stack)
        for n in range(PUSHED_WORKERS):
            await discovery.put(f"s-{n}", f"127.0.0.9:{8000 + n}", "a")
        port = await start_advice_server(stack, discovery, discovery_address)
        balancers = [await start_balancer(stack, number, port) for number in range(BALANCER_COUNT)]
        await asyncio.sleep(REGISTRATION_PUSHES_S)
        durations_ms: list[float] = []
        for number in range(PUSH_COUNT):
            is_draining = number % 2 == 0
            started_at = time.perf_counter()
            waits = [asyncio.create_task(wait_for_push(balancer, is_draining)) for balancer in balancers]
            await discovery.set_state("s-0", "Terminating" if is_draining else "Ready")
            arrivals = await asyncio.gather(*waits)
            durations_ms += [MS_PER_S * (arrived_at - started_at) for arrived_at in arrivals]
            await asyncio.sleep(PUSH_INTERVAL_S)
    return PushMetrics(
        p50_ms=round(percentile(durations_ms, 0.5), 1), p99_ms=round(percentile(durations_ms, 0.99), 1)
    )


async def peak_memory_mb(advice: dict[str, Any] | None) -> float:
    """Returns the peak resident set size of an idle manager."""
    async with AsyncExitStack() as stack:
        discovery, discovery_address = await start_discovery(stack)
        manager = ManagerProcess(discovery_address, discovery.endpoint_list(), None, advice)
        stack.push_async_callback(manager.stop)
        await manager.start_serving()
        await asyncio.sleep(IDLE_S)
        assert manager.process is not None
        status = Path(f"/proc/{manager.process.pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) / KB_PER_MB


def measure() -> AdviceMetrics:
    """Returns all metrics of the benchmark."""
    servers = [{"protocol": protocol, "listen": "127.0.0.1:0"} for protocol in ("sasp", "dfp")]
    return AdviceMetrics(
        scenarios={name: run_scenario(advisors) for name, advisors in SCENARIOS.items()},
        warm_up=measure_warm_up(),
        codecs=measure_codecs(),
        pushes=asyncio.run(measure_pushes()),
        manager_mb_without=round(asyncio.run(peak_memory_mb(None)), 1),
        manager_mb_with=round(asyncio.run(peak_memory_mb({"serve": servers})), 1),
        measured_on=f"simulated workers, seeds {SEEDS}; loopback, one machine of {os.cpu_count()} cores",
    )


def main() -> None:
    """Runs the command line."""
    arguments = argument_parser(__doc__).parse_args()
    print_metrics(measure(), arguments.json)


if __name__ == "__main__":
    main()
