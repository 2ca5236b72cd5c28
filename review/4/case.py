"""A drain that waits because one proxy's messages are used up, in a rolling deploy with a planned restart.

One manager steers `PROXIES` proxies, to each of which it may write `MESSAGES` messages in 10 s.  A rolling
deploy replaces the workers one after another, and during it the manager is restarted by SIGTERM.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Coroutine
from typing import Any

from review.rig.discovery import Discovery
from review.rig.processes import Program, free_port, manager_config, start_manager
from review.rig.proxies import Fleet, Proxy, collect
from review.rig.resp2 import encode, read_message
from review.rig.runner import Case, CaseNotRunError, main
from review.rig.tcp_workers import TcpWorker

GRACE_S = 1.5  # DrainGraceMs of the manager's settings
SLACK_S = 0.3  # on sockets, the time limit on drains is 300 ms longer
FIRST_ANSWER_S = 1.0  # the limits start so long after the manager first answered
PROXIES = 8
WORKERS = 24
REPLACED = 22  # 92% of the workers, in 23.3 s
DRAIN_STEP_S = 1.06
SUCCESSOR_AFTER_S = 1.0  # a successor starts so long after a drain began
GONE_AFTER_S = 4.0  # so at most four workers, 17%, drain at a time
RESTART_AFTER_S = 10.0  # from the beginning of the deploy
REQUESTS_PER_S = 20.0  # of one proxy
TRAVEL_S = 0.16  # a message takes so long to a proxy
REDIAL_S = (0.16, 2.3)
MESSAGES = 12
WINDOW_S = 10.0
CORES = 3
SETTLE_S = 8.0

SETTINGS: dict[str, dict[str, object]] = {
    "FamilyInfo": {
        "Proxies": PROXIES, "EgressPerS": 3000.0, "Head": 10.0, "PendingMax": 6000.0, "ThrottleBy": "rps",
        "Strikes": 0, "ReloadsMax": MESSAGES, "ReloadSpanMs": WINDOW_S * 1000,
    },
    "Rules": {
        "ColdFrom": 0.18, "FallMultiple": 2.5, "FallMs": 1500.0, "WarmAfterMs": 13000.0,
        "AskWithinMs": 10000.0, "DrainGraceMs": GRACE_S * 1000,
    },
    "Stats": {"Via": "answers", "Fields": ["util"]},
}  # fmt: skip


class Deployment:
    """The manager's process, discovery, the workers and the proxies."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.discovery = Discovery(case)
        self.workers: dict[str, TcpWorker] = {}
        self.port = free_port()
        self.fleet = Fleet(case, self.workers, self.port, ("fetch", "release"), self.rng)
        self.proxies = [Proxy(self.fleet, node, REQUESTS_PER_S, TRAVEL_S) for node in range(PROXIES)]
        self.manager: Program | None = None
        self.answered_at: list[float] = []  # when each process of the manager first answered
        self._address = ""
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts everything, and waits until it has settled."""
        self._address = await self.discovery.listen("manager")
        for number in range(WORKERS):
            await self.add_worker(f"s-{number}", is_new=False)
        await self.start_manager()
        for proxy in self.proxies:
            proxy.start_with(self.rng.sample(list(self.workers), 5))
            self._spawn(proxy.keep_stream(REDIAL_S))
            self._spawn(proxy.send_requests())
        self._spawn(collect(self.fleet, CORES))
        await asyncio.sleep(SETTLE_S)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def stop(self) -> None:
        """Ends the proxies and the collector."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def add_worker(self, name: str, is_new: bool) -> None:
        """Starts a worker and lists it."""
        worker = TcpWorker(self.case, name, self.rng)
        await worker.start()
        self.workers[name] = worker
        await self.discovery.put(name, worker.address, is_new=is_new)

    async def start_manager(self) -> None:
        """Starts the manager, from the list as it last had it."""
        config = manager_config(self.port, self._address, self.discovery.whole_list(), **SETTINGS)
        self.manager = await start_manager(self.case, config, name=f"manager-{len(self.answered_at)}")
        await wait_for_answer(self.port)
        self.answered_at.append(self.case.now)
        self.case.record("the manager has answered PING")

    async def replace(self, number: int) -> None:
        """Drains a worker; its successor starts cold, and then the worker is gone."""
        await self.discovery.set_state(f"s-{number}", "Terminating")
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        await self.add_worker(f"s-{WORKERS + number}", is_new=True)
        await asyncio.sleep(GONE_AFTER_S - SUCCESSOR_AFTER_S)
        await self.discovery.set_state(f"s-{number}", "Gone")

    async def restart_manager(self) -> None:
        """Restarts the manager as planned: SIGTERM, and then the same command."""
        assert self.manager is not None
        await asyncio.sleep(RESTART_AFTER_S)
        self.case.record("the manager gets SIGTERM")
        await self.manager.stop()
        await self.start_manager()


async def wait_for_answer(port: int) -> None:
    """Waits until a manager answers PING."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(encode("PING"))
    if await read_message(reader) != ["PONG"]:
        raise CaseNotRunError("the manager did not answer PING")
    writer.close()


def late_requests(deployment: Deployment, number: int) -> list[tuple[float, float, int]]:
    """Returns the late requests of joined proxies to a draining worker: time, lateness and proxy."""
    name = f"s-{number}"
    told_at = deployment.discovery.told_at.get(("manager", name, "Terminating"))
    if told_at is None:
        return []
    late: list[tuple[float, float, int]] = []
    for arrived_at, node in deployment.workers[name].arrivals:
        stream = deployment.proxies[node].stream_at(arrived_at)
        if stream is None:
            continue
        answered_at = max(time for time in deployment.answered_at if time <= arrived_at)
        began_at = max(told_at, stream.joined_at, answered_at + FIRST_ANSWER_S)
        if arrived_at > began_at + GRACE_S + SLACK_S:
            late.append((arrived_at, arrived_at - began_at, node))
    return late


async def play(case: Case) -> list[str]:
    """Plays the case and returns what broke the rule."""
    deployment = Deployment(case, int(os.environ.get("SEED", "1")))
    await deployment.start()
    replacements: list[asyncio.Task[None]] = []
    restart = asyncio.create_task(deployment.restart_manager()) if case.has_trouble else None
    for number in range(REPLACED):
        replacements.append(asyncio.create_task(deployment.replace(number)))
        await asyncio.sleep(DRAIN_STEP_S)
    await asyncio.gather(*replacements)
    if restart is not None:
        await restart
    await asyncio.sleep(2.0)
    await deployment.stop()
    breaches: list[str] = []
    for number in range(REPLACED):
        late = late_requests(deployment, number)
        if late:
            breaches.append(
                f"drain: {len(late)} requests of {len({node for _, _, node in late})} joined proxies reached "
                f"s-{number} later than {GRACE_S:g} s and {SLACK_S:g} s of slack after the manager was told, "
                f"the last of them after {max(lateness for _, lateness, _ in late):.2f} s"
            )
    for proxy in deployment.proxies:
        times = ", ".join(f"{time:.2f}" for time in proxy.messages)
        case.record(
            f"proxy {proxy.node}: {proxy.bare_requests} requests without a worker; messages at {times}"
        )
    total = sum(len(worker.arrivals) for worker in deployment.workers.values())
    case.record(f"requests that reached workers: {total}")
    return breaches


if __name__ == "__main__":
    main(__file__, play)
