"""One question to an advisor, for the command line: connect, ask for weights, disconnect."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from ..config.errors import InputError
from ..config.fields import address
from . import dfp, sasp
from .tlv import AdviceError, address_of

READ_SIZE_BYTES = 65_536
BALANCER_UID = b"cottonladder-show"
BALANCER_HEALTH = 0x7F  # the highest that SASP knows
TCP = 6  # IP's number of the protocol
DFP_KEEP_ALIVE_S = 1
FLAG_NAMES = {
    sasp.CONTACT: "contact",
    sasp.QUIESCED: "quiesced",
    sasp.BY_MEMBER: "by itself",
    sasp.CONFIDENT: "confident",
}


@dataclass(frozen=True, slots=True)
class MemberWeight:
    """What an advisor says of one member; `place` is its host:port."""

    label: str
    place: str
    weight: int
    flags: str


def parse_member(text: str) -> sasp.Member:
    """Reads `[LABEL@]HOST:PORT`, where the host is a literal address."""
    label, _, place = text.rpartition("@")
    host, port = address({"member": place}, "member", "--member")
    ip_address = address_of(host.strip("[]"))
    if ip_address is None:
        raise InputError(f"--member: {host} is no literal address")
    return sasp.Member(TCP, port, ip_address, label.encode())


class SaspQuery:
    """One SASP connection on which requests are answered one after another."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._decoder = sasp.Reader()
        self._number = 0

    async def ask(self, kind: int, **fields: object) -> sasp.Message:
        """Sends a request and waits for its reply; an error code in it is an AdviceError."""
        self._number += 1
        self._writer.write(sasp.write(sasp.Message(kind, self._number, **fields)))  # type: ignore[arg-type]
        while True:
            for message in self._decoder.feed(await _read_some(self._reader)):
                if message.number != self._number or message.kind != sasp.REPLIES[kind]:
                    continue
                if message.code != sasp.OK:
                    raise AdviceError(f"refused: {sasp.WORDS.get(message.code, hex(message.code))}")
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
        await query.ask(sasp.SET_BALANCER, uid=BALANCER_UID, health=BALANCER_HEALTH)
        if not members:
            return []
        group = sasp.Group(BALANCER_UID, b"shown")
        registered = sasp.Grouped(group, tuple(parse_member(text) for text in members))
        await query.ask(sasp.REGISTER, flags=sasp.BY_BALANCER, groups=(registered,))
        reply = await query.ask(sasp.GET_WEIGHTS, groups=(group,))
        return _sasp_weights(reply)
    finally:
        writer.close()


def _sasp_weights(reply: sasp.Message) -> list[MemberWeight]:
    weights = []
    for group in reply.groups:
        if not isinstance(group, sasp.Grouped):
            continue
        for entry in group.entries:
            assert isinstance(entry, sasp.Weight)
            label = entry.member.label.decode(errors="replace")
            place = f"{entry.member.address}:{entry.member.port}"
            flags = ", ".join(name for bit, name in FLAG_NAMES.items() if entry.flags & bit)
            weights.append(MemberWeight(label, place, entry.weight, flags))
    return weights


async def query_dfp(host: str, port: int, first_answer: bool = False) -> list[MemberWeight]:
    """Connects as a DFP manager and waits for a report; with `first_answer` any message is enough."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(dfp.write(dfp.Message(dfp.PARAMETERS, keep_alive=DFP_KEEP_ALIVE_S)))
        writer.write(dfp.write(dfp.Message(dfp.BIND_REQUEST)))
        decoder = dfp.Reader()
        while True:
            for message in decoder.feed(await _read_some(reader)):
                if message.kind == dfp.PREFERENCE:
                    return _dfp_weights(message)
                if first_answer:
                    return []
    finally:
        writer.close()


def _dfp_weights(report: dfp.Message) -> list[MemberWeight]:
    return [
        MemberWeight("", f"{host.address}:{load.port}", host.weight, f"BindID {host.bind}")
        for load in report.loads
        for host in load.hosts
    ]
