"""Simulated advisors and load balancers for SASP and DFP.

Advisors stall, close in the middle of a message, or send wrong weights and invalid bytes on command.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from enum import StrEnum

from ..weight_advice import dfp, sasp
from ..weight_advice.errors import AdviceError

WeightFunction = Callable[[sasp.MemberData], int]  # a member's weight as this advisor has it
ANSWER_TIMEOUT_S = 15.0
EVENT_TIMEOUT_S = 20.0
READ_SIZE_BYTES = 65_536
LOOPBACK = "127.0.0.1"
GARBAGE_SEED = 3  # without unit
GARBAGE_SIZE_BYTES = 64


def server_address(server: asyncio.Server) -> str:
    """Host and port of a listening server."""
    return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"


class AdvisorMode(StrEnum):
    """How an advisor answers."""

    HONEST = "honest"
    STALL = "stall"  # half a message, then nothing
    CUT = "cut"  # half a message, then the end of the connection
    GARBLE = "garble"  # bytes that are no message
    SILENT = "silent"  # reads on and answers nothing


class SaspAdvisor:
    """A SASP workload manager whose members have the weights that `weight_of` gives."""

    def __init__(self, weight_of: WeightFunction, seed: int = 7) -> None:
        self.weight_of = weight_of
        self.mode = AdvisorMode.HONEST
        self.flags = sasp.CONTACT_SUCCESS_FLAG | sasp.CONFIDENT_FLAG
        self.members: dict[sasp.MemberData, None] = {}
        self.group: sasp.GroupData | None = None
        self.received_kinds: list[int] = []  # of messages
        self.connection_count = 0
        self.random = random.Random(seed)  # reorders the members of each message
        self._changed = asyncio.Condition()  # notified after each connection and message
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> str:
        """Listens on a port, or on a free one; gives the address."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        return server_address(self._server)

    async def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def push(self) -> None:
        """Sends the weights to all connected balancers without a request."""
        if self.group is None:
            return
        for writer in self._writers:
            self._send(writer, sasp.Message(sasp.MessageType.SEND_WEIGHTS, 0, groups=(self._weights(),)))

    async def wait_until(self, predicate: Callable[[], bool], timeout_s: float = EVENT_TIMEOUT_S) -> None:
        """Waits until the predicate holds; it is evaluated after each connection and message."""
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
            while data := await reader.read(READ_SIZE_BYTES):
                for message in decoder.feed(data):
                    self._answer(writer, message)
                await self._notify()
        except (ConnectionError, AdviceError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer(self, writer: asyncio.StreamWriter, message: sasp.Message) -> None:
        self.received_kinds.append(message.message_type)
        for group in message.groups:
            if isinstance(group, sasp.GroupOfEntries):
                self._change_members(
                    group, is_registration=message.message_type == sasp.MessageType.REGISTRATION_REQUEST
                )
        groups: tuple[sasp.GroupOfEntries, ...] = ()
        interval = 0
        if message.message_type == sasp.MessageType.GET_WEIGHTS_REQUEST:
            interval = 1
            groups = (self._weights(),) if self.group else ()
        reply_kind = sasp.REPLY_TYPES[message.message_type]
        self._send(writer, sasp.Message(reply_kind, message.message_id, interval_s=interval, groups=groups))

    def _change_members(self, group: sasp.GroupOfEntries, is_registration: bool) -> None:
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
        elif self.mode == AdvisorMode.GARBLE:
            writer.write(random.Random(GARBAGE_SEED).randbytes(GARBAGE_SIZE_BYTES))
        elif self.mode == AdvisorMode.CUT:
            writer.write(half)
            writer.close()
        elif self.mode == AdvisorMode.STALL:
            writer.write(half)
            self.mode = AdvisorMode.SILENT


class DfpAdvisor:
    """A DFP agent that reports `hosts` by port each `report_interval_s`."""

    def __init__(
        self,
        hosts: Callable[[], dict[int, tuple[dfp.HostPreference, ...]]],
        secret: tuple[int, bytes] | None = None,
    ) -> None:
        self.hosts = hosts
        self.secret = secret
        self.report_interval_s = 0.5
        self.is_silent = False
        self.keep_alive: int | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listens on a free port; gives the address."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return server_address(self._server)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._report(writer))
        self._tasks.add(task)
        decoder = dfp.MessageReader(dict([self.secret]) if self.secret else None)
        with suppress(ConnectionError, AdviceError):
            while data := await reader.read(READ_SIZE_BYTES):
                for message in decoder.feed(data):
                    if message.keep_alive_s is not None:
                        self.keep_alive = message.keep_alive_s
        task.cancel()
        self._tasks.discard(task)
        writer.close()

    async def _report(self, writer: asyncio.StreamWriter) -> None:
        while True:
            if not self.is_silent:
                loads = tuple(dfp.Load(port, 6, hosts) for port, hosts in self.hosts().items())
                writer.write(
                    dfp.encode_message(
                        dfp.Message(dfp.MessageType.PREFERENCE_INFORMATION, loads), self.secret
                    )
                )
            await asyncio.sleep(self.report_interval_s)

    async def close(self) -> None:
        """Stops listening and reporting."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


class SaspBalancer:
    """A SASP load balancer; `pushed` holds the messages that it received without a request."""

    def __init__(self, uid: bytes = b"lb-1") -> None:
        self.uid = uid
        self.pushed: asyncio.Queue[sasp.Message] = asyncio.Queue()
        self.writer: asyncio.StreamWriter | None = None
        self._number = 0
        self._answers: dict[int, asyncio.Future[sasp.Message]] = {}
        self._task: asyncio.Task[None] | None = None

    async def connect(self, port: int, **options: object) -> None:
        """Connects to a server on loopback; `options` are those of `asyncio.open_connection`."""
        reader, self.writer = await asyncio.open_connection(LOOPBACK, port, **options)  # type: ignore[arg-type]
        self._task = asyncio.create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        decoder = sasp.MessageReader()
        with suppress(ConnectionError):
            while data := await reader.read(READ_SIZE_BYTES):
                for message in decoder.feed(data):
                    answer = self._answers.pop(message.message_id, None)
                    if answer is not None and not answer.done():
                        answer.set_result(message)
                    else:
                        self.pushed.put_nowait(message)
        for answer in self._answers.values():
            if not answer.done():
                answer.set_exception(ConnectionResetError())

    async def ask(self, kind: int, **fields: object) -> sasp.Message:
        """Sends a request and waits for the reply to it."""
        assert self.writer is not None
        self._number += 1
        answer: asyncio.Future[sasp.Message] = asyncio.get_running_loop().create_future()
        self._answers[self._number] = answer
        self.writer.write(sasp.encode_message(sasp.Message(kind, self._number, **fields)))  # type: ignore[arg-type]
        return await asyncio.wait_for(answer, ANSWER_TIMEOUT_S)

    def group(
        self, name: bytes, *members: sasp.MemberData | sasp.WeightEntry | sasp.MemberStateInstance
    ) -> sasp.GroupOfEntries:
        """A group of this balancer with the given entries."""
        return sasp.GroupOfEntries(sasp.GroupData(self.uid, name), members)

    async def register(self, name: bytes, *members: sasp.MemberData) -> int:
        """Registers members of a group; gives the response code."""
        reply = await self.ask(
            sasp.MessageType.REGISTRATION_REQUEST,
            flags=sasp.LOAD_BALANCER_FLAG,
            groups=(self.group(name, *members),),
        )
        return reply.response_code

    async def weights(self, *names: bytes) -> dict[bytes, sasp.WeightEntry]:
        """Requests the weights of groups; gives them by the members' labels."""
        groups = tuple(sasp.GroupData(self.uid, name) for name in names)
        reply = await self.ask(sasp.MessageType.GET_WEIGHTS_REQUEST, groups=groups)
        assert reply.response_code == sasp.ResponseCode.SUCCESSFUL, hex(reply.response_code)
        return weights_by_label(reply)

    async def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
        if self._task is not None:
            self._task.cancel()


def weights_by_label(message: sasp.Message) -> dict[bytes, sasp.WeightEntry]:
    """The weight entries of a message by their members' labels."""
    weights: dict[bytes, sasp.WeightEntry] = {}
    for group in message.groups:
        if not isinstance(group, sasp.GroupOfEntries):
            continue
        for entry in group.entries:
            assert isinstance(entry, sasp.WeightEntry)
            weights[entry.member.label] = entry
    return weights


def count_reports(messages: list[dfp.Message]) -> int:
    """The number of messages that report weights."""
    return sum(message.message_type == dfp.MessageType.PREFERENCE_INFORMATION for message in messages)


async def read_dfp_reports(
    port: int, count: int = 1, secret: tuple[int, bytes] | None = None
) -> list[dfp.Message]:
    """Acts as a DFP manager: requests a report each second, and disconnects after `count` of them."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    decoder = dfp.MessageReader(dict([secret]) if secret else None)
    messages: list[dfp.Message] = []
    try:
        parameters = dfp.Message(dfp.MessageType.DFP_PARAMETERS, keep_alive_s=2)
        writer.write(dfp.encode_message(parameters, secret))
        writer.write(dfp.encode_message(dfp.Message(dfp.MessageType.BIND_ID_REQUEST), secret))
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while count_reports(messages) < count:
                data = await reader.read(READ_SIZE_BYTES)
                if not data:
                    raise ConnectionResetError("ended by the agent")
                messages += decoder.feed(data)
    finally:
        writer.close()
    return messages
