"""The forwarder's side of the platform's protocol: joins a manager, carries out its orders, tells what came.

One stream at a time.  A manager that dies, goes silent or says what can't be used is left, and another one
dialled after a wait that grows and is dealt by chance, so that a fleet doesn't dial as one.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Protocol

import structlog

from ..config.errors import InputError
from ..config.fields import HostPort
from ..protocol import resp
from ..protocol import upgrade_extension as upgrades
from ..protocol.messages import PING, MessageFields, parse_number
from .router import Part, Unusable

DIAL_WAIT = 1.0  # s for a connection to a manager
BACK_LEAST, BACK_MOST = 0.1, 2.0  # s between dials, doubled from one to the other
SILENT = 1.0  # s without a word after which a manager is asked for a sign of life
SILENT_MOST = 3.0  # s without a word after which it is given up: no keep-alive tells of a cut-off machine
PARTS_MOST = 64  # parts of one message, by the protocol
ROWS_MOST = 65_536  # lines of one part: far over any fleet, and bounded by the message's megabyte
UNREAD_MOST = 131_072  # bytes that a manager may leave unread: the protocol's own bound the other way
LIST_WAIT = 2.0  # s that an order of an unknown worker waits for the list, which comes by its own way


class Orders(Protocol):
    """Who carries orders out; `check` raises Unusable before anything has changed."""

    def check(self, parts: Sequence[Part]) -> None: ...
    def apply(self, parts: Sequence[Part]) -> list[int]: ...
    def extended(self, said: upgrades.FromManager) -> None: ...
    def list_again(self) -> None: ...
    def welcomed(self) -> None: ...
    def stream_lost(self) -> None: ...


def _names(word: bytes, sign: str) -> tuple[str, ...]:
    try:
        return tuple(name for name in word.decode().split(sign) if name)
    except UnicodeDecodeError:
        raise InputError("CONFIG: a name that is not text") from None


def read_part(words: list[bytes]) -> tuple[Part, bool]:
    """One CONFIG, and whether a further part of the same message comes next."""
    f = MessageFields("CONFIG", words)
    rows: list[tuple[str, float]] = []
    for pair in _names(f.values.get(b"rows", b""), ","):
        be, sign, weight = pair.rpartition(":")
        if not sign or not be:
            raise InputError("CONFIG: field rows is not id:weight")
        rows.append((be, parse_number(weight.encode(), "CONFIG: field rows")))
    if len(rows) > ROWS_MOST:
        raise InputError(f"CONFIG: field rows has over {ROWS_MOST} lines")
    if (b"gate" in f.values) != (b"again" in f.values):
        raise InputError("CONFIG: fields gate and again come together")
    gate = None
    if b"gate" in f.values:
        again = f.count("again")
        if again > 3:
            raise InputError("CONFIG: field again is not 0 to 3")
        gate = (f.number("gate"), again)
    part = Part(
        kinds=_names(f.values.get(b"for", b""), "+"),
        replace=b"replace" in f.values and f.flag("replace"),
        rows=tuple(rows),
        gate=gate,
        drop=_names(f.values.get(b"drop", b""), ","),
        undrop=_names(f.values.get(b"undrop", b""), ","),
        stamp=f.count("stamp") if b"stamp" in f.values else None,
    )
    return part, b"part" in f.values and f.flag("part")


class Stream:
    """Owns the connection to the manager in force and the task that dials."""

    def __init__(
        self,
        node: int,
        zone: str,
        rate: float,
        managers: list[HostPort],
        orders: Orders,
        uniform: Callable[[float, float], float],
        extended: bool,
    ) -> None:
        self.node, self._zone, self._rate, self._orders, self._extended = node, zone, rate, orders, extended
        self._managers, self._uniform = managers, uniform
        self._at = 0
        self._writer: asyncio.StreamWriter | None = None
        self.fresh = True  # no table has been ordered yet
        self._task: asyncio.Task[None] | None = None
        self._ordered = False
        self._parts: list[Part] = []
        self.welcome = False  # this manager speaks the extension
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    @property
    def up(self) -> bool:
        return self._writer is not None

    @property
    def manager(self) -> HostPort | None:
        """Whose orders are in force."""
        return self._managers[self._at] if self.up else None

    def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        wait = BACK_LEAST
        while True:
            host, port = self._managers[self._at]
            self._ordered = False
            why = await self._serve(host, port)
            self.log.info("stream ended", manager=f"{host}:{port}", why=why)
            wait = BACK_LEAST if self._ordered else min(BACK_MOST, 2 * wait)
            self._at = (self._at + 1) % len(self._managers)
            await asyncio.sleep(wait * self._uniform(0.5, 1.0))

    async def _serve(self, host: str, port: int) -> str:
        """One stream from its dial to its end; why it ended."""
        try:
            dialling = asyncio.open_connection(host, port)
            reader, writer = await asyncio.wait_for(dialling, DIAL_WAIT)
        except (OSError, TimeoutError) as exc:
            return f"no connection: {exc or 'timed out'}"
        self._writer, self.welcome, self._parts = writer, False, []
        try:
            self._write(self._subscribe())
            if self._extended:
                self._write(upgrades.encode_announcement(self.node))
            self.log.info("stream opened", manager=f"{host}:{port}")
            return await self._read(reader)
        except (InputError, Unusable, OSError) as exc:
            return str(exc) or type(exc).__name__
        finally:
            self._writer, self.welcome = None, False
            writer.transport.abort()
            self._orders.stream_lost()

    def _subscribe(self) -> bytes:
        said = f"SUBSCRIBE node {self.node} locality {self._zone} w {self._rate!r} cold {int(self.fresh)}"
        return resp.encode(said.encode().split())

    async def _read(self, reader: asyncio.StreamReader) -> str:
        messages = resp.RespReader(resp.MAX_MESSAGE_SIZE)
        heard, asked = time.monotonic(), False
        while True:
            try:
                data = await asyncio.wait_for(reader.read(65_536), SILENT)
            except TimeoutError:
                if time.monotonic() - heard > SILENT_MOST:
                    return f"silent for {SILENT_MOST:g} s"
                if not asked:
                    self._write(PING)
                asked = True
                continue
            if not data:
                return "ended by the manager"
            heard, asked = time.monotonic(), False
            for words in messages.feed(data):
                await self._hear(words)

    async def _hear(self, words: list[bytes]) -> None:
        """Anything that can't be used ends the stream, as the protocol asks."""
        kind = words[0] if words else b""
        if kind == b"CONFIG":
            begun = time.monotonic()
            part, more = read_part(words[1:])
            self._parts.append(part)
            if len(self._parts) > PARTS_MOST:
                raise InputError(f"CONFIG: over {PARTS_MOST} parts")
            if not more:
                parts, self._parts = self._parts, []
                await self._carry_out(parts, begun)
        elif kind in (b"PONG", b"NACK"):
            return
        elif self._extended and kind in upgrades.TO_FORWARDER:
            said = upgrades.read_for_forwarder(words)
            if isinstance(said, upgrades.AnnouncementAccepted) and not self.welcome:
                self.welcome = True
                self._orders.welcomed()
            self._orders.extended(said)
        else:
            raise InputError(f"{kind[:32].decode('ascii', 'replace') or 'message'}: unknown kind of order")

    async def _carry_out(self, parts: list[Part], begun: float) -> None:
        try:
            self._orders.check(parts)
        except Unusable:  # the list may be on its way: asked for once, the orders behind wait in their turn
            self._orders.list_again()
            for _ in range(int(LIST_WAIT / 0.1)):
                await asyncio.sleep(0.1)
                try:
                    self._orders.check(parts)
                    break
                except Unusable:
                    continue
            self._orders.check(parts)
        for mark in self._orders.apply(parts):
            took = (time.monotonic() - begun) * 1000.0
            self.say(f"ACK node {self.node} nonce {mark} latency {took:.3f}")
        self._ordered = True
        if any(part.replace for part in parts):
            self.fresh = False

    def say(self, text: str) -> None:
        self._write(resp.encode(text.encode().split()))

    def tell(self, data: bytes) -> None:
        """A message of the platform's protocol."""
        self._write(data)

    def send(self, data: bytes) -> None:
        """A message of the extension, where this manager speaks it."""
        if self.welcome:
            self._write(data)

    def _write(self, data: bytes) -> None:
        writer = self._writer
        if writer is None or writer.transport.is_closing() or not data:
            return
        if writer.transport.get_write_buffer_size() + len(data) > UNREAD_MOST:
            writer.transport.abort()
        else:
            writer.write(data)

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


class Collector:
    """Hands on what this forwarder met at workers, as its zone's collector does; nothing is read from it.
    Only the manager that the forwarder is joined to is told: figures are what a manager's own proxies met."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._writer: asyncio.StreamWriter | None = None
        self._at: HostPort | None = None
        self._task: asyncio.Task[None] | None = None

    async def _run(self, at: HostPort) -> None:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*at), DIAL_WAIT)
        except (OSError, TimeoutError):
            return
        writer.write(resp.encode([b"SOURCE", b"locality", self._zone.encode()]))
        self._writer = writer
        try:
            while await reader.read(4096):
                pass
        except OSError:
            pass
        finally:
            self._writer = None
            writer.transport.abort()

    def say(self, at: HostPort | None, data: bytes) -> None:
        """Dials where the manager is a new one or the connection ended; meanwhile figures are left out."""
        if self._task is not None and (self._task.done() or at != self._at):
            self._task.cancel()
            self._task = None
        if self._task is None and at is not None:
            self._at, self._task = at, asyncio.create_task(self._run(at))
        writer = self._writer
        if writer is not None and writer.transport.get_write_buffer_size() + len(data) <= UNREAD_MOST:
            writer.write(data)

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
