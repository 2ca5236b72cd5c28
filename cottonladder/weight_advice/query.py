"""Single query of an advisor, for the command line: connects, requests weights, disconnects."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from ..config.described_value import describe_value
from ..config.errors import InputError
from ..config.fields import parse_host_port
from . import dfp, limits, sasp
from .errors import ConnectionClosedError, RequestRejectedError
from .sasp import MessageType, ResponseCode
from .tlv import TCP_PROTOCOL_NUMBER, parse_address

BALANCER_UID = b"cottonladder-show"
GROUP_NAME = b"shown"
DFP_KEEP_ALIVE_S = 1
FLAG_NAMES = {
    sasp.CONTACT_SUCCESS_FLAG: "contact",
    sasp.QUIESCE_FLAG: "quiesced",
    sasp.REGISTRATION_FLAG: "by itself",
    sasp.CONFIDENT_FLAG: "confident",
}


@dataclass(frozen=True, slots=True)
class MemberWeight:
    """An advisor's weight of one member; `place` is the member's host:port.

    The names of the fields are the keys of the command's JSON output.
    """

    label: str
    place: str
    weight: int
    flags: str


def parse_member(text: str) -> sasp.MemberData:
    """Parses `[LABEL@]HOST:PORT`; raises InputError unless the host is an IP address."""
    label, _, host_port = text.rpartition("@")
    host, port = parse_host_port(host_port, "member", "--member")
    ip_address = parse_address(host.strip("[]"))
    if ip_address is None:
        raise InputError(f"--member: expected an IP address as the host, got {describe_value(host)}")
    return sasp.MemberData(TCP_PROTOCOL_NUMBER, port, ip_address, label.encode())


class SaspQuery:
    """A SASP connection that sends one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._decoder = sasp.MessageReader()
        self._message_id = 0

    async def request(self, message_type: MessageType, **fields: object) -> sasp.Message:
        """Sends a request and waits for its reply; raises RequestRejectedError unless it reports success."""
        self._message_id += 1
        request = sasp.Message(message_type, self._message_id, **fields)  # type: ignore[arg-type]
        self._writer.write(sasp.encode_message(request))
        while True:
            for message in self._decoder.feed(await _read_chunk(self._reader)):
                is_reply = message.message_type == sasp.REPLY_TYPES[message_type]
                if not is_reply or message.message_id != self._message_id:
                    continue
                if message.response_code != ResponseCode.SUCCESSFUL:
                    reason = sasp.response_text(message.response_code)
                    name = f"SASP {sasp.MESSAGE_NAMES[message_type]}"
                    raise RequestRejectedError(name, message.response_code, reason)
                return message


async def _read_chunk(reader: asyncio.StreamReader) -> bytes:
    data = await reader.read(limits.READ_SIZE_BYTES)
    if not data:
        raise ConnectionClosedError
    return data


async def query_sasp(host: str, port: int, members: Sequence[str]) -> list[MemberWeight]:
    """Registers members, each `[LABEL@]HOST:PORT`, as a load balancer does, and requests their weights.

    Without members it only checks that the advisor accepts a Set LB State Request.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        query = SaspQuery(reader, writer)
        await query.request(
            MessageType.SET_LB_STATE_REQUEST, lb_uid=BALANCER_UID, lb_health=sasp.MAX_LB_HEALTH
        )
        if not members:
            return []
        group = sasp.GroupData(BALANCER_UID, GROUP_NAME)
        registered = sasp.GroupOfEntries(group, tuple(parse_member(text) for text in members))
        await query.request(
            MessageType.REGISTRATION_REQUEST, flags=sasp.LOAD_BALANCER_FLAG, groups=(registered,)
        )
        reply = await query.request(MessageType.GET_WEIGHTS_REQUEST, groups=(group,))
        return _sasp_weights(reply)
    finally:
        writer.close()


def _sasp_weights(reply: sasp.Message) -> list[MemberWeight]:
    weights = []
    for group in reply.groups:
        if not isinstance(group, sasp.GroupOfEntries):
            continue
        for entry in group.entries:
            assert isinstance(entry, sasp.WeightEntry)
            label = entry.member.label.decode(errors="replace")
            place = f"{entry.member.address}:{entry.member.port}"
            flags = ", ".join(name for bit, name in FLAG_NAMES.items() if entry.flags & bit)
            weights.append(MemberWeight(label, place, entry.weight, flags))
    return weights


async def query_dfp(host: str, port: int, accept_any_message: bool = False) -> list[MemberWeight]:
    """Connects as a DFP manager and returns the weights of the first report.

    With `accept_any_message` it returns after any first message, without weights if that is not a report.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(
            dfp.encode_message(dfp.Message(dfp.MessageType.DFP_PARAMETERS, keep_alive_s=DFP_KEEP_ALIVE_S))
        )
        writer.write(dfp.encode_message(dfp.Message(dfp.MessageType.BIND_ID_REQUEST)))
        decoder = dfp.MessageReader()
        while True:
            for message in decoder.feed(await _read_chunk(reader)):
                if message.message_type == dfp.MessageType.PREFERENCE_INFORMATION:
                    return _dfp_weights(message)
                if accept_any_message:
                    return []
    finally:
        writer.close()


def _dfp_weights(report: dfp.Message) -> list[MemberWeight]:
    return [
        MemberWeight("", f"{host.address}:{load.port}", host.weight, f"BindID {host.bind_id}")
        for load in report.loads
        for host in load.hosts
    ]
