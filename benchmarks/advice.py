"""Weight advice: what it gains and what a lie costs, the codecs' pace, pushes, memory.

    python -m benchmarks.advice --json

The month's end is played in simulated time on the module itself (`cottonladder.testbed.month_end`), seeded;
the rest runs on loopback.  `served_*`: share of reqs within target; each scenario beside none, same seeds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

from cottonladder.planning.advice_weighting import AdvisoryWeight
from cottonladder.testbed import month_end as me
from cottonladder.testbed.advisors import SaspBalancer, weights_by_label
from cottonladder.testbed.discovery import SimulatedDiscovery
from cottonladder.testbed.fleet import ManagerProcess
from cottonladder.weight_advice import dfp, sasp

SEEDS, LOAD = (7, 8, 9, 10), 0.85
BALANCERS, PUSHES = 200, 8
GROUP = sasp.GroupData(b"lb", b"workers")


def served(*advisors: me.Advisor) -> tuple[float, float, int]:
    """Share served and that of the worst 10 s, both over the seeds, and looks without a usable line."""
    named = {str(n): say for n, say in enumerate(advisors)}
    days = [me.MonthEndRun(named, seed=seed, load=LOAD).run(me.slow_two_workers) for seed in SEEDS]
    share = sum(d.served_share for d in days) / len(days)
    return share, sum(d.worst_share for d in days) / len(days), sum(d.proxies_without_worker for d in days)


def cold() -> tuple[int, float, float]:
    """Days on which a fresh worker that the advisor ranks far above all others was brought what would push it
    over; the most that it was brought, of that; and the same without advice."""

    def flatters(now: float, day: me.MonthEndRun) -> dict[int, AdvisoryWeight]:
        return {be: AdvisoryWeight(65535.0 if box.started_at else 1.0) for be, box in day.workers.items()}

    def fresh(now: float, day: me.MonthEndRun) -> None:
        if abs(now - 20.0) < me.STEP_S / 2:
            day.start_worker(20, 0, 1.5, 1000.0 + now)

    told = [
        me.MonthEndRun({"a": flatters}, seed=s, duration_s=45.0, load=LOAD).run(fresh).worst_warm_up_load
        for s in SEEDS
    ]
    plain = [
        me.MonthEndRun({}, seed=s, duration_s=45.0, load=LOAD).run(fresh).worst_warm_up_load for s in SEEDS
    ]
    return sum(over >= 1.0 for over in told), max(told), max(plain)


def pace(call: Callable[[], object], seconds: float = 0.7) -> float:
    """Calls a second."""
    count, begun = 0, time.perf_counter()
    while time.perf_counter() - begun < seconds:
        call()
        count += 1
    return count / (time.perf_counter() - begun)


def codecs() -> dict[str, float]:
    """Small messages a second, and members a second in large ones."""
    rows = [
        sasp.WeightEntry(
            sasp.MemberData(6, n % 65536, IPv4Address(0x0A000000 + n), b"s-%d" % n), 0, 9, n % 65536
        )
        for n in range(10_000)
    ]
    small, large = (
        sasp.Message(sasp.SEND_WEIGHTS, 0, groups=(sasp.GroupOfEntries(GROUP, tuple(rows[:n])),))
        for n in (10, 1000)
    )
    whole = sasp.Message(sasp.SEND_WEIGHTS, 0, groups=(sasp.GroupOfEntries(GROUP, tuple(rows)),))
    bytes_of = {id(m): sasp.encode_message(m) for m in (small, large, whole)}
    hosts = tuple(dfp.HostPreference(IPv4Address(0x0A000000 + n), 0, n) for n in range(10_000))
    report = dfp.encode_message(dfp.Message(dfp.PREFERENCE_INFORMATION, (dfp.Load(80, 6, hosts),)))
    return {
        "encode_per_s": pace(lambda: sasp.encode_message(small)),
        "decode_per_s": pace(lambda: sasp.decode_message(bytes_of[id(small)])),
        "members_per_s_1000": 1000 * pace(lambda: sasp.decode_message(bytes_of[id(large)])),
        "members_per_s_10000": 10_000 * pace(lambda: sasp.decode_message(bytes_of[id(whole)])),
        "dfp_hosts_per_s_10000": 10_000 * pace(lambda: dfp.decode_message(report)),
    }


async def pushes() -> dict[str, float]:
    """From the list's change to its arrival at each of two hundred balancers."""
    async with AsyncExitStack() as stack:
        discovery = SimulatedDiscovery()
        at = await discovery.start()
        stack.push_async_callback(discovery.close)
        for n in range(20):
            await discovery.put(f"s-{n}", f"127.0.0.9:{8000 + n}", "a")
        serve = [{"protocol": "sasp", "listen": "127.0.0.1:0", "clients": BALANCERS + 8}]
        manager = ManagerProcess(at, discovery.listing(), None, {"serve": serve})
        stack.push_async_callback(manager.stop)
        await manager.serving()
        port = int((await manager.logged("advice served")).split("port=")[1])
        members = [sasp.MemberData(6, 8000 + n, IPv4Address("127.0.0.9"), b"s-%d" % n) for n in range(20)]
        balancers = [SaspBalancer(b"lb-%d" % n) for n in range(BALANCERS)]
        for balancer in balancers:
            await balancer.connect(port)
            stack.push_async_callback(balancer.close)
            await balancer.ask(
                sasp.SET_LB_STATE_REQUEST,
                lb_uid=balancer.uid,
                flags=sasp.PUSH_FLAG | sasp.NO_CHANGE_NO_SEND_FLAG,
            )
            await balancer.register(b"g", *members)
        await asyncio.sleep(3.0)
        took: list[float] = []

        async def wait(balancer: SaspBalancer, begun: float, zero: bool) -> None:
            while True:
                told = weights_by_label(await asyncio.wait_for(balancer.pushed.get(), 20.0))
                if b"s-0" in told and (told[b"s-0"].weight == 0) == zero:
                    took.append((time.perf_counter() - begun) * 1000.0)
                    return

        for n in range(PUSHES):
            zero = n % 2 == 0
            begun = time.perf_counter()
            waits = [asyncio.create_task(wait(balancer, begun, zero)) for balancer in balancers]
            await discovery.set_state("s-0", "Terminating" if zero else "Ready")
            await asyncio.gather(*waits)
            await asyncio.sleep(2.5)
        took.sort()
        return {"push_p50_ms": took[len(took) // 2], "push_p99_ms": took[int(len(took) * 0.99)]}


async def memory(advice: dict[str, Any] | None) -> float:
    """MB at the most of a manager at rest."""
    discovery = SimulatedDiscovery()
    at = await discovery.start()
    manager = ManagerProcess(at, discovery.listing(), None, advice)
    await manager.serving()
    await asyncio.sleep(2.5)
    assert manager.process is not None
    status = Path(f"/proc/{manager.process.pid}/status").read_text()
    await manager.stop()
    await discovery.close()
    return int(status.split("VmHWM:")[1].split()[0]) / 1024


def measure() -> dict[str, Any]:
    scenes = {
        "none": (),
        "honest": (me.honest_advisor,),
        "lying": (me.lying_advisor,),
        "stalled": (me.stalling_advisor,),
        "random": (me.random_advisor,),
        "all_0": (me.zero_advisor,),
        "all_most": (me.maximum_advisor,),
        "stalls_then_lies": (me.stalling_then_lying_advisor,),
        "two_differ": (me.honest_advisor, me.lying_advisor),
    }
    out: dict[str, Any] = {}
    bare = 0
    for name, advisors in scenes.items():
        share, worst, without = served(*advisors)
        out[f"served_{name}"], out[f"worst_10s_{name}"] = round(share, 4), round(worst, 3)
        bare += without
    over, most, plain = cold()
    out |= {"cold_over_budget": over, "cold_most_of_fall": round(most, 3), "cold_most_none": round(plain, 3)}
    out["bare_proxies"] = bare
    out |= {key: round(value) for key, value in codecs().items()}
    out |= {key: round(value, 1) for key, value in asyncio.run(pushes()).items()}
    on = {"serve": [{"protocol": p, "listen": "127.0.0.1:0"} for p in ("sasp", "dfp")]}
    out["manager_mb_off"] = round(asyncio.run(memory(None)), 1)
    out["manager_mb_on"] = round(asyncio.run(memory(on)), 1)
    out["of"] = (
        f"simulated workers, seeds {SEEDS}; sockets on loopback, one machine of {os.cpu_count()} cores"
    )
    return out


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    figures = measure()
    if asked.json:
        print(json.dumps(figures))
        return
    for key, value in figures.items():
        print(f"{key:26} {value}")


if __name__ == "__main__":
    main()
