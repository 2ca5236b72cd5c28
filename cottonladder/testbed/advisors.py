"""Simulated SASP and DFP advisors whose weights and faults are controlled by the code that creates them.

A SASP advisor can also stop or disconnect in the middle of a message, or send invalid bytes.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from enum import StrEnum

from ..weight_advice import dfp, limits, sasp
from ..weight_advice.errors import AdviceError
from ..weight_advice.tlv import TCP_PROTOCOL_NUMBER
from .http_server import LOOPBACK

WeightFunction = Callable[[sasp.MemberData], int]
EVENT_TIMEOUT_S = 20.0
POLLING_INTERVAL_S = 1  # stated in each GetWeights reply
INVALID_BYTES_SEED = 3
INVALID_BYTES_COUNT = 64


def server_address(server: asyncio.Server) -> str:
    """Returns the `host:port` address of a listening server."""
    return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"


class AdvisorMode(StrEnum):
    """The replies of a SASP advisor: correct ones, or those of a faulty advisor."""

    HONEST = "honest"
    PARTIAL_MESSAGE = "stall"  # sends half a message, then changes to SILENT
    DISCONNECT = "cut"  # sends half a message, then closes the connection
    INVALID_BYTES = "garble"  # sends random bytes that are not a valid message
    SILENT = "silent"  # reads messages and sends no reply


class SaspAdvisor:
    """A SASP workload manager that reports `weight_of(member)` for each member, with the fault in `mode`."""

    def __init__(self, weight_of: WeightFunction, seed: int = 7) -> None:
        self.weight_of = weight_of
        self.mode = AdvisorMode.HONEST
        self.flags = sasp.CONTACT_SUCCESS_FLAG | sasp.CONFIDENT_FLAG
        self.members: dict[sasp.MemberData, None] = {}  # an ordered set, in registration order
        self.group: sasp.GroupData | None = None
        self.received_types: list[int] = []  # message types, in order of arrival
        self.connection_count = 0
        self.random = random.Random(seed)  # shuffles the members in each message
        self._changed = asyncio.Condition()  # notified after each connection and message
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> str:
        """Listens on `port`, or on a free port if it is 0, and returns the address."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        return server_address(self._server)

    async def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def push(self) -> None:
        """Sends an unsolicited SendWeights message to all connected load balancers."""
        if self.group is None:
            return
        for writer in self._writers:
            self._send(writer, sasp.Message(sasp.MessageType.SEND_WEIGHTS, 0, groups=(self._weights(),)))

    async def wait_until(self, predicate: Callable[[], bool], timeout_s: float = EVENT_TIMEOUT_S) -> None:
        """Waits until the predicate is true; evaluates it after each connection and each message.

        Raises TimeoutError after `timeout_s`.
        """
        async with asyncio.timeout(timeout_s), self._changed:
            await self._changed.wait_for(predicate)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self._writers.add(writer)
        await self._notify()
        decoder = sasp.MessageReader()
        try:
            while data := await reader.read(limits.READ_SIZE_BYTES):
                for message in decoder.feed(data):
                    self._reply(writer, message)
                await self._notify()
        except (ConnectionError, AdviceError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _reply(self, writer: asyncio.StreamWriter, message: sasp.Message) -> None:
        self.received_types.append(message.message_type)
        for group in message.groups:
            if isinstance(group, sasp.GroupOfEntries):
                is_registration = message.message_type == sasp.MessageType.REGISTRATION_REQUEST
                self._update_members(group, is_registration)
        groups: tuple[sasp.GroupOfEntries, ...] = ()
        interval_s = 0
        if message.message_type == sasp.MessageType.GET_WEIGHTS_REQUEST:
            interval_s = POLLING_INTERVAL_S
            groups = (self._weights(),) if self.group else ()
        reply_type = sasp.REPLY_TYPES[message.message_type]
        reply = sasp.Message(reply_type, message.message_id, interval_s=interval_s, groups=groups)
        self._send(writer, reply)

    def _update_members(self, group: sasp.GroupOfEntries, is_registration: bool) -> None:
        self.group = group.group
        for member in group.entries:
            assert isinstance(member, sasp.MemberData)
            if is_registration:
                self.members[member] = None
            else:
                self.members.pop(member, None)

    def _weights(self) -> sasp.GroupOfEntries:
        assert self.group is not None
        members = list(self.members)
        self.random.shuffle(members)
        weights = tuple(sasp.WeightEntry(member, 0, self.flags, self.weight_of(member)) for member in members)
        return sasp.GroupOfEntries(self.group, weights)

    def _send(self, writer: asyncio.StreamWriter, message: sasp.Message) -> None:
        data = sasp.encode_message(message)
        half = data[: len(data) // 2]
        if self.mode == AdvisorMode.HONEST:
            writer.write(data)
        elif self.mode == AdvisorMode.INVALID_BYTES:
            writer.write(random.Random(INVALID_BYTES_SEED).randbytes(INVALID_BYTES_COUNT))
        elif self.mode == AdvisorMode.DISCONNECT:
            writer.write(half)
            writer.close()
        elif self.mode == AdvisorMode.PARTIAL_MESSAGE:
            writer.write(half)
            self.mode = AdvisorMode.SILENT


class DfpAdvisor:
    """A DFP agent that sends a report every `report_interval_s`.

    `hosts` returns the host preferences to report, by port.
    """

    def __init__(
        self,
        hosts: Callable[[], dict[int, tuple[dfp.HostPreference, ...]]],
        secret: tuple[int, bytes] | None = None,
    ) -> None:
        self.hosts = hosts
        self.secret = secret
        self.report_interval_s = 0.5
        self.is_silent = False
        self.keep_alive_s: int | None = None  # the last value received from the DFP manager
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listens on a free port and returns the address."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return server_address(self._server)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._send_reports(writer))
        self._tasks.add(task)
        decoder = dfp.MessageReader(dict([self.secret]) if self.secret else None)
        with suppress(ConnectionError, AdviceError):
            while data := await reader.read(limits.READ_SIZE_BYTES):
                for message in decoder.feed(data):
                    if message.keep_alive_s is not None:
                        self.keep_alive_s = message.keep_alive_s
        task.cancel()
        self._tasks.discard(task)
        writer.close()

    async def _send_reports(self, writer: asyncio.StreamWriter) -> None:
        while True:
            if not self.is_silent:
                loads = tuple(
                    dfp.Load(port, TCP_PROTOCOL_NUMBER, hosts) for port, hosts in self.hosts().items()
                )
                report = dfp.Message(dfp.MessageType.PREFERENCE_INFORMATION, loads)
                writer.write(dfp.encode_message(report, self.secret))
            await asyncio.sleep(self.report_interval_s)

    async def close(self) -> None:
        """Stops listening and sending reports."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
