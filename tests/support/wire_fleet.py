"""One manager from bytes to bytes: its control loop, dispatcher and extensions, without a socket or a clock.

What comes in is RESP2, discovery's JSON and datagrams; what goes out is taken down as bytes, message by
message, so that a recorded run stands whatever the program's types are called.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import tempfile
import zlib
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, cast
from unittest import mock

from cottonladder.config.operator_config import UpgradesConfig
from cottonladder.control.background_scheduler import BackgroundScheduler
from cottonladder.control.connection_migrator import ConnectionMigrator
from cottonladder.control.control_loop import ControlLoop, Effects
from cottonladder.control.input_queue import InputQueue
from cottonladder.control.snapshot_manager import SnapshotManager
from cottonladder.control.startup_config import read_startup_config
from cottonladder.control.state_change_log import StateChangeLog
from cottonladder.model.inputs import (
    AdvisedFactor,
    EndpointList,
    GossipReceived,
    HealthCheckResult,
    Input,
    ListUpdateKind,
    ProxyDisconnected,
    TimerFired,
)
from cottonladder.model.orders import StartTimer
from cottonladder.policy.controller import RoutingController
from cottonladder.protocol.endpoint_list import read_endpoint_list
from cottonladder.protocol.messages import ExtensionMessage, MessageReader
from cottonladder.state.order_dispatcher import OrderDispatcher
from cottonladder.state.proxy_sessions import ProxySessions
from tests.support.simulated_day_settings import simulator_settings

START = 1_700_000_000.0  # Unix s
SNAPSHOT_AGE = 9.0  # s between a life's last snapshot and the next life
SNAPSHOT_HEAD = 44  # bytes before a snapshot file's compressed body
ZONES = ("east", "west", "north")


class TakenDown:
    """The outside of a control loop: whatever it does is a line of the digest."""

    def __init__(self) -> None:
        self.digest = hashlib.sha256()
        self.counts: dict[str, int] = defaultdict(int)
        self.sent: list[tuple[int, bytes]] = []

    def note(self, name: str, data: bytes) -> None:
        self.counts[name] += 1
        self.digest.update(b"%b %d\n%b\n" % (name.encode(), len(data), data))

    # as the control loop calls those who carry its orders out

    def set_watching(self, on: bool) -> None:
        self.note("watch", b"%d" % on)

    def fetch(self) -> None:
        self.note("poll", b"")

    def send(self, proxy: int, data: bytes) -> None:
        self.sent.append((proxy, data))
        self.note(f"proxy {proxy}", data)

    def start_check(self, worker: int) -> None:
        self.note("health check", b"%d" % worker)

    def send_datagram(self, whom: int, text: str) -> None:
        self.note(f"datagram {whom}", text.encode())


class SteppedClock:
    def __init__(self) -> None:
        self.at = START

    def now(self) -> float:
        return self.at


class SteppedOwner(ControlLoop):
    """Timers are the caller's: `token` is what the next one brings."""

    token = 0

    def _start_timer(self, order: StartTimer) -> None:
        self.token = order.token


class KeptTasks:
    """In the scheduler's place: keeps the work, which the caller runs."""

    def __init__(self) -> None:
        self.work: dict[str, Callable[[], Iterator[Awaitable[Any] | None]]] = {}

    def add(self, plan: Any, work: Callable[[], Iterator[Awaitable[Any] | None]]) -> None:
        self.work[plan.name] = work


def configuration() -> dict[str, Any]:
    """A manager's file with its own zones; the list in it is an old one."""
    changes: dict[str, Any] = {"FamilyInfo__Strikes": 2, "FamilyInfo__Proxies": 12}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": listing(1, range(6), True),
        "settings": {**simulator_settings(**changes), "Me": 0},
        "peer_listen": "127.0.0.1:0",
        "peers": ["127.0.0.1:1", "127.0.0.1:2"],
        "peers_all": "127.0.0.1:3",
    }


def listing(version: int, workers: Any, full: bool, **changes: Any) -> dict[str, Any]:
    """A list of discovery; `changes` by a worker's name, `s_3={"state": "Gone"}`."""
    servers = [
        {
            "id": f"s-{n}",
            "addr": f"127.0.0.1:{3000 + n}",
            "zone": ZONES[n % 3],
            "state": "Ready",
            "weight": 1.0 + n % 2,
            "started_ms": 0,
            **changes.get(f"s_{n}", {}),
        }
        for n in workers
    ]
    return {"version": version, "full": full, "servers": servers}


def words(text: str) -> list[bytes]:
    return text.encode().split()


class WireManager:
    """A manager with connection migration and snapshots; `folder` is where the latter stand."""

    def __init__(self, folder: str, seed: int) -> None:
        self.random = random.Random(seed)
        self.outside = TakenDown()
        self.tasks = KeptTasks()
        with tempfile.TemporaryDirectory() as place:
            path = Path(place) / "config.json"
            path.write_text(json.dumps(configuration()))
            placement = read_startup_config(str(path))
        self.site = placement.settings
        self.workers = placement.workers
        self.messages = MessageReader(self.site, self.workers.find_index)
        self.keeper = SnapshotManager(folder, 2.0, placement, cast(BackgroundScheduler, self.tasks))
        upgrades = UpgradesConfig(grace=8.0, most=500, arrivals=40.0, load=0.05)
        mover = ConnectionMigrator(self.site, upgrades, self.workers, self.messages)
        outside = cast(Any, self.outside)
        self.owner = SteppedOwner(
            RoutingController(self.site.parameters),
            InputQueue(),
            cast(ProxySessions, self.outside),
            OrderDispatcher(list(self.site.classes), self.site.parameters.manager_count, self.workers),
            Effects(outside, outside, outside),
            StateChangeLog(self.workers, list(self.site.zones)),
            [self.keeper, mover],
        )
        self.clock = SteppedClock()
        self.owner._clock = cast(Any, self.clock)
        self.held: dict[int, dict[int, list[int]]] = defaultdict(dict)  # connections by proxy and worker
        self.list_version = 1
        self.batch: list[Input | ExtensionMessage] = [self.keeper.starting_list.endpoints]

    async def start(self, stack: AsyncExitStack) -> None:
        await self.keeper.start(stack)
        self.step()

    def step(self) -> None:
        batch, self.batch = self.batch, []
        self.owner.step(batch)

    def hear(self, text: str, proxy: int = -1) -> None:
        """A message of a proxy or a collector, as its words."""
        said = self.messages.read(words(text))
        if isinstance(said, ExtensionMessage):
            said = ExtensionMessage(said.body, proxy)
        self.batch.append(cast(Input, said))

    def list_says(self, workers: Any, full: bool = False, **changes: Any) -> None:
        self.list_version += 1
        body = listing(self.list_version, workers, full, **changes)
        _, found = read_endpoint_list(body, self.site, self.workers.register, "list")
        self.batch.append(found)

    def join(self, proxy: int) -> None:
        cold = self.random.randrange(2)
        rate = 3.0 * (proxy + 1)
        self.hear(f"SUBSCRIBE node {proxy} locality {ZONES[proxy % 3]} w {rate} cold {cold}")
        if proxy % 2:
            self.hear(f"UPGRADES node {proxy} version 1", proxy)

    def leave(self, proxy: int) -> None:
        self.batch.append(ProxyDisconnected(proxy))
        self.held.pop(proxy, None)

    def reports(self, second: int) -> None:
        rnd = self.random
        for worker in self.workers.ids.values():
            if worker == b"s-4" and 8 <= second < 14:
                total, errors = 20, 19
            else:
                total, errors = rnd.randrange(30), rnd.randrange(2)
            tally = f"LOAD locality {rnd.choice(ZONES)} endpoint {worker.decode()} total {max(total, errors)}"
            load = rnd.uniform(0.2, 0.9) if second < 24 else rnd.uniform(1.0, 1.5)
            rtt = rnd.uniform(40.0, 90.0) * (1.0 if second < 24 else 15.0)
            self.hear(f"{tally} errors {errors} rtt {rtt:.1f} interval 1000.0 metrics util:{load:.3f}")
        for proxy in range(12):
            route = rnd.choice(["fetch", "release", "audit"])
            self.hear(f"RATE node {proxy} route {route} total {rnd.randrange(40)} errors 0 interval 1000.0")
        for index in list(self.workers.ids):
            done = rnd.random() > 0.05
            self.batch.append(
                HealthCheckResult(index, done, 0.05, {"inflight": float(rnd.randrange(9))} if done else {})
            )
        first = rnd.randrange(9)
        self.batch.append(GossipReceived(1, f"{first} {first * 7.5} 2 20.0 1 8.0"))

    def held_connections(self) -> None:
        for proxy in (1, 3, 5):
            rows = self.held[proxy]
            for index, worker in self.workers.ids.items():
                if index not in rows and self.random.random() < 0.3:
                    rows[index] = [self.random.randrange(5, 60), 2, 3]
                if index in rows:
                    self.held_row(proxy, worker, rows[index])

    def held_row(self, proxy: int, worker: bytes, row: list[int]) -> None:
        figures = ":".join(map(str, row))
        self.hear(f"HELD node {proxy} whole 0 holds {worker.decode()}:{figures}", proxy)

    def answers(self) -> None:
        """Marks are acknowledged by most proxies, moves carried out by all."""
        sent, self.outside.sent = self.outside.sent, []
        for proxy, data in sent:
            fields = data.split(b"\r\n")
            if b"stamp" in fields and self.random.random() < 0.85:
                mark = fields[fields.index(b"stamp") + 2].decode()
                self.hear(f"ACK node {proxy} nonce {mark} latency 120.0")
            if b"move" in fields and b"count" in fields:
                number = fields[fields.index(b"move") + 2].decode()
                count = fields[fields.index(b"count") + 2].decode()
                self.hear(f"MOVED node {proxy} move {number} done {count} failed 0", proxy)

    def advise(self) -> None:
        for index in list(self.workers.ids)[::2]:
            factor = self.random.choice([0.4, 0.8, 1.0, 1.5, 3.0])
            self.batch.append(AdvisedFactor(index, factor, self.random.randrange(2)))

    def happenings(self, second: int) -> None:
        if second == 5:
            self.list_says(range(9), True)
        elif second == 10:
            self.list_says([2, 5], s_2={"state": "Terminating"}, s_5={"state": "Terminating"})
        elif second == 16:
            started = (self.clock.at - 2.0) * 1000.0
            self.list_says([2, 5, 9], s_2={"state": "Gone"}, s_9={"started_ms": started})
        elif second == 20:
            for proxy in (1, 4, 7):
                self.leave(proxy)
            self.join(1)
        elif second == 22:
            self.batch.append(EndpointList(ListUpdateKind.FAILED, ()))
        if second in (7, 13, 21):
            self.advise()

    async def play(self, seconds: int) -> None:
        for tick in range(seconds * 4):
            self.clock.at += 0.25
            self.answers()
            if tick < 12:
                self.join(tick)
            if tick % 4 == 0:
                self.reports(tick // 4)
                self.held_connections()
                self.happenings(tick // 4)
            self.batch.append(TimerFired(self.owner.token))
            self.step()
        await self.snapshot()

    async def snapshot(self) -> None:
        for work in self.tasks.work.values():
            for step in work():
                if step is not None:
                    await step


def snapshot_body(folder: str) -> bytes:
    """The newest snapshot file's sections as they were encoded: the head tells when it was written."""
    newest = max(Path(folder).glob("state-*.clm"))
    return zlib.decompress(newest.read_bytes()[SNAPSHOT_HEAD:])


async def two_lives(folder: str, seconds: int) -> dict[str, Any]:
    """A life, its snapshot, and the life that starts from it."""
    told: dict[str, Any] = {}
    for life, written in (("first", START), ("second", START + SNAPSHOT_AGE)):
        async with AsyncExitStack() as stack:
            stack.enter_context(mock.patch("time.time", return_value=written))
            manager = WireManager(folder, 5)
            await manager.start(stack)
            await manager.play(seconds)
            told[life] = manager.outside.digest.hexdigest()
            told[f"{life} snapshot"] = hashlib.sha256(snapshot_body(folder)).hexdigest()
            told[f"{life} messages"] = sum(n for name, n in manager.outside.counts.items() if "proxy" in name)
    return told


def play_two_lives(seconds: int) -> dict[str, Any]:
    """Digests of what both lives sent and of the snapshots that they left."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(two_lives(folder, seconds))
