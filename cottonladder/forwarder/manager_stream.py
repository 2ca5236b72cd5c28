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
from .errors import OrderRejected
from .router import ConfigPart

CONNECT_TIMEOUT = 1.0  # s for a connection to a manager
MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY = 0.1, 2.0  # s between dials, doubled from one to the other
PING_AFTER = 1.0  # s without a word after which a manager is asked for a sign of life
SILENCE_TIMEOUT = 3.0  # s without a word after which it is given up: no keep-alive tells of a cut-off machine
MAX_PARTS = 64  # parts of one message, by the protocol
MAX_WEIGHTS = 65_536  # lines of one part: far over any fleet, and bounded by the message's megabyte
MAX_UNREAD_BYTES = 131_072  # bytes that a manager may leave unread: the protocol's own bound the other way
LIST_TIMEOUT = 2.0  # s that an order of an unknown worker waits for the list, which comes by its own way


class OrderHandler(Protocol):
    """Who carries orders out; `check` raises Unusable before anything has changed."""

    def check(self, parts: Sequence[ConfigPart]) -> None: ...
    def apply(self, parts: Sequence[ConfigPart]) -> list[int]: ...
    def apply_extension(self, message: upgrades.FromManager) -> None: ...
    def refresh_list(self) -> None: ...
    def extension_accepted(self) -> None: ...
    def stream_lost(self) -> None: ...


def _split_names(word: bytes, sign: str) -> tuple[str, ...]:
    try:
        return tuple(name for name in word.decode().split(sign) if name)
    except UnicodeDecodeError:
        raise InputError("CONFIG: a name that is not text") from None


def read_part(words: list[bytes]) -> tuple[ConfigPart, bool]:
    """One CONFIG, and whether a further part of the same message comes next."""
    fields = MessageFields("CONFIG", words)
    weights: list[tuple[str, float]] = []
    for pair in _split_names(fields.values.get(b"rows", b""), ","):
        worker_id, sign, weight = pair.rpartition(":")
        if not sign or not worker_id:
            raise InputError("CONFIG: field rows is not id:weight")
        weights.append((worker_id, parse_number(weight.encode(), "CONFIG: field rows")))
    if len(weights) > MAX_WEIGHTS:
        raise InputError(f"CONFIG: field rows has over {MAX_WEIGHTS} lines")
    if (b"gate" in fields.values) != (b"again" in fields.values):
        raise InputError("CONFIG: fields gate and again come together")
    admission = None
    if b"gate" in fields.values:
        retry_policy = fields.count("again")
        if retry_policy > 3:
            raise InputError("CONFIG: field again is not 0 to 3")
        admission = (fields.number("gate"), retry_policy)
    part = ConfigPart(
        classes=_split_names(fields.values.get(b"for", b""), "+"),
        replace=b"replace" in fields.values and fields.flag("replace"),
        weights=tuple(weights),
        admission=admission,
        exclude=_split_names(fields.values.get(b"drop", b""), ","),
        readmit=_split_names(fields.values.get(b"undrop", b""), ","),
        checkpoint=fields.count("stamp") if b"stamp" in fields.values else None,
    )
    return part, b"part" in fields.values and fields.flag("part")


class ManagerStream:
    """Owns the connection to the manager in force and the task that dials."""

    def __init__(
        self,
        node: int,
        zone: str,
        rate: float,
        managers: list[HostPort],
        orders: OrderHandler,
        uniform: Callable[[float, float], float],
        extended: bool,
    ) -> None:
        self.node, self._zone, self._arrival_rate, self._orders, self._uses_extension = (
            node,
            zone,
            rate,
            orders,
            extended,
        )
        self._managers, self._uniform = managers, uniform
        self._manager_index = 0
        self._writer: asyncio.StreamWriter | None = None
        self.is_cold = True  # no table has been ordered yet
        self._task: asyncio.Task[None] | None = None
        self._got_orders = False
        self._parts: list[ConfigPart] = []
        self.speaks_extension = False  # this manager speaks the extension
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    @property
    def is_up(self) -> bool:
        return self._writer is not None

    @property
    def manager(self) -> HostPort | None:
        """Whose orders are in force."""
        return self._managers[self._manager_index] if self.is_up else None

    def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        wait = MIN_RECONNECT_DELAY
        while True:
            host, port = self._managers[self._manager_index]
            self._got_orders = False
            reason = await self._serve(host, port)
            self.log.info("stream ended", manager=f"{host}:{port}", reason=reason)
            wait = MIN_RECONNECT_DELAY if self._got_orders else min(MAX_RECONNECT_DELAY, 2 * wait)
            self._manager_index = (self._manager_index + 1) % len(self._managers)
            await asyncio.sleep(wait * self._uniform(0.5, 1.0))

    async def _serve(self, host: str, port: int) -> str:
        """One stream from its dial to its end; why it ended."""
        try:
            dialling = asyncio.open_connection(host, port)
            reader, writer = await asyncio.wait_for(dialling, CONNECT_TIMEOUT)
        except (OSError, TimeoutError) as exc:
            return f"no connection: {exc or 'timed out'}"
        self._writer, self.speaks_extension, self._parts = writer, False, []
        try:
            self._write(self._subscribe())
            if self._uses_extension:
                self._write(upgrades.encode_announcement(self.node))
            self.log.info("stream opened", manager=f"{host}:{port}")
            return await self._read(reader)
        except (InputError, OrderRejected, OSError) as exc:
            return str(exc) or type(exc).__name__
        finally:
            self._writer, self.speaks_extension = None, False
            writer.transport.abort()
            self._orders.stream_lost()

    def _subscribe(self) -> bytes:
        message = f"SUBSCRIBE node {self.node} locality {self._zone} w {self._arrival_rate!r}"
        message += f" cold {int(self.is_cold)}"
        return resp.encode(message.encode().split())

    async def _read(self, reader: asyncio.StreamReader) -> str:
        messages = resp.RespReader(resp.MAX_MESSAGE_SIZE)
        last_heard_at, asked = time.monotonic(), False
        while True:
            try:
                data = await asyncio.wait_for(reader.read(65_536), PING_AFTER)
            except TimeoutError:
                if time.monotonic() - last_heard_at > SILENCE_TIMEOUT:
                    return f"silent for {SILENCE_TIMEOUT:g} s"
                if not asked:
                    self._write(PING)
                asked = True
                continue
            if not data:
                return "ended by the manager"
            last_heard_at, asked = time.monotonic(), False
            for words in messages.feed(data):
                await self._handle(words)

    async def _handle(self, words: list[bytes]) -> None:
        """Anything that can't be used ends the stream, as the protocol asks."""
        kind = words[0] if words else b""
        if kind == b"CONFIG":
            received_at = time.monotonic()
            part, more = read_part(words[1:])
            self._parts.append(part)
            if len(self._parts) > MAX_PARTS:
                raise InputError(f"CONFIG: over {MAX_PARTS} parts")
            if not more:
                parts, self._parts = self._parts, []
                await self._apply(parts, received_at)
        elif kind in (b"PONG", b"NACK"):
            return
        elif self._uses_extension and kind in upgrades.TO_FORWARDER:
            message = upgrades.read_for_forwarder(words)
            if isinstance(message, upgrades.AnnouncementAccepted) and not self.speaks_extension:
                self.speaks_extension = True
                self._orders.extension_accepted()
            self._orders.apply_extension(message)
        else:
            raise InputError(f"{kind[:32].decode('ascii', 'replace') or 'message'}: unknown kind of order")

    async def _apply(self, parts: list[ConfigPart], received_at: float) -> None:
        try:
            self._orders.check(parts)
        except (
            OrderRejected
        ):  # the list may be on its way: asked for once, the orders behind wait in their turn
            self._orders.refresh_list()
            for _ in range(int(LIST_TIMEOUT / 0.1)):
                await asyncio.sleep(0.1)
                try:
                    self._orders.check(parts)
                    break
                except OrderRejected:
                    continue
            self._orders.check(parts)
        for checkpoint in self._orders.apply(parts):
            duration_ms = (time.monotonic() - received_at) * 1000.0
            self.send_text(f"ACK node {self.node} nonce {checkpoint} latency {duration_ms:.3f}")
        self._got_orders = True
        if any(part.replace for part in parts):
            self.is_cold = False

    def send_text(self, text: str) -> None:
        self._write(resp.encode(text.encode().split()))

    def send_message(self, data: bytes) -> None:
        """A message of the platform's protocol."""
        self._write(data)

    def send_extension(self, data: bytes) -> None:
        """A message of the extension, where this manager speaks it."""
        if self.speaks_extension:
            self._write(data)

    def _write(self, data: bytes) -> None:
        writer = self._writer
        if writer is None or writer.transport.is_closing() or not data:
            return
        if writer.transport.get_write_buffer_size() + len(data) > MAX_UNREAD_BYTES:
            writer.transport.abort()
        else:
            writer.write(data)

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


class LoadReporter:
    """Hands on what this forwarder met at workers, as its zone's collector does; nothing is read from it.
    Only the manager that the forwarder is joined to is told: figures are what a manager's own proxies met."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._writer: asyncio.StreamWriter | None = None
        self._manager: HostPort | None = None
        self._task: asyncio.Task[None] | None = None

    async def _run(self, manager: HostPort) -> None:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*manager), CONNECT_TIMEOUT)
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

    def send(self, manager: HostPort | None, data: bytes) -> None:
        """Dials where the manager is a new one or the connection ended; meanwhile figures are left out."""
        if self._task is not None and (self._task.done() or manager != self._manager):
            self._task.cancel()
            self._task = None
        if self._task is None and manager is not None:
            self._manager, self._task = manager, asyncio.create_task(self._run(manager))
        writer = self._writer
        if writer is not None and writer.transport.get_write_buffer_size() + len(data) <= MAX_UNREAD_BYTES:
            writer.write(data)

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
