"""`advice show` and `advice probe`: one connection to an advisor, a few messages, a table or JSON."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import TypeVar

import click

from ..config.errors import InputError
from ..config.fields import address
from ..weight_advice import dfp, sasp
from ..weight_advice.tlv import AdviceError, parse_address

WAIT = 5.0  # s for the whole of it
UID = b"cottonladder-show"
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Row:
    label: str
    place: str
    weight: int
    flags: str


def member(text: str) -> sasp.MemberData:
    """`[LABEL@]HOST:PORT`."""
    label, _, place = text.rpartition("@")
    host, port = address({"member": place}, "member", "--member")
    found = parse_address(host.strip("[]"))
    if found is None:
        raise InputError(f"--member: {host} is no literal address")
    return sasp.MemberData(6, port, found, label.encode())


async def _sasp(host: str, port: int, members: tuple[str, ...]) -> list[Row]:
    reader, writer = await asyncio.open_connection(host, port)
    come, number = sasp.MessageReader(), 0

    async def ask(kind: int, **fields: object) -> sasp.Message:
        nonlocal number
        number += 1
        writer.write(sasp.encode_message(sasp.Message(kind, number, **fields)))  # type: ignore[arg-type]
        while True:
            data = await reader.read(65_536)
            if not data:
                raise AdviceError("ended before its answer")
            for m in come.feed(data):
                if m.message_id == number and m.message_type == sasp.REPLY_TYPES[kind]:
                    if m.response_code != sasp.SUCCESSFUL:
                        raise AdviceError(
                            f"refused: {sasp.RESPONSE_TEXTS.get(m.response_code, hex(m.response_code))}"
                        )
                    return m

    try:
        group = sasp.GroupData(UID, b"shown")
        await ask(sasp.SET_LB_STATE_REQUEST, lb_uid=UID, lb_health=0x7F)
        if not members:
            return []
        rows = tuple(member(text) for text in members)
        await ask(
            sasp.REGISTRATION_REQUEST,
            flags=sasp.LOAD_BALANCER_FLAG,
            groups=(sasp.GroupOfEntries(group, rows),),
        )
        reply = await ask(sasp.GET_WEIGHTS_REQUEST, groups=(group,))
        out: list[Row] = []
        for g in reply.groups:
            for e in g.entries if isinstance(g, sasp.GroupOfEntries) else ():
                assert isinstance(e, sasp.WeightEntry)
                names = {
                    sasp.CONTACT_SUCCESS_FLAG: "contact",
                    sasp.QUIESCE_FLAG: "quiesced",
                    sasp.REGISTRATION_FLAG: "by itself",
                    sasp.CONFIDENT_FLAG: "confident",
                }
                flags = ", ".join(name for bit, name in names.items() if e.flags & bit)
                place = f"{e.member.address}:{e.member.port}"
                out.append(Row(e.member.label.decode(errors="replace"), place, e.weight, flags))
        return out
    finally:
        writer.close()


async def _dfp(host: str, port: int, once: bool) -> list[Row]:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(dfp.encode_message(dfp.Message(dfp.DFP_PARAMETERS, keep_alive_s=1)))
        writer.write(dfp.encode_message(dfp.Message(dfp.BIND_ID_REQUEST)))
        come = dfp.MessageReader()
        while True:
            data = await reader.read(65_536)
            if not data:
                raise AdviceError("ended before its answer")
            for m in come.feed(data):
                if m.message_type == dfp.PREFERENCE_INFORMATION:
                    hosts: list[tuple[IPv4Address, int, int, int]] = [
                        (h.address, load.port, h.bind_id, h.weight) for load in m.loads for h in load.hosts
                    ]
                    return [Row("", f"{a}:{p}", weight, f"BindID {bind}") for a, p, bind, weight in hosts]
                if once:
                    return []
    finally:
        writer.close()


def _run(where: str, call: Callable[[str, int], Awaitable[T]]) -> T | str:
    """What the call gives, or one line that says why it gave nothing."""

    async def bounded() -> T:
        host, port = address({"where": where}, "where", "advice")
        async with asyncio.timeout(WAIT):
            return await call(host, port)

    try:
        return asyncio.run(bounded())
    except TimeoutError:
        return f"no answer within {WAIT:g} s"
    except (OSError, InputError) as exc:
        return str(exc) or type(exc).__name__


def show(where: str, protocol: str, members: tuple[str, ...], as_json: bool) -> int:
    async def call(host: str, port: int) -> list[Row]:
        return await (_sasp(host, port, members) if protocol == "sasp" else _dfp(host, port, False))

    rows = _run(where, call)
    if isinstance(rows, str):
        click.echo(f"{where}: {rows}", err=True)
        return 1
    if as_json:
        click.echo(json.dumps([{name: getattr(row, name) for name in Row.__slots__} for row in rows]))
        return 0
    table = [
        ("label", "member", "weight", "flags"),
        *((r.label, r.place, str(r.weight), r.flags) for r in rows),
    ]
    widths = [max(len(row[n]) for row in table) for n in range(4)]
    for line in table:
        click.echo("  ".join(word.ljust(width) for word, width in zip(line, widths, strict=True)).rstrip())
    return 0


def probe(where: str, protocol: str, as_json: bool) -> int:
    begun = time.monotonic()

    async def call(host: str, port: int) -> list[Row]:
        return await (_sasp(host, port, ()) if protocol == "sasp" else _dfp(host, port, True))

    said = _run(where, call)
    ms = round((time.monotonic() - begun) * 1000.0, 1)
    good = not isinstance(said, str)
    if as_json:
        click.echo(json.dumps({"at": where, "protocol": protocol, "speaks": good, "ms": ms,
                               "why": "" if good else said}))  # fmt: skip
    else:
        click.echo(f"{where}: {f'speaks {protocol}, {ms} ms' if good else said}", err=not good)
    return 0 if good else 1
