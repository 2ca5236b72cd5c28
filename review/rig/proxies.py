"""Stand-ins for proxies and their collector, after the pages: they do as their tables say.

A proxy picks a worker by weight from its table, without those that it was ordered to shut out.  It keeps its
tables when its stream breaks, and dials again.  It applies a message some time after the message's arrival,
answers the message's mark, and judges no worker by itself.
"""

from __future__ import annotations

import asyncio
import random
import re
from collections import Counter
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field

from review.rig.relay import StreamTime
from review.rig.resp2 import encode, read_message
from review.rig.runner import Case
from review.rig.tcp_workers import TcpWorker

REQUEST_TIMEOUT_S = 2.5
REPORT_DELAY_S = 0.6  # sums are given to the manager so late
RESTART_POLL_S = 0.05
ADDRESS_IN_USE = re.compile(r"^s-\d+$")


@dataclass(slots=True)
class Sums:
    """What a zone's proxies met at one worker since the last report."""

    tries: int = 0
    errors: int = 0
    duration_s: float = 0.0


@dataclass(slots=True)
class Fleet:
    """What the proxies of a case share: the workers, the manager's port, and the sums for the collector."""

    case: Case
    workers: Mapping[str, TcpWorker]
    manager_port: int
    classes: tuple[str, ...]
    rng: random.Random
    sums: dict[str, Sums] = field(default_factory=dict)


class Proxy:
    """One proxy: its tables by class, its stream, and its requests."""

    def __init__(self, fleet: Fleet, node: int, rate: float, travel_s: float) -> None:
        self.node = node
        self.streams: list[StreamTime] = []
        self.messages: list[float] = []  # when each message arrived
        self.bare_requests = 0  # requests that found no worker in the table
        self._fleet = fleet
        self._rate = rate
        self._travel_s = travel_s
        self._tables: dict[str, dict[str, float]] = {name: {} for name in fleet.classes}
        self._shut_out: set[str] = set()
        self._has_table = False
        self._parts: list[dict[str, str]] = []
        self._arrived: Counter[str] = Counter()
        self._requests: set[asyncio.Task[None]] = set()

    # The stream.

    async def keep_stream(self, redial_s: tuple[float, float]) -> None:
        """Dials the manager, again after a random time once the stream has broken."""
        while True:
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._serve_stream()
            await asyncio.sleep(self._fleet.rng.uniform(*redial_s))

    async def _serve_stream(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self._fleet.manager_port, limit=1 << 20)
        cold = int(not self._has_table)
        writer.write(encode(f"SUBSCRIBE node {self.node} locality a w {self._rate} cold {cold}"))
        stream = StreamTime(self._fleet.case.now)
        self.streams.append(stream)
        self._parts = []
        reports = asyncio.create_task(self._report(writer))
        applying: set[asyncio.Task[None]] = set()
        try:
            while True:
                words = await read_message(reader)
                if words[0] == "CONFIG":
                    self._receive(dict(zip(words[1::2], words[2::2], strict=True)), writer, applying)
        finally:
            stream.left_at = self._fleet.case.now
            for task in (reports, *applying):
                task.cancel()
            writer.transport.abort()

    def _receive(
        self, fields: dict[str, str], writer: asyncio.StreamWriter, applying: set[asyncio.Task[None]]
    ) -> None:
        self._parts.append(fields)
        if fields.get("part") == "1":
            return
        parts = self._parts
        self._parts = []
        self.messages.append(self._fleet.case.now)
        task = asyncio.create_task(self._apply_later(parts, writer))
        applying.add(task)
        task.add_done_callback(applying.discard)

    async def _apply_later(self, parts: list[dict[str, str]], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self._travel_s)
        for fields in parts:
            self._apply(fields)
        for fields in parts:
            if "stamp" in fields:
                latency_ms = self._travel_s * 1000
                writer.write(encode(f"ACK node {self.node} nonce {fields['stamp']} latency {latency_ms}"))

    def _apply(self, fields: dict[str, str]) -> None:
        names = fields["for"].split("+") if "for" in fields else list(self._tables)
        for name in names:
            if fields.get("replace") == "1":
                self._tables[name] = {}
                self._has_table = True
            for row in filter(None, fields.get("rows", "").split(",")):
                worker, _, weight = row.rpartition(":")
                self._tables[name].pop(worker, None)
                if float(weight) > 0:
                    self._tables[name][worker] = float(weight)
        self._shut_out |= set(filter(None, fields.get("drop", "").split(",")))
        self._shut_out -= set(filter(None, fields.get("undrop", "").split(",")))

    async def _report(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(1.0)
            arrived = self._arrived
            self._arrived = Counter()
            for name, count in arrived.items():
                writer.write(
                    encode(f"RATE node {self.node} route {name} total {count} errors 0 interval 1000.0")
                )

    # Requests.

    def start_with(self, workers: list[str]) -> None:
        """Gives the proxy the standing table that it has at its start."""
        for table in self._tables.values():
            table.update(dict.fromkeys(workers, 1.0))

    async def send_requests(self) -> None:
        """Sends requests of all classes at the proxy's rate."""
        rng = self._fleet.rng
        while True:
            await asyncio.sleep(rng.expovariate(self._rate))
            name = rng.choice(self._fleet.classes)
            self._arrived[name] += 1
            table = {w: weight for w, weight in self._tables[name].items() if w not in self._shut_out}
            if not table:
                self.bare_requests += 1
                continue
            worker = rng.choices(list(table), weights=list(table.values()))[0]
            task = asyncio.create_task(self._send(self._fleet.workers[worker]))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _send(self, worker: TcpWorker) -> None:
        started_at = self._fleet.case.now
        is_answered = False
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", worker.port)
                try:
                    writer.write(b"%d\n" % self.node)
                    is_answered = await reader.readline() == b"done\n"
                finally:
                    writer.close()
        sums = self._fleet.sums.setdefault(worker.name, Sums())
        sums.tries += 1
        if is_answered:
            sums.duration_s += self._fleet.case.now - started_at
        else:
            sums.errors += 1

    def stream_at(self, time: float) -> StreamTime | None:
        """Returns the stream that was joined at a time."""
        return next((item for item in self.streams if item.joined_at <= time < item.left_at), None)


async def collect(fleet: Fleet, cores: int) -> None:
    """Hands the zone's sums to the manager each second, with the load that the workers' answers carried."""
    while True:
        with suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", fleet.manager_port)
            writer.write(encode("SOURCE locality a"))
            while not writer.transport.is_closing():
                await asyncio.sleep(1.0)
                sums = fleet.sums
                fleet.sums = {}
                asyncio.get_running_loop().call_later(REPORT_DELAY_S, _write_sums, fleet, writer, sums, cores)
                await writer.drain()
        await asyncio.sleep(RESTART_POLL_S)


def _write_sums(fleet: Fleet, writer: asyncio.StreamWriter, sums: dict[str, Sums], cores: int) -> None:
    for worker, row in sums.items():
        if not ADDRESS_IN_USE.match(worker) or writer.transport.is_closing():
            continue
        rtt_ms = row.duration_s * 1000 / max(1, row.tries - row.errors)
        utilization = min(1.0, fleet.workers[worker].in_hand / cores)
        writer.write(
            encode(
                f"LOAD locality a endpoint {worker} total {row.tries} errors {row.errors} rtt {rtt_ms:.1f}"
                f" interval 1000.0 metrics util:{utilization:.2f}"
            )
        )
