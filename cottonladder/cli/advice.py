"""`advice`: what an advisor says of its members, and whether it speaks its protocol at all."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict

import click

from ..config.errors import InputError
from ..config.fields import address
from ..weight_advice.query import MemberWeight, query_dfp, query_sasp
from .errors import CommandError
from .options import AS_JSON
from .output import print_table

QUERY_TIMEOUT_S = 5.0  # for the whole exchange
MILLISECONDS_PER_S = 1000.0
COLUMNS = ("label", "member", "weight", "flags")
HOST_PORT = click.argument("host_port", metavar="HOST:PORT")
PROTOCOL = click.option("--protocol", type=click.Choice(["sasp", "dfp"]), default="sasp", show_default=True)
MEMBERS = click.option(
    "--member", "members", multiple=True, metavar="[LABEL@]HOST:PORT", help="For SASP: whom to ask about."
)
Query = Callable[[str, int], Awaitable[list[MemberWeight]]]


class NoAnswer(Exception):
    """An advisor gave nothing that can be read; the reason is one line."""


@click.group()
def advice() -> None:
    """Ask an advisor for its weights, or whether it answers at all."""


@advice.command()
@HOST_PORT
@PROTOCOL
@MEMBERS
@AS_JSON
def show(host_port: str, protocol: str, members: tuple[str, ...], as_json: bool) -> None:
    """Show an advisor's weights; status 1 if it gives nothing that can be read."""

    async def query(host: str, port: int) -> list[MemberWeight]:
        if protocol == "dfp":
            return await query_dfp(host, port)
        return await query_sasp(host, port, members)

    try:
        weights = _run(host_port, query)
    except NoAnswer as exc:
        raise CommandError(f"{host_port}: {exc}") from exc
    if as_json:
        click.echo(json.dumps([asdict(weight) for weight in weights]))
        return
    print_table([COLUMNS, *((row.label, row.place, row.weight, row.flags) for row in weights)])


@advice.command()
@HOST_PORT
@PROTOCOL
@AS_JSON
def probe(host_port: str, protocol: str, as_json: bool) -> None:
    """Ask whether an advisor speaks the protocol, and how long its answer takes."""

    async def query(host: str, port: int) -> list[MemberWeight]:
        if protocol == "dfp":
            return await query_dfp(host, port, first_answer=True)
        return await query_sasp(host, port, [])

    started_at = time.monotonic()
    reason = ""
    try:
        _run(host_port, query)
    except NoAnswer as exc:
        reason = str(exc)
    duration_ms = round((time.monotonic() - started_at) * MILLISECONDS_PER_S, 1)
    if as_json:
        speaks = not reason
        answer = {"at": host_port, "protocol": protocol, "speaks": speaks, "ms": duration_ms, "why": reason}
        click.echo(json.dumps(answer))
    elif reason:
        raise CommandError(f"{host_port}: {reason}")
    else:
        click.echo(f"{host_port}: speaks {protocol}, {duration_ms} ms")
    if reason:
        click.get_current_context().exit(CommandError.exit_code)


def _run(host_port: str, query: Query) -> list[MemberWeight]:
    """Runs a query within the timeout; raises NoAnswer with the reason if it gives nothing."""

    async def bounded() -> list[MemberWeight]:
        host, port = address({"where": host_port}, "where", "advice")
        async with asyncio.timeout(QUERY_TIMEOUT_S):
            return await query(host, port)

    try:
        return asyncio.run(bounded())
    except TimeoutError as exc:
        raise NoAnswer(f"no answer within {QUERY_TIMEOUT_S:g} s") from exc
    except (OSError, InputError) as exc:
        raise NoAnswer(str(exc) or type(exc).__name__) from exc
