"""The `advice` commands, which query an advisor for its weights or test whether it answers."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Coroutine, Sequence
from dataclasses import asdict, dataclass

import click

from ..config.errors import InputError
from ..config.fields import MS_PER_S
from ..weight_advice.query import MemberWeight, query_dfp, query_sasp
from .errors import CommandError
from .options import json_option, parse_address_argument
from .output import print_table

QUERY_TIMEOUT_S = 5.0  # from connecting to the last answer
COLUMNS = ("label", "member", "weight", "flags")
HOST_PORT = click.argument("host_port", metavar="HOST:PORT")
PROTOCOL = click.option("--protocol", type=click.Choice(["sasp", "dfp"]), default="sasp", show_default=True)
MEMBERS = click.option(
    "--member",
    "members",
    multiple=True,
    metavar="[LABEL@]HOST:PORT",
    help="SASP only: a member whose weight to query.",
)
Query = Coroutine[object, object, list[MemberWeight]]


class NoAnswerError(Exception):
    """An advisor that gave no valid answer; the text is one line with the reason."""


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The duration of a query, and the reason why it failed, which is empty if it succeeded."""

    duration_ms: float
    failure_reason: str


@click.group()
def advice() -> None:
    """Query an advisor for its weights, or test whether it answers."""


@advice.command()
@HOST_PORT
@PROTOCOL
@MEMBERS
@json_option
def show(host_port: str, protocol: str, members: tuple[str, ...], as_json: bool) -> None:
    """Show an advisor's weights; exit with status 1 if it gives no valid answer."""
    try:
        weights = _run(_query_weights(host_port, protocol, members))
    except NoAnswerError as exc:
        raise CommandError(f"{host_port}: {exc}") from exc
    if as_json:
        click.echo(json.dumps([asdict(weight) for weight in weights]))
        return
    print_table([COLUMNS, *((row.label, row.place, row.weight, row.flags) for row in weights)])


@advice.command()
@HOST_PORT
@PROTOCOL
@json_option
def probe(host_port: str, protocol: str, as_json: bool) -> None:
    """Test whether an advisor speaks the protocol, and measure how long it takes to answer."""
    result = _probe(host_port, protocol)
    if as_json:
        click.echo(json.dumps(_probe_fields(host_port, protocol, result)))
        if result.failure_reason:
            click.get_current_context().exit(CommandError.exit_code)
        return
    if result.failure_reason:
        raise CommandError(f"{host_port}: {result.failure_reason}")
    click.echo(f"{host_port}: speaks {protocol}, {result.duration_ms} ms")


def _probe(host_port: str, protocol: str) -> ProbeResult:
    failure_reason = ""
    started_at = time.monotonic()
    try:
        _run(_query_weights(host_port, protocol, members=(), accept_any_message=True))
    except NoAnswerError as exc:
        failure_reason = str(exc)
    duration_ms = round((time.monotonic() - started_at) * MS_PER_S, 1)
    return ProbeResult(duration_ms, failure_reason)


def _probe_fields(host_port: str, protocol: str, result: ProbeResult) -> dict[str, object]:
    """Returns the result under the keys of the command's JSON output."""
    return {
        "at": host_port,
        "protocol": protocol,
        "speaks": not result.failure_reason,
        "ms": result.duration_ms,
        "why": result.failure_reason,
    }


async def _query_weights(
    host_port: str, protocol: str, members: Sequence[str], accept_any_message: bool = False
) -> list[MemberWeight]:
    """Queries an advisor for its weights: over SASP those of `members`, over DFP those that it reports.

    With `accept_any_message`, the first message of a DFP advisor ends the query, even one without weights.
    """
    host, port = parse_address_argument(host_port)
    async with asyncio.timeout(QUERY_TIMEOUT_S):
        if protocol == "dfp":
            return await query_dfp(host, port, accept_any_message=accept_any_message)
        return await query_sasp(host, port, members)


def _run(query: Query) -> list[MemberWeight]:
    """Runs a query; raises NoAnswerError if it returns no valid answer within QUERY_TIMEOUT_S."""
    try:
        return asyncio.run(query)
    except TimeoutError as exc:
        raise NoAnswerError(f"no answer within {QUERY_TIMEOUT_S:g} s") from exc
    except (OSError, InputError) as exc:
        raise NoAnswerError(str(exc) or type(exc).__name__) from exc
