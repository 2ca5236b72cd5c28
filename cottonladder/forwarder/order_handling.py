"""Parser of the messages on a manager's stream, which passes the orders in them to an `OrderHandler`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Protocol

from ..config.errors import InputError
from ..config.fields import MS_PER_S
from ..protocol import resp
from ..protocol import upgrade_extension as upgrades
from ..protocol.message_fields import printable
from .config_parts import read_part
from .errors import OrderRejectedError, quoted
from .routing_orders import ReceivedConfigPart

MAX_PARTS_PER_MESSAGE = 64  # limit of the protocol for one CONFIG message
LIST_TIMEOUT_S = 2.0  # time limit for an unknown worker of an order to appear in the endpoint list
LIST_CHECK_INTERVAL_S = 0.1  # interval between checks whether the order can be carried out
IGNORED_MESSAGES = (b"PONG", b"NACK")


class OrderHandler(Protocol):
    """The component that carries out the orders of managers."""

    def check(self, parts: Sequence[ReceivedConfigPart]) -> None:
        """Raises OrderRejectedError if a part of a message can't be carried out; changes nothing."""

    def apply(self, parts: Sequence[ReceivedConfigPart]) -> list[int]:
        """Carries out the parts of one message, and returns the checkpoints to acknowledge."""
        ...

    def apply_extension(self, message: upgrades.FromManager) -> None:
        """Carries out a message of the extension.  Raises OrderRejectedError."""

    def refresh_list(self) -> None:
        """Starts to fetch the endpoint list."""

    def extension_accepted(self) -> None:
        """Starts to report connections, after the manager has accepted the extension."""

    def stream_lost(self) -> None:
        """Cancels the migrations that the manager has ordered, after its stream has ended."""


class ManagerMessageReader:
    """Reader of one stream's messages, which handles them in the order of their arrival.

    `has_orders` and `has_table` state whether orders and a complete routing table have been carried out.  A
    message that is invalid or can't be carried out raises InputError or OrderRejectedError; the protocol then
    requires that the forwarder closes the stream.
    """

    def __init__(
        self, node: int, orders: OrderHandler, uses_extension: bool, write: Callable[[bytes], None]
    ) -> None:
        self.has_orders = False
        self.has_table = False
        self.speaks_upgrade_extension = False  # whether the manager has accepted the extension
        self._node = node
        self._orders = orders
        self._uses_extension = uses_extension
        self._write = write
        self._parts: list[ReceivedConfigPart] = []

    async def handle(self, fields: list[bytes]) -> None:
        """Handles one message, given as its name and fields."""
        name = fields[0] if fields else b""
        if name == b"CONFIG":
            await self._handle_config(fields[1:])
        elif name in IGNORED_MESSAGES:
            return
        elif self._uses_extension and name in upgrades.TO_FORWARDER:
            self._handle_extension(fields)
        else:
            raise InputError(f"expected a {self._expected_messages()} message, got {quoted(printable(name))}")

    def _expected_messages(self) -> str:
        """Returns the names of the messages that a manager may send."""
        extension = sorted(upgrades.TO_FORWARDER) if self._uses_extension else []
        names = [name.decode() for name in (b"CONFIG", *extension, *IGNORED_MESSAGES)]
        return f"{', '.join(names[:-1])} or {names[-1]}"

    async def _handle_config(self, fields: list[bytes]) -> None:
        """Collects the parts of a message, and carries them out together after the last one."""
        received_at = time.monotonic()
        parsed = read_part(fields)
        self._parts.append(parsed.part)
        if len(self._parts) > MAX_PARTS_PER_MESSAGE:
            raise InputError(f"CONFIG: expected at most {MAX_PARTS_PER_MESSAGE} parts of a message, got more")
        if parsed.has_more:
            return
        parts = self._parts
        self._parts = []
        await self._wait_until_applicable(parts)
        self._apply(parts, received_at)

    async def _wait_until_applicable(self, parts: list[ReceivedConfigPart]) -> None:
        """Waits until the parts can be carried out; fetches the endpoint list if they can't be immediately.

        The fetched list may contain a worker that the parts name and the forwarder does not know yet.  Raises
        OrderRejectedError if the parts still can't be carried out after `LIST_TIMEOUT_S`.
        """
        if self._is_applicable(parts):
            return
        self._orders.refresh_list()
        for _ in range(int(LIST_TIMEOUT_S / LIST_CHECK_INTERVAL_S)):
            await asyncio.sleep(LIST_CHECK_INTERVAL_S)
            if self._is_applicable(parts):
                break
        self._orders.check(parts)

    def _is_applicable(self, parts: list[ReceivedConfigPart]) -> bool:
        try:
            self._orders.check(parts)
        except OrderRejectedError:
            return False
        return True

    def _apply(self, parts: list[ReceivedConfigPart], received_at: float) -> None:
        for checkpoint in self._orders.apply(parts):
            duration_ms = (time.monotonic() - received_at) * MS_PER_S
            text = f"ACK node {self._node} nonce {checkpoint} latency {duration_ms:.3f}"
            self._write(resp.encode(text.encode().split()))
        self.has_orders = True
        if any(part.replaces_table for part in parts):
            self.has_table = True

    def _handle_extension(self, fields: list[bytes]) -> None:
        message = upgrades.read_for_forwarder(fields)
        if isinstance(message, upgrades.AnnouncementAccepted) and not self.speaks_upgrade_extension:
            self.speaks_upgrade_extension = True
            self._orders.extension_accepted()
        self._orders.apply_extension(message)
