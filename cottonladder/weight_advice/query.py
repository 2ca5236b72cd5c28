"""One question to an advisor, for the command line: connect, ask for weights, disconnect."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from ..config.errors import InputError
from ..config.fields import address
from . import dfp, sasp
from .tlv import AdviceError, parse_address

READ_SIZE_BYTES = 65_536
BALANCER_UID = b"cottonladder-show"
BALANCER_HEALTH = 0x7F  # the highest that SASP knows
TCP = 6  # IP's number of the protocol
DFP_KEEP_ALIVE_S = 1
FLAG_NAMES = {
    sasp.CONTACT_SUCCESS_FLAG: "contact",
    sasp.QUIESCE_FLAG: "quiesced",
    sasp.REGISTRATION_FLAG: "by itself",
    sasp.CONFIDENT_FLAG: "confident",
}


@dataclass(frozen=True, slots=True)
class MemberWeight:
    """What an advisor says of one member; `place` is its host:port."""

    label: str
    place: str
    weight: int
    flags: str


def parse_member(text: str) -> sasp.MemberData:
    """Reads `[LABEL@]HOST:PORT`, where the host is a literal address."""
    label, _, place = text.rpartition("@")
    host, port = address({"member": place}, "member", "--member")
    ip_address = parse_address(host.strip("[]"))
    if ip_address is None:
        raise InputError(f"--member: {host} is no literal address")
    return sasp.MemberData(TCP, port, ip_address, label.encode())


class SaspQuery:
    """One SASP connection on which requests are answered one after another."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._decoder = sasp.MessageReader()
        self._number = 0

    async def ask(self, message_type: int, **fields: object) -> sasp.Message:
        """Sends a request and waits for its reply; an error code in it is an AdviceError."""
        self._number += 1
        self._writer.write(sasp.encode_message(sasp.Message(message_type, self._number, **fields)))  # type: ignore[arg-type]
        while True:
            for message in self._decoder.feed(await _read_some(self._reader)):
                if (
                    message.message_id != self._number
                    or message.message_type != sasp.REPLY_TYPES[message_type]
                ):
                    continue
                if message.response_code != sasp.SUCCESSFUL:
                    code = message.response_code
                    raise AdviceError(f"refused: {sasp.RESPONSE_TEXTS.get(code, hex(code))}")
                return message


async def _read_some(reader: asyncio.StreamReader) -> bytes:
    data = await reader.read(READ_SIZE_BYTES)
    if not data:
        raise AdviceError("ended before its answer")
    return data


async def query_sasp(host: str, port: int, members: Sequence[str]) -> list[MemberWeight]:
    """Registers members, each `[LABEL@]HOST:PORT`, as a balancer and asks for their weights; without members
    it only greets."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        query = SaspQuery(reader, writer)
        await query.ask(sasp.SET_LB_STATE_REQUEST, lb_uid=BALANCER_UID, lb_health=BALANCER_HEALTH)
        if not members:
            return []
        group = sasp.GroupData(BALANCER_UID, b"shown")
        registered = sasp.GroupOfEntries(group, tuple(parse_member(text) for text in members))
        await query.ask(sasp.REGISTRATION_REQUEST, flags=sasp.LOAD_BALANCER_FLAG, groups=(registered,))
        reply = await query.ask(sasp.GET_WEIGHTS_REQUEST, groups=(group,))
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


async def query_dfp(host: str, port: int, first_answer: bool = False) -> list[MemberWeight]:
    """Connects as a DFP manager and waits for a report; with `first_answer` any message is enough."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(dfp.encode_message(dfp.Message(dfp.DFP_PARAMETERS, keep_alive_s=DFP_KEEP_ALIVE_S)))
        writer.write(dfp.encode_message(dfp.Message(dfp.BIND_ID_REQUEST)))
        decoder = dfp.MessageReader()
        while True:
            for message in decoder.feed(await _read_some(reader)):
                if message.message_type == dfp.PREFERENCE_INFORMATION:
                    return _dfp_weights(message)
                if first_answer:
                    return []
    finally:
        writer.close()


def _dfp_weights(report: dfp.Message) -> list[MemberWeight]:
    return [
        MemberWeight("", f"{host.address}:{load.port}", host.weight, f"BindID {host.bind_id}")
        for load in report.loads
        for host in load.hosts
    ]
