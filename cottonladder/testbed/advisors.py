"""Stand-in advisors and balancers for SASP and DFP, scripted to stall, lie, flap, reorder and cut bytes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from ..weight_advice import dfp, sasp
from ..weight_advice.tlv import AdviceError

WeightFunction = Callable[[sasp.MemberData], int]  # a member's weight as this advisor has it
ANSWER_TIMEOUT_S = 15.0  # s for any answer


class SaspAdvisor:
    """A workload manager that says what `words` gives.  `mode`: honest, stall (half a message, then nothing),
    cut (half a message, then the end), garble (bytes that are none), silent (reads on, answers nothing)."""

    def __init__(self, weight_of: WeightFunction, seed: int = 7) -> None:
        self.weight_of, self.mode = weight_of, "honest"
        self.flags = sasp.CONTACT_SUCCESS_FLAG | sasp.CONFIDENT_FLAG
        self.members: dict[sasp.MemberData, None] = {}
        self.group: sasp.GroupData | None = None
        self.received_kinds: list[int] = []  # kinds of messages
        self.connection_count = 0
        self.random = random.Random(seed)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self._writers.add(writer)
        come = sasp.MessageReader()
        try:
            while data := await reader.read(65_536):
                for message in come.feed(data):
                    self._answer(writer, message)
        except (ConnectionError, AdviceError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer(self, writer: asyncio.StreamWriter, m: sasp.Message) -> None:
        self.received_kinds.append(m.message_type)
        for g in m.groups:
            if isinstance(g, sasp.GroupOfEntries):
                self.group = g.group
                for member in g.entries:
                    assert isinstance(member, sasp.MemberData)
                    if m.message_type == sasp.REGISTRATION_REQUEST:
                        self.members[member] = None
                    else:
                        self.members.pop(member, None)
        groups = (self._weights(),) if m.message_type == sasp.GET_WEIGHTS_REQUEST and self.group else ()
        interval = 1 if m.message_type == sasp.GET_WEIGHTS_REQUEST else 0
        self._say(
            writer,
            sasp.Message(sasp.REPLY_TYPES[m.message_type], m.message_id, interval_s=interval, groups=groups),
        )

    def _weights(self) -> sasp.GroupOfEntries:
        assert self.group is not None
        members = list(self.members)
        self.random.shuffle(members)
        entries = tuple(sasp.WeightEntry(m, 0, self.flags, self.weight_of(m)) for m in members)
        return sasp.GroupOfEntries(self.group, entries)

    def _say(self, writer: asyncio.StreamWriter, m: sasp.Message) -> None:
        data = sasp.encode_message(m)
        if self.mode == "silent":
            return
        if self.mode in ("stall", "cut"):
            writer.write(data[: len(data) // 2])
            if self.mode == "cut":
                writer.close()
            else:
                self.mode = "silent"
        else:
            writer.write(random.Random(3).randbytes(64) if self.mode == "garble" else data)

    def push(self) -> None:
        for writer in self._writers:
            if self.group is not None:
                self._say(writer, sasp.Message(sasp.SEND_WEIGHTS, 0, groups=(self._weights(),)))

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class DfpAdvisor:
    """An agent that reports `hosts` by port each `every` seconds."""

    def __init__(
        self,
        hosts: Callable[[], dict[int, tuple[dfp.HostPreference, ...]]],
        secret: tuple[int, bytes] | None = None,
    ) -> None:
        self.hosts, self.report_interval_s, self.secret, self.is_silent = hosts, 0.5, secret, False
        self.keep_alive: int | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._report(writer))
        self._tasks.add(task)
        come = dfp.MessageReader(dict([self.secret]) if self.secret else None)
        with suppress(ConnectionError, AdviceError):
            while data := await reader.read(65_536):
                for m in come.feed(data):
                    self.keep_alive = m.keep_alive_s if m.keep_alive_s is not None else self.keep_alive
        task.cancel()
        self._tasks.discard(task)
        writer.close()

    async def _report(self, writer: asyncio.StreamWriter) -> None:
        while True:
            if not self.is_silent:
                loads = tuple(dfp.Load(port, 6, hosts) for port, hosts in self.hosts().items())
                writer.write(dfp.encode_message(dfp.Message(dfp.PREFERENCE_INFORMATION, loads), self.secret))
            await asyncio.sleep(self.report_interval_s)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


class SaspBalancer:
    """A balancer that asks us; what is pushed to it is kept by number 0."""

    def __init__(self, uid: bytes = b"lb-1") -> None:
        self.uid, self._number = uid, 0
        self.pushed: asyncio.Queue[sasp.Message] = asyncio.Queue()
        self._answers: dict[int, asyncio.Future[sasp.Message]] = {}
        self._task: asyncio.Task[None] | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, port: int, **more: object) -> None:
        reader, self.writer = await asyncio.open_connection("127.0.0.1", port, **more)  # type: ignore[arg-type]
        self._task = asyncio.create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        come = sasp.MessageReader()
        with suppress(ConnectionError):
            while data := await reader.read(65_536):
                for m in come.feed(data):
                    answer = self._answers.pop(m.message_id, None)
                    if answer is not None and not answer.done():
                        answer.set_result(m)
                    else:
                        self.pushed.put_nowait(m)
        for answer in self._answers.values():
            if not answer.done():
                answer.set_exception(ConnectionResetError())

    async def ask(self, kind: int, **fields: object) -> sasp.Message:
        assert self.writer is not None
        self._number += 1
        answer: asyncio.Future[sasp.Message] = asyncio.get_running_loop().create_future()
        self._answers[self._number] = answer
        self.writer.write(sasp.encode_message(sasp.Message(kind, self._number, **fields)))  # type: ignore[arg-type]
        return await asyncio.wait_for(answer, ANSWER_TIMEOUT_S)

    def group(
        self, name: bytes, *members: sasp.MemberData | sasp.WeightEntry | sasp.MemberStateInstance
    ) -> sasp.GroupOfEntries:
        return sasp.GroupOfEntries(sasp.GroupData(self.uid, name), members)

    async def register(self, name: bytes, *members: sasp.MemberData) -> int:
        reply = await self.ask(
            sasp.REGISTRATION_REQUEST, flags=sasp.LOAD_BALANCER_FLAG, groups=(self.group(name, *members),)
        )
        return reply.response_code

    async def weights(self, *names: bytes) -> dict[bytes, sasp.WeightEntry]:
        """By the member's label."""
        groups = tuple(sasp.GroupData(self.uid, name) for name in names)
        reply = await self.ask(sasp.GET_WEIGHTS_REQUEST, groups=groups)
        assert reply.response_code == sasp.SUCCESSFUL, hex(reply.response_code)
        return weights_by_label(reply)

    async def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        if self._task is not None:
            self._task.cancel()


def weights_by_label(m: sasp.Message) -> dict[bytes, sasp.WeightEntry]:
    out: dict[bytes, sasp.WeightEntry] = {}
    for g in m.groups:
        for entry in g.entries if isinstance(g, sasp.GroupOfEntries) else ():
            assert isinstance(entry, sasp.WeightEntry)
            out[entry.member.label] = entry
    return out


async def read_dfp_reports(
    port: int, count: int = 1, secret: tuple[int, bytes] | None = None
) -> list[dfp.Message]:
    """A DFP manager that connects, asks for a report each second, and leaves after so many of them."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(dfp.encode_message(dfp.Message(dfp.DFP_PARAMETERS, keep_alive_s=2), secret))
    writer.write(dfp.encode_message(dfp.Message(dfp.BIND_ID_REQUEST), secret))
    come, out = dfp.MessageReader(dict([secret]) if secret else None), list[dfp.Message]()
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while sum(m.message_type == dfp.PREFERENCE_INFORMATION for m in out) < count:
            data = await reader.read(65_536)
            if not data:
                raise ConnectionResetError("ended by the agent")
            out += come.feed(data)
    writer.close()
    return out
