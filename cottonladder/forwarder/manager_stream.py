"""The forwarder's stream to a manager: joins it, carries out its orders, and tells what came.

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
from ..protocol.messages import PING
from .config_parts import read_part
from .errors import OrderRejectedError
from .router import ConfigPart

CONNECT_TIMEOUT_S = 1.0  # s for a connection to a manager
MIN_RECONNECT_DELAY_S = 0.1  # s between dials at first, doubled from one to the other
MAX_RECONNECT_DELAY_S = 2.0  # s between dials at the most
MIN_DELAY_FACTOR = 0.5  # of a delay, at the least; the whole at the most
PING_INTERVAL_S = 1.0  # s without a message after which a manager is asked for a sign of life
SILENCE_TIMEOUT_S = (
    3.0  # s without a message after which it is given up: keep-alive tells of no cut-off machine
)
MAX_READ_BYTES = 65_536  # at a time
MAX_PARTS = 64  # parts of one message, by the protocol
MAX_UNREAD_BYTES = 131_072  # that a manager may leave unread: the protocol's own bound the other way
LIST_TIMEOUT_S = 2.0  # s that an order of an unknown worker waits for the list, which comes by its own way
LIST_CHECK_INTERVAL_S = 0.1  # s between looks whether the list has come
MAX_NAME_IN_ERROR = 32  # bytes of a message's name that is not known
IGNORED_MESSAGES = (b"PONG", b"NACK")


class OrderHandler(Protocol):
    """Who carries orders out."""

    def check(self, parts: Sequence[ConfigPart]) -> None:
        """Raises OrderRejectedError before anything has changed."""

    def apply(self, parts: Sequence[ConfigPart]) -> list[int]:
        """Carries out one message; gives the checkpoints to acknowledge."""
        ...

    def apply_extension(self, message: upgrades.FromManager) -> None:
        """Carries out a message of the extension."""

    def refresh_list(self) -> None:
        """Asks for the list of workers."""

    def extension_accepted(self) -> None:
        """This manager speaks the extension."""

    def stream_lost(self) -> None:
        """The stream has ended."""


class ManagerStream:
    """Owns the connection to the manager in force and the task that dials."""

    def __init__(
        self,
        node: int,
        zone: str,
        arrival_rate: float,
        managers: list[HostPort],
        orders: OrderHandler,
        uniform: Callable[[float, float], float],
        uses_extension: bool,
    ) -> None:
        self.node = node
        self._zone = zone
        self._arrival_rate = arrival_rate
        self._managers = managers
        self._orders = orders
        self._uniform = uniform
        self._uses_extension = uses_extension
        self.is_cold = True  # no table has been ordered yet
        self.speaks_extension = False  # this manager does
        self._manager_index = 0
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._got_orders = False
        self._parts: list[ConfigPart] = []
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    @property
    def is_up(self) -> bool:
        """A manager is joined."""
        return self._writer is not None

    @property
    def manager(self) -> HostPort | None:
        """Whose orders are in force."""
        return self._managers[self._manager_index] if self.is_up else None

    # the life of streams

    def start(self) -> None:
        """Begins to dial."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Ends the stream."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        delay = MIN_RECONNECT_DELAY_S
        while True:
            host, port = self._managers[self._manager_index]
            self._got_orders = False
            reason = await self._serve(host, port)
            self.log.info("stream_ended", manager=f"{host}:{port}", reason=reason)
            delay = MIN_RECONNECT_DELAY_S if self._got_orders else min(MAX_RECONNECT_DELAY_S, 2 * delay)
            self._manager_index = (self._manager_index + 1) % len(self._managers)
            await asyncio.sleep(delay * self._uniform(MIN_DELAY_FACTOR, 1.0))

    async def _serve(self, host: str, port: int) -> str:
        """One stream from its dial to its end; the reason of its end."""
        try:
            connecting = asyncio.open_connection(host, port)
            reader, writer = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as exc:
            return f"no connection: {exc or 'timed out'}"
        self._writer = writer
        self.speaks_extension = False
        self._parts = []
        try:
            self._write(self._subscription())
            if self._uses_extension:
                self._write(upgrades.encode_announcement(self.node))
            self.log.info("stream_opened", manager=f"{host}:{port}")
            return await self._read(reader)
        except (InputError, OrderRejectedError, OSError) as exc:
            return str(exc) or type(exc).__name__
        finally:
            self._writer = None
            self.speaks_extension = False
            writer.transport.abort()
            self._orders.stream_lost()

    def _subscription(self) -> bytes:
        text = f"SUBSCRIBE node {self.node} locality {self._zone} w {self._arrival_rate!r}"
        text += f" cold {int(self.is_cold)}"
        return resp.encode(text.encode().split())

    # what comes

    async def _read(self, reader: asyncio.StreamReader) -> str:
        """Reads until the stream ends; the reason of its end."""
        messages = resp.RespReader(resp.MAX_MESSAGE_SIZE)
        last_heard_at = time.monotonic()
        is_asked = False
        while True:
            try:
                data = await asyncio.wait_for(reader.read(MAX_READ_BYTES), PING_INTERVAL_S)
            except TimeoutError:
                if time.monotonic() - last_heard_at > SILENCE_TIMEOUT_S:
                    return f"silent for {SILENCE_TIMEOUT_S:g} s"
                if not is_asked:
                    self._write(PING)
                is_asked = True
                continue
            if not data:
                return "ended by the manager"
            last_heard_at = time.monotonic()
            is_asked = False
            for words in messages.feed(data):
                await self._handle(words)

    async def _handle(self, words: list[bytes]) -> None:
        """Anything that can't be used ends the stream, as the protocol asks."""
        name = words[0] if words else b""
        if name == b"CONFIG":
            await self._handle_config(words[1:])
        elif name in IGNORED_MESSAGES:
            return
        elif self._uses_extension and name in upgrades.TO_FORWARDER:
            self._handle_extension(words)
        else:
            shown = name[:MAX_NAME_IN_ERROR].decode("ascii", "replace") or "message"
            raise InputError(f"{shown}: unknown kind of order")

    async def _handle_config(self, fields: list[bytes]) -> None:
        """Parts are gathered until the message is whole."""
        received_at = time.monotonic()
        part, has_more = read_part(fields)
        self._parts.append(part)
        if len(self._parts) > MAX_PARTS:
            raise InputError(f"CONFIG: over {MAX_PARTS} parts")
        if has_more:
            return
        parts = self._parts
        self._parts = []
        await self._wait_for_list(parts)
        self._apply(parts, received_at)

    async def _wait_for_list(self, parts: list[ConfigPart]) -> None:
        """The list may be on its way: it is asked for once, the orders behind wait in their turn."""
        if self._is_applicable(parts):
            return
        self._orders.refresh_list()
        for _ in range(int(LIST_TIMEOUT_S / LIST_CHECK_INTERVAL_S)):
            await asyncio.sleep(LIST_CHECK_INTERVAL_S)
            if self._is_applicable(parts):
                break
        self._orders.check(parts)

    def _is_applicable(self, parts: list[ConfigPart]) -> bool:
        try:
            self._orders.check(parts)
        except OrderRejectedError:
            return False
        return True

    def _apply(self, parts: list[ConfigPart], received_at: float) -> None:
        for checkpoint in self._orders.apply(parts):
            duration_ms = (time.monotonic() - received_at) * 1000.0
            text = f"ACK node {self.node} nonce {checkpoint} latency {duration_ms:.3f}"
            self._write(resp.encode(text.encode().split()))
        self._got_orders = True
        if any(part.replace for part in parts):
            self.is_cold = False

    def _handle_extension(self, words: list[bytes]) -> None:
        message = upgrades.read_for_forwarder(words)
        if isinstance(message, upgrades.AnnouncementAccepted) and not self.speaks_extension:
            self.speaks_extension = True
            self._orders.extension_accepted()
        self._orders.apply_extension(message)

    # what goes out

    def send_message(self, data: bytes) -> None:
        """A message of the platform's protocol."""
        self._write(data)

    def send_extension(self, data: bytes) -> None:
        """A message of the extension, where this manager speaks it."""
        if self.speaks_extension:
            self._write(data)

    def _write(self, data: bytes) -> None:
        """A manager that leaves too much unread is left."""
        writer = self._writer
        if writer is None or writer.transport.is_closing() or not data:
            return
        if writer.transport.get_write_buffer_size() + len(data) > MAX_UNREAD_BYTES:
            writer.transport.abort()
        else:
            writer.write(data)
