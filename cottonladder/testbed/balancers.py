"""A simulated SASP load balancer, and a DFP manager that reads the reports of an agent."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from ..weight_advice import dfp, limits, sasp
from .http_server import LOOPBACK

REPLY_TIMEOUT_S = 15.0
KEEP_ALIVE_S = 2  # a DFP agent must send a message at least this often


class SaspBalancer:
    """A SASP load balancer; `pushed` queues the messages that do not reply to a request."""

    def __init__(self, uid: bytes = b"lb-1") -> None:
        self.uid = uid
        self.pushed: asyncio.Queue[sasp.Message] = asyncio.Queue()
        self.writer: asyncio.StreamWriter | None = None
        self._last_message_id = 0
        self._replies: dict[int, asyncio.Future[sasp.Message]] = {}  # pending, by message id
        self._task: asyncio.Task[None] | None = None

    async def connect(self, port: int, **options: object) -> None:
        """Connects to a server on loopback; `options` are passed on to `asyncio.open_connection`."""
        reader, self.writer = await asyncio.open_connection(LOOPBACK, port, **options)  # type: ignore[arg-type]
        self._task = asyncio.create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        decoder = sasp.MessageReader()
        with suppress(ConnectionError):
            while data := await reader.read(limits.READ_SIZE_BYTES):
                for message in decoder.feed(data):
                    reply = self._replies.pop(message.message_id, None)
                    if reply is not None and not reply.done():
                        reply.set_result(message)
                    else:
                        self.pushed.put_nowait(message)
        for reply in self._replies.values():
            if not reply.done():
                reply.set_exception(ConnectionResetError())

    async def ask(self, message_type: int, **fields: object) -> sasp.Message:
        """Sends a request with the `fields` of its message type and returns the reply.

        Raises ConnectionResetError if the connection ends first, and TimeoutError after REPLY_TIMEOUT_S.
        """
        assert self.writer is not None
        self._last_message_id += 1
        reply: asyncio.Future[sasp.Message] = asyncio.get_running_loop().create_future()
        self._replies[self._last_message_id] = reply
        message = sasp.Message(message_type, self._last_message_id, **fields)  # type: ignore[arg-type]
        self.writer.write(sasp.encode_message(message))
        return await asyncio.wait_for(reply, REPLY_TIMEOUT_S)

    def group(
        self, name: bytes, *members: sasp.MemberData | sasp.WeightEntry | sasp.MemberStateInstance
    ) -> sasp.GroupOfEntries:
        """Returns a group of this load balancer with the given entries."""
        return sasp.GroupOfEntries(sasp.GroupData(self.uid, name), members)

    async def register(self, name: bytes, *members: sasp.MemberData) -> int:
        """Registers members of a group and returns the response code."""
        reply = await self.ask(
            sasp.MessageType.REGISTRATION_REQUEST,
            flags=sasp.LOAD_BALANCER_FLAG,
            groups=(self.group(name, *members),),
        )
        return reply.response_code

    async def weights(self, *names: bytes) -> dict[bytes, sasp.WeightEntry]:
        """Requests the weights of groups and returns the weight entries by member label."""
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
    """Returns the weight entries of a message by member label."""
    weights: dict[bytes, sasp.WeightEntry] = {}
    for group in message.groups:
        if not isinstance(group, sasp.GroupOfEntries):
            continue
        for entry in group.entries:
            assert isinstance(entry, sasp.WeightEntry)
            weights[entry.member.label] = entry
    return weights


def count_reports(messages: list[dfp.Message]) -> int:
    """Returns the number of messages that report weights."""
    return sum(message.message_type == dfp.MessageType.PREFERENCE_INFORMATION for message in messages)


async def read_dfp_reports(
    port: int, count: int = 1, secret: tuple[int, bytes] | None = None
) -> list[dfp.Message]:
    """Connects as a DFP manager, disconnects after `count` reports, and returns all received messages.

    The keep-alive time in its parameters, KEEP_ALIVE_S, bounds the interval of the agent's reports.  Raises
    ConnectionResetError if the agent closes the connection before it has sent `count` reports.
    """
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    decoder = dfp.MessageReader(dict([secret]) if secret else None)
    messages: list[dfp.Message] = []
    try:
        parameters = dfp.Message(dfp.MessageType.DFP_PARAMETERS, keep_alive_s=KEEP_ALIVE_S)
        writer.write(dfp.encode_message(parameters, secret))
        writer.write(dfp.encode_message(dfp.Message(dfp.MessageType.BIND_ID_REQUEST), secret))
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            while count_reports(messages) < count:
                data = await reader.read(limits.READ_SIZE_BYTES)
                if not data:
                    raise ConnectionResetError(
                        f"DFP agent at port {port}: expected {count} reports, "
                        f"received {count_reports(messages)} before the connection ended"
                    )
                messages += decoder.feed(data)
    finally:
        writer.close()
    return messages
