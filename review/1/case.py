"""Case 1: a rolling deploy at a site whose discovery is automatic, with two managers on sockets."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.platform import (
    HOST,
    Collector,
    Discovery,
    Program,
    Proxy,
    Record,
    Run,
    Worker,
    deploy_command,
    free_port,
    start_program,
    wait_until_ready,
)
from review.standins.traffic import Traffic

HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ["nasr-city", "maadi", "dokki"]
CLASSES = ["lookup", "booking"]
WORKER_COUNT = 15
PROXY_COUNT = 6
BATCH = 2  # workers replaced at a time: 2 of 15 are 13%, and the site allows 7.6 to 19%
BATCH_INTERVAL_S = 4.0
BATCH_COUNT = 7  # 14 of 15 workers are 93% in 28 s; the site allows up to 93% in 23 to 39 s
DRAIN_S = 4.0  # from the list's `Terminating` to the end of the process; the site has 2.8 to 5.7 s
DRAIN_GRACE_S = 1.5
SOCKET_SLACK_S = 0.3  # "300 ms longer"
TOLD_AFTER_S = 6.0  # "counts as told no later than 6 s afterwards"
FIRST_S = 1.0  # limits start no earlier than 1 s after the first answer
QUIET_S = 4.0
TAIL_S = 12.0


def settings(index: int) -> dict[str, object]:
    """Returns the settings of one manager, in the form of the interface's page."""
    return {
        "Az": ZONES[index],
        "Discovery": os.environ.get("DISCOVERY", "automatic"),
        "DomainType": "control",
        "FamilyInfo": {
            "BareMs": 5000.0, "BaseMode": 0, "Bootstrap": 5, "ByZone": True, "EgressPerS": 3500.0,
            "Head": 10.0, "HearsPerS": 100.0, "KeyRanges": 0, "LateMs": 300.0, "LbMethod": "wheel",
            "LineFee": 0.02, "MovePrice": 0.01, "ParkMs": 300.0, "PendingMax": 7000.0,
            "Proxies": PROXY_COUNT, "PushDelayMaxMs": 600.0, "ReloadSpanMs": 10000.0, "ReloadsMax": 12,
            "ReportEveryMs": 500.0, "SettleMs": 20.0, "SingleWriter": False, "SocketsMin": 300.0,
            "Strikes": 0, "ThrottleBy": "rps", "TryAims": 1.2, "WarmKeys": True,
            "WriteClasses": [False, True], "WriteLeaseMs": 2500.0, "ZoneBound": [False, False],
        },
        "Kinds": ["m"],
        "Limits": {"ConnIdleMs": 15000.0, "ConnectTimeoutMs": 250.0, "CpuUsPerS": 600000, "MaxStreams": 32,
                   "Peers": True, "Probing": False},
        "Me": index,
        "NInstances": 2,
        "PeriodMs": 2.0,
        "Prices": {"Connection": 0.02, "CrossZone": 0.01, "Handshake": 0.04, "LateFail": 0.05, "Waste": 0.03},
        "Profiles": [
            {"Name": "lookup", "TargetMs": 750.0, "DeadlineMs": 2500.0, "Gain": 1.0, "LateWorth": 0.1,
             "Repeat": "idempotent"},
            {"Name": "booking", "TargetMs": 1000.0, "DeadlineMs": 2500.0, "Gain": 5.0, "LateWorth": 0.1,
             "Repeat": "deduplicated", "DedupScope": "all", "WindowMs": 5000.0},
        ],
        "Rules": {"AskWithinMs": 10000.0, "ColdFrom": 0.18, "DrainGraceMs": DRAIN_GRACE_S * 1000,
                  "FallMs": 1500.0, "FallMultiple": 2.5, "WarmAfterMs": 13000.0},
        "Stats": {"Fields": ["util"], "Via": "answers"},
        "WeightSource": "rough",
        "Zones": ZONES,
    }  # fmt: skip


class Case:
    """The parts of the case, from its start to its verdict."""

    def __init__(self, folder: Path, temporary: Path, has_trouble: bool) -> None:
        self.record = Record(folder / "record.txt")
        self.temporary = temporary
        self.has_trouble = has_trouble
        self.rng = random.Random(1)
        self.discovery = Discovery(self.record)
        self.workers: dict[str, Worker] = {}
        self.runs: list[Run] = []
        self.programs: list[Program] = []
        self.left_at: dict[str, float] = {}  # when discovery had it to tell that a worker drains
        self.ready_at = 0.0
        self.listings: list[asyncio.Future[None]] = []

    async def add_worker(self, worker_id: str, zone: str, started_ms: int) -> None:
        """Starts a worker and lists it."""
        worker = Worker(worker_id, zone, self.record, self.runs)
        await worker.start()
        self.workers[worker_id] = worker
        await self.discovery.put(worker_id, worker.address, zone, "Ready", started_ms)

    async def start_manager(self, index: int, listen: list[str], peers: list[str]) -> None:
        """Starts one manager by the deploy file's command `run`."""
        config = {
            "name": f"n{index}", "listen": listen[index], "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": peers[index], "peers": peers[:2], "peers_all": peers[2],
            "known": self.discovery.full(), "settings": settings(index),
        }  # fmt: skip
        path = self.temporary / f"n{index}.json"
        path.write_text(json.dumps(config))
        environment = {
            "ROUTER_CONFIG": str(path),
            "ROUTER_NAME": f"n{index}",
            "ROUTER_LISTEN": listen[index],
            "ROUTER_DISCOVERY": self.discovery.address,
        }
        program = await start_program(deploy_command("run"), environment, self.temporary / f"n{index}.log")
        self.programs.append(program)

    async def deploy(self) -> None:
        """Replaces workers in steps, as the site's rolling deploy does."""
        old = list(self.workers)
        for batch in range(BATCH_COUNT):
            names = old[batch * BATCH : batch * BATCH + BATCH]
            for name in names:
                worker = self.workers[name]
                self.left_at[name] = time.monotonic()
                await self.discovery.put(name, worker.address, worker.zone, "Terminating")
                successor = f"{name}-b"
                await self.add_worker(successor, worker.zone, int(time.time() * 1000))
            asyncio.get_running_loop().call_later(DRAIN_S, self.end_workers, names)
            await asyncio.sleep(BATCH_INTERVAL_S)

    def end_workers(self, names: list[str]) -> None:
        """Ends drained workers; discovery lists them as gone."""
        for name in names:
            worker = self.workers[name]
            worker.stop()
            listing = self.discovery.put(name, worker.address, worker.zone, "Gone")
            self.listings.append(asyncio.ensure_future(listing))

    async def run(self) -> int:
        """Plays the case and returns its status."""
        await self.discovery.start()
        for number in range(WORKER_COUNT):
            await self.add_worker(f"s-{number:02d}", ZONES[number % len(ZONES)], 0)
        listen = [f"{HOST}:{free_port()}" for _ in range(2)]
        peers = [f"{HOST}:{free_port()}" for _ in range(3)]  # the last one, for all, is answered by nobody
        for index in range(2):
            await self.start_manager(index, listen, peers)
        for index, program in enumerate(self.programs):
            if not await wait_until_ready(listen[index], program.process):
                print(program.log.read_text())
                return NOT_RUN
        self.ready_at = time.monotonic()
        self.record.write("managers: ready")
        return await self.play(listen)

    async def play(self, listen: list[str]) -> int:
        """Plays the traffic and the deploy."""
        proxies = [
            Proxy(node, ZONES[node % len(ZONES)], CLASSES, self.discovery, self.record, self.rng)
            for node in range(PROXY_COUNT)
        ]
        collectors = [Collector(zone) for zone in ZONES for _ in range(2)]
        background = [
            asyncio.ensure_future(proxy.run(listen[proxy.node * 2 // PROXY_COUNT])) for proxy in proxies
        ]
        background += [
            asyncio.ensure_future(collector.run(listen[number % 2]))
            for number, collector in enumerate(collectors)
        ]
        traffic = Traffic(
            proxies, collectors, self.discovery, self.record, self.rng, CLASSES,
            requests_per_s=20.0, period_s=0.5, timeout_s=1.0, metrics="util:0.4",
        )  # fmt: skip
        await asyncio.sleep(1.0)
        traffic.addresses = {name: worker.address for name, worker in self.workers.items()}
        playing = asyncio.ensure_future(traffic.run())
        await asyncio.sleep(QUIET_S)
        deploying = asyncio.ensure_future(self.deploy() if self.has_trouble else asyncio.sleep(28.0))
        while not deploying.done():
            traffic.addresses |= {name: worker.address for name, worker in self.workers.items()}
            await asyncio.sleep(0.05)
        await deploying
        await asyncio.sleep(TAIL_S)
        traffic.ends_at = time.monotonic()
        await playing
        for task in background:
            task.cancel()
        return self.judge(traffic)

    def judge(self, traffic: Traffic) -> int:
        """Checks the rule: nothing is sent to a worker later than the grace after the manager was told."""
        if any(program.process.returncode is not None for program in self.programs):
            print("a manager ended")
            return BROKEN
        limit_s = TOLD_AFTER_S + DRAIN_GRACE_S + SOCKET_SLACK_S
        late = [
            attempt
            for attempt in traffic.attempts
            if attempt.worker_id in self.left_at
            and attempt.at > max(self.left_at[attempt.worker_id], self.ready_at + FIRST_S) + limit_s
        ]
        for attempt in late:
            after_s = attempt.at - self.left_at[attempt.worker_id]
            self.record.write(
                f"LATE: {attempt.request_id} of proxy {attempt.proxy} to {attempt.worker_id},"
                f" {after_s:.1f} s after it was listed as Terminating: {attempt.outcome}"
            )
        lines = [
            f"calls to discovery by both managers: {len(self.discovery.calls)}",
            f"attempts: {len(traffic.attempts)}, outcomes of requests: {traffic.outcomes}",
            f"sent to a draining or gone worker over {limit_s:g} s after it was to be told: {len(late)},"
            f" of them not served: {sum(attempt.outcome != 'ok' for attempt in late)}",
        ]
        for line in lines:
            print(line)
            self.record.write(line)
        return BROKEN if late else HELD

    async def close(self) -> None:
        """Ends everything that the case started."""
        for program in self.programs:
            program.kill()
            await program.process.wait()
        for worker in self.workers.values():
            worker.stop()
        self.discovery.close()
        self.record.close()


async def main() -> int:
    """Runs the case in a temporary folder."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as temporary:
        case = Case(Path(__file__).resolve().parent, Path(temporary), has_trouble)
        try:
            return await case.run()
        finally:
            await case.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
