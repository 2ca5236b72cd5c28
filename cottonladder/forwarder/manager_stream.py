"""The forwarder's connection to a manager: subscribes, reads orders, and sends reports.

There is one connection at a time.  The forwarder disconnects from a manager that fails, is silent, or sends
an invalid message, and connects to the next one after a backoff with jitter, so that a fleet of forwarders
does not reconnect at the same time.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from ..config.errors import InputError
from ..config.fields import HostPort
from ..protocol import resp
from ..protocol import upgrade_extension as upgrades
from ..protocol.messages import PING
from .errors import OrderRejectedError
from .order_handling import ManagerMessageReader, OrderHandler

CONNECT_TIMEOUT_S = 1.0
MIN_RECONNECT_DELAY_S = 0.1  # delay after a stream with orders; it doubles after each stream without any
MAX_RECONNECT_DELAY_S = 2.0
MIN_DELAY_FACTOR = 0.5  # lower bound of the random factor applied to a delay; the upper bound is 1
PING_INTERVAL_S = 1.0  # time without received data after which a PING is sent
# Time without received data after which the forwarder disconnects from the manager.  TCP keep-alive would
# detect a machine that is cut off much later.
SILENCE_TIMEOUT_S = 3.0
MAX_READ_BYTES = 65_536  # size of one read
MAX_UNREAD_BYTES = 131_072  # limit of the bytes that a manager has not read yet


@dataclass(frozen=True, slots=True)
class Subscription:
    """The forwarder's description of itself in its SUBSCRIBE message."""

    node: int
    zone: str
    expected_requests_per_s: float

    def encode(self, needs_table: bool) -> bytes:
        """Encodes the SUBSCRIBE message; `needs_table` states that the forwarder has no routing table yet."""
        text = f"SUBSCRIBE node {self.node} locality {self.zone} w {self.expected_requests_per_s!r}"
        text += f" cold {int(needs_table)}"
        return resp.encode(text.encode().split())


class ManagerStream:
    """The connection to the current manager, and the task that connects to the managers in turn.

    `needs_table` is true until a routing table has been ordered or restored.
    """

    def __init__(
        self,
        subscription: Subscription,
        managers: list[HostPort],
        uniform: Callable[[float, float], float],
        uses_extension: bool,
    ) -> None:
        self.needs_table = True
        self._subscription = subscription
        self._managers = managers
        self._uniform = uniform
        self._uses_extension = uses_extension
        self._manager_index = 0
        self._writer: asyncio.StreamWriter | None = None
        self._messages: ManagerMessageReader | None = None
        self._task: asyncio.Task[None] | None = None
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    @property
    def manager(self) -> HostPort | None:
        """The address of the manager that the forwarder is connected to; None if it is not connected."""
        return self._managers[self._manager_index] if self._writer is not None else None

    @property
    def speaks_upgrade_extension(self) -> bool:
        """Whether the current manager has accepted the extension."""
        return self._messages is not None and self._messages.speaks_upgrade_extension

    # Connections.

    def start(self, orders: OrderHandler) -> None:
        """Starts to connect; `orders` carries out the orders that arrive."""
        self._task = asyncio.create_task(self._run(orders), name="manager stream")

    async def close(self) -> None:
        """Closes the connection and does not connect again."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self, orders: OrderHandler) -> None:
        delay_s = MIN_RECONNECT_DELAY_S
        while True:
            host, port = self._managers[self._manager_index]
            messages = ManagerMessageReader(
                self._subscription.node, orders, self._uses_extension, self.send_message
            )
            reason = await self._serve(host, port, messages, orders)
            self.log.info("stream_ended", manager=f"{host}:{port}", reason=reason)
            if messages.has_orders:
                delay_s = MIN_RECONNECT_DELAY_S
            else:
                delay_s = min(MAX_RECONNECT_DELAY_S, 2 * delay_s)
            self._manager_index = (self._manager_index + 1) % len(self._managers)
            await asyncio.sleep(delay_s * self._uniform(MIN_DELAY_FACTOR, 1.0))

    async def _serve(self, host: str, port: int, messages: ManagerMessageReader, orders: OrderHandler) -> str:
        """Connects and handles messages until the connection ends; returns the reason of the end."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as exc:
            return f"connection failed: {exc or f'no connection within {CONNECT_TIMEOUT_S:g} s'}"
        self._writer = writer
        self._messages = messages
        try:
            self.send_message(self._subscription.encode(self.needs_table))
            if self._uses_extension:
                self.send_message(upgrades.encode_announcement(self._subscription.node))
            self.log.info("stream_opened", manager=f"{host}:{port}")
            return await self._read(reader, messages)
        except (InputError, OrderRejectedError, OSError) as exc:
            return str(exc) or type(exc).__name__
        finally:
            self._writer = None
            self._messages = None
            writer.transport.abort()
            orders.stream_lost()

    async def _read(self, reader: asyncio.StreamReader, messages: ManagerMessageReader) -> str:
        """Reads and handles messages until the connection ends; returns the reason of the end."""
        decoder = resp.RespReader(resp.MAX_MESSAGE_SIZE)
        last_received_at = time.monotonic()
        is_ping_sent = False
        while True:
            try:
                # `asyncio.wait_for` is not used here: it drops a cancellation that arrives in the same
                # iteration of the event loop as data.
                async with asyncio.timeout(PING_INTERVAL_S):
                    data = await reader.read(MAX_READ_BYTES)
            except TimeoutError:
                if time.monotonic() - last_received_at > SILENCE_TIMEOUT_S:
                    return f"manager was silent for over {SILENCE_TIMEOUT_S:g} s"
                if not is_ping_sent:
                    self.send_message(PING)
                is_ping_sent = True
                continue
            if not data:
                return "manager closed the connection"
            last_received_at = time.monotonic()
            is_ping_sent = False
            for fields in decoder.feed(data):
                await messages.handle(fields)
                if messages.has_table:
                    self.needs_table = False

    # Messages to the manager.

    def send_message(self, data: bytes) -> None:
        """Sends an encoded message if connected; disconnects from a manager that reads too slowly."""
        writer = self._writer
        if writer is None or writer.transport.is_closing() or not data:
            return
        if writer.transport.get_write_buffer_size() + len(data) > MAX_UNREAD_BYTES:
            writer.transport.abort()
        else:
            writer.write(data)

    def send_extension(self, data: bytes) -> None:
        """Sends an encoded message of the extension if the manager has accepted the extension."""
        if self.speaks_upgrade_extension:
            self.send_message(data)
