"""Stand-ins of the platform for the cases of the review: discovery, workers, collectors and proxies.

They follow the pages of the protocol.  Only the standard library is used, and every address is a loopback
address.  `Record` writes what was sent, answered and run.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


class Record:
    """The file `record.txt`; each line begins with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def elapsed_s(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.elapsed_s():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def encode(*arguments: str) -> bytes:
    """Encodes one RESP2 message."""
    parts = [argument.encode() for argument in arguments]
    body = b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)
    return b"*%d\r\n" % len(parts) + body


async def read_message(reader: asyncio.StreamReader) -> list[str]:
    """Reads one RESP2 message; raises IncompleteReadError at the end of the connection."""
    header = await reader.readuntil(b"\r\n")
    if header[:1] != b"*":
        raise ValueError(f"not a RESP2 array: {header!r}")
    arguments: list[str] = []
    for _ in range(int(header[1:])):
        length = await reader.readuntil(b"\r\n")
        if length[:1] != b"$":
            raise ValueError(f"not a bulk string: {length!r}")
        data = await reader.readexactly(int(length[1:]) + 2)
        arguments.append(data[:-2].decode())
    return arguments


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads the head of an HTTP message; returns its first line and its headers in small letters."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, sign, value = line.partition(":")
        if sign:
            headers[name.strip().lower()] = value.strip()
    return first, headers


def free_port() -> int:
    """Returns a port that is free now."""
    import socket

    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Discovery:
    """The discovery service: the whole list, and watches on its changes."""

    def __init__(self, record: Record) -> None:
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.ever_listed: set[str] = set()
        self.calls: list[str] = []
        self.written: list[tuple[float, int]] = []  # when a line with this version was written to a watch
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Condition()
        self._record = record
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def put(
        self,
        worker_id: str,
        address: str,
        zone: str,
        state: str,
        started_ms: int = 0,
        weight: float = 1.0,
    ) -> None:
        """Adds or changes an entry; the state `Gone` removes it from the list."""
        entry = {
            "id": worker_id, "addr": address, "zone": zone, "kind": "m", "cell": 0, "state": state,
            "weight": weight, "started_ms": started_ms,
        }  # fmt: skip
        async with self._changed:
            self.version += 1
            self.ever_listed.add(worker_id)
            if state == "Gone":
                self.entries.pop(worker_id, None)
            else:
                self.entries[worker_id] = entry
            self._changes.append((self.version, entry))
            self._changed.notify_all()
        self._record.write(f"discovery: version {self.version}: {worker_id} is {state}")

    def full(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            first, _ = await read_head(reader)
            target = first.split(" ")[1]
            self.calls.append(target)
            self._record.write(f"discovery: called with {target}")
            if "watch=1" in target:
                after = int(target.rpartition("after=")[2])
                await self._watch(writer, after)
            else:
                body = json.dumps(self.full()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the manager has closed the connection, or the case ends
        finally:
            writer.transport.abort()

    async def _watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.transport.is_closing():
            changes = {entry["id"]: entry for version, entry in self._changes if version > after}
            line = b"\n"
            if changes:
                body = {"version": self.version, "full": False, "servers": list(changes.values())}
                line = json.dumps(body).encode() + b"\n"
                self.written.append((time.monotonic(), self.version))
            after = self.version
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            await writer.drain()
            try:
                async with asyncio.timeout(2.0), self._changed:
                    await self._changed.wait_for(lambda after=after: self.version > after)
            except TimeoutError:
                pass


@dataclass
class Run:
    """One request that a worker ran."""

    at: float
    worker_id: str
    request_id: str
    request_class: str


class Worker:
    """A worker: answers health checks and runs requests, which it counts in `runs`."""

    def __init__(self, worker_id: str, zone: str, record: Record, runs: list[Run]) -> None:
        self.worker_id = worker_id
        self.zone = zone
        self.address = ""
        self.delay_s = 0.005
        self._runs = runs
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Ends the worker: its port refuses connections, and open ones are reset."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                path = first.split(" ")[1]
                await reader.readexactly(int(headers.get("content-length", "0")))
                body = b"ok"
                if path == "/load":
                    body = b"TEXT inflight=1, util=0.3"
                elif path != "/healthz":
                    request_class, _, request_id = path.strip("/").partition("/")
                    self._runs.append(Run(time.monotonic(), self.worker_id, request_id, request_class))
                    await asyncio.sleep(self.delay_s)
                    body = f"{request_id} by {self.worker_id}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the peer has closed the connection, or the case ends
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


@dataclass
class Table:
    """The table of one request class at a proxy."""

    weights: dict[str, float] = field(default_factory=dict)
    level: float = 1.0
    retry: int = 1


class StreamBrokenError(Exception):
    """The manager sent something that the proxy cannot use."""


class Proxy:
    """A proxy: joined to one manager, it does what its tables say."""

    def __init__(
        self,
        node: int,
        zone: str,
        classes: list[str],
        discovery: Discovery,
        record: Record,
        rng: random.Random,
    ) -> None:
        self.node = node
        self.zone = zone
        self.tables = {name: Table() for name in classes}
        self.excluded: set[str] = set()
        self.has_table = False
        self.usual_rate = 20.0  # requests a second
        self.joined_at: float | None = None
        self.messages: list[float] = []  # when each message of the manager had arrived whole
        self.on_config: Callable[[dict[str, str]], None] | None = None
        self._discovery = discovery
        self._record = record
        self._rng = rng
        self._writer: asyncio.StreamWriter | None = None
        self._use_standing_table()

    def _use_standing_table(self) -> None:
        listed = [e["id"] for e in self._discovery.entries.values() if e["state"] == "Ready"]
        own = [i for i in listed if self._discovery.entries[i]["zone"] == self.zone]
        chosen = own if len(own) >= 3 else listed
        for table in self.tables.values():
            table.weights = dict.fromkeys(self._rng.sample(chosen, min(5, len(chosen))), 1.0)

    @property
    def is_joined(self) -> bool:
        """Whether the stream to the manager is open."""
        return self._writer is not None

    async def run(self, address: str, redial_s: float = 0.3) -> None:
        """Joins the manager, and dials again after each break, until it is cancelled."""
        host, _, port = address.rpartition(":")
        while True:
            try:
                await self._serve_stream(host, int(port))
            except (OSError, asyncio.IncompleteReadError, StreamBrokenError, ValueError) as exc:
                self._record.write(f"proxy {self.node}: stream ended: {exc!r}")
            await asyncio.sleep(redial_s)

    async def _serve_stream(self, host: str, port: int) -> None:
        reader, writer = await asyncio.open_connection(host, port)
        self._writer = writer
        self.joined_at = time.monotonic()
        cold = "0" if self.has_table else "1"
        fields = ["node", str(self.node), "locality", self.zone, "w", f"{self.usual_rate:.2f}", "cold", cold]
        writer.write(encode("SUBSCRIBE", *fields))
        parts: list[dict[str, str]] = []
        try:
            while True:
                message = await read_message(reader)
                if message[0] in ("PONG", "NACK"):
                    continue
                if message[0] != "CONFIG":
                    raise StreamBrokenError(f"unexpected message {message[0]}")
                fields = dict(zip(message[1::2], message[2::2], strict=True))
                parts.append(fields)
                if fields.get("part") == "1":
                    continue
                self.messages.append(time.monotonic())
                for part in parts:
                    self._apply(part, writer)
                parts = []
        finally:
            self._writer = None
            writer.transport.abort()

    def _ids(self, text: str) -> list[str]:
        ids = text.split(",")
        for worker_id in ids:
            if worker_id not in self._discovery.ever_listed:
                raise StreamBrokenError(f"worker {worker_id} was never listed")
        return ids

    def _apply(self, fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
        if self.on_config is not None:
            self.on_config(fields)
        names = fields["for"].split("+") if "for" in fields else list(self.tables)
        rows = [row.rpartition(":") for row in fields.get("rows", "").split(",") if row]
        for worker_id, _, _ in rows:
            self._ids(worker_id)
        for name in names:
            self._apply_to_table(self.tables[name], fields, [(i, float(weight)) for i, _, weight in rows])
        if "drop" in fields:
            self.excluded |= set(self._ids(fields["drop"]))
        if "undrop" in fields:
            self.excluded -= set(self._ids(fields["undrop"]))
        if "stamp" in fields:
            writer.write(encode("ACK", "node", str(self.node), "nonce", fields["stamp"], "latency", "5.0"))

    def _apply_to_table(self, table: Table, fields: dict[str, str], rows: list[tuple[str, float]]) -> None:
        if fields.get("replace") == "1":
            table.weights, table.level, table.retry = {}, 1.0, 1
            self.has_table = True
        for worker_id, weight in rows:
            table.weights.pop(worker_id, None)
            if weight > 0:
                table.weights[worker_id] = weight
        if "gate" in fields:
            table.level, table.retry = float(fields["gate"]), int(fields["again"])

    def candidates(self, request_class: str) -> dict[str, float]:
        """Returns the lines that the proxy can pick for a class."""
        weights = self.tables[request_class].weights
        return {i: weight for i, weight in weights.items() if i not in self.excluded}

    def pick(self, request_class: str, tried: tuple[str, ...] = ()) -> str | None:
        """Picks a worker by weight, or None without a line."""
        lines = {i: weight for i, weight in self.candidates(request_class).items() if i not in tried}
        if not lines:
            return None
        return self._rng.choices(list(lines), list(lines.values()))[0]

    def send(self, data: bytes) -> None:
        """Writes to the manager if the stream is open."""
        if self._writer is not None and not self._writer.transport.is_closing():
            self._writer.write(data)

    def report_arrivals(self, request_class: str, total: int, errors: int, interval_ms: float) -> None:
        """Reports the requests that reached the proxy."""
        self.send(
            encode("RATE", "node", str(self.node), "route", request_class, "total", str(total),
                   "errors", str(errors), "interval", f"{interval_ms:.1f}")
        )  # fmt: skip


class Collector:
    """The collector of one zone, which hands on reports."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self._writer: asyncio.StreamWriter | None = None

    async def run(self, address: str) -> None:
        """Connects, and connects again after each break, until it is cancelled."""
        host, _, port = address.rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode("SOURCE", "locality", self.zone))
                self._writer = writer
                await reader.read(1)
            except OSError:
                pass
            self._writer = None
            await asyncio.sleep(0.3)

    def report(
        self, worker_id: str, total: int, errors: int, rtt_ms: float, interval_ms: float, metrics: str
    ) -> None:
        """Reports what the proxies of the zone found at a worker."""
        if self._writer is None or self._writer.transport.is_closing():
            return
        fields = ["LOAD", "locality", self.zone, "endpoint", worker_id, "total", str(total)]
        fields += ["errors", str(errors), "rtt", f"{rtt_ms:.1f}", "interval", f"{interval_ms:.1f}"]
        if metrics:
            fields += ["metrics", metrics]
        self._writer.write(encode(*fields))


async def http_request(address: str, method: str, path: str, timeout_s: float) -> tuple[str, str]:
    """Sends one request on a new connection.

    Returns its outcome and the body.  The outcome is `ok`, `error`, `not connected` (which proves that the
    request never ran), `reset` or `timeout`.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(min(0.25, timeout_s)):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return "not connected", ""
    try:
        async with asyncio.timeout(timeout_s):
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n".encode())
            first, headers = await read_head(reader)
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            return ("ok" if first.split(" ")[1] == "200" else "error"), body.decode()
    except TimeoutError:
        return "timeout", ""
    except (OSError, asyncio.IncompleteReadError):
        return "reset", ""
    finally:
        writer.transport.abort()


def deploy_command(name: str) -> str:
    """Returns a command of the deploy file."""
    import tomllib

    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[name])


@dataclass
class Program:
    """A process that a case started, with the file of its output."""

    process: asyncio.subprocess.Process
    log: Path

    def kill(self) -> None:
        """Kills the process, if it runs."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()


async def start_program(command: str, environment: dict[str, str], log: Path) -> Program:
    """Starts a command by `/bin/sh -c` from the root of the repository."""
    with log.open("ab") as output:
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env={**os.environ, **environment},
            stdin=asyncio.subprocess.DEVNULL, stdout=output, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
    return Program(process, log)


async def wait_until_ready(
    address: str, process: asyncio.subprocess.Process, timeout_s: float = 20.0
) -> bool:
    """Waits until a manager answers PING."""
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline and process.returncode is None:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode("PING"))
                answer = await read_message(reader)
                writer.transport.abort()
                if answer == ["PONG"]:
                    return True
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.05)
    return False
