"""The command line.  What a command alone needs is imported by it, as managers live in little memory."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Awaitable
from typing import TYPE_CHECKING

import click
import structlog

from .. import __version__
from ..config.errors import InputError
from ..config.fields import address
from ..config.manager_config import ManagerConfig, read_manager_config
from ..control import signals
from ..control.manager import serve as serve_manager
from ..control.reload import unchangeable_fields
from ..protocol.messages import PING, PONG

if TYPE_CHECKING:
    from ..config.operator_config import OperatorConfig

PING_WAIT = 2.0  # s for each step: a manager that serves answers within one turn of its loop
FILE = click.option(
    "--config", "path", envvar="ROUTER_CONFIG", default="", help="The configuration, a JSON file."
)
OPERATOR = click.option(
    "--operator", "operators", envvar="ROUTER_OPERATOR", default="", help="The operators' own file, JSON5."
)


def _operator(path: str) -> OperatorConfig | None:
    if not path:
        return None
    from ..config.operator_config import read_operator_config

    try:
        return read_operator_config(path)
    except InputError as exc:
        click.echo(exc, err=True)
        sys.exit(2)


def _log() -> None:
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
        cache_logger_on_first_use=True,
    )


async def _sealed(serving: Awaitable[None]) -> None:
    """While the loop still holds the signals: closing it gives them back to the system."""
    await serving
    signals.block()


def _read(path: str) -> ManagerConfig:
    try:
        return read_manager_config(path)
    except InputError as exc:
        click.echo(exc, err=True)
        sys.exit(2)


@click.group()
def main() -> None:
    """One manager of the cottonladder control plane."""


@main.command()
@FILE
@OPERATOR
def serve(path: str, operators: str) -> None:
    """Serve proxies until SIGTERM; SIGHUP has the configuration read anew."""
    _log()
    signals.config_is_read_now()
    placement = _read(path)
    asyncio.run(_sealed(serve_manager(placement, path, _operator(operators))))


@main.command()
@click.option("--config", "operators", envvar="ROUTER_OPERATOR", required=True, help="The operators' file.")
def forward(operators: str) -> None:
    """Carry reqs and upgraded connections to workers as managers order, until SIGTERM."""
    from ..forwarder.forwarder import serve as serve_forwarder

    _log()
    signals.config_is_read_now()
    operator = _operator(operators)
    if operator is None or operator.forwarder is None:
        click.echo(f"{operators}: $.forwarder: expected, as this is a forwarder's start", err=True)
        sys.exit(2)
    try:
        asyncio.run(_sealed(serve_forwarder(operator, operators)))
    except InputError as exc:
        click.echo(f"{operators}: {exc}", err=True)
        sys.exit(2)


@main.command()
@click.option("--desks", default=120, type=click.IntRange(1, 2000), help="Clients that hold a connection.")
@click.option("--plain", is_flag=True, help="A line each half second in place of a table.")
def demo(desks: int, plain: bool) -> None:
    """Two managers and four forwarders on loopback against stand-ins; a worker drains, then it ends."""
    from ..testbed.demo import play

    click.echo(play(desks, plain))


@main.group()
def advice() -> None:
    """Weight advice: what an advisor says now, and whether it speaks at all."""


PROTOCOL = click.option("--protocol", type=click.Choice(["sasp", "dfp"]), default="sasp", show_default=True)
MEMBERS = click.option(
    "--member", "members", multiple=True, metavar="[LABEL@]HOST:PORT", help="For SASP: who is asked about."
)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="JSON in place of a table.")


@advice.command()
@click.argument("where", metavar="HOST:PORT")
@PROTOCOL
@MEMBERS
@AS_JSON
def show(where: str, protocol: str, members: tuple[str, ...], as_json: bool) -> None:
    """Tell what an advisor says of its members; status 1 if it says nothing that can be read."""
    from .advice import show as tell

    sys.exit(tell(where, protocol, members, as_json))


@advice.command()
@click.argument("where", metavar="HOST:PORT")
@PROTOCOL
@AS_JSON
def probe(where: str, protocol: str, as_json: bool) -> None:
    """Ask whether an advisor speaks the protocol, and how long that takes."""
    from .advice import probe as ask

    sys.exit(ask(where, protocol, as_json))


@main.group()
def memory() -> None:
    """What a process keeps in its folder, across restarts."""


FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False))


@memory.command("show")
@FOLDER
@AS_JSON
def memory_show(folder: str, as_json: bool) -> None:
    """List the generations: which hold, how old and how large they are."""
    from .memory import show as tell

    sys.exit(tell(folder, as_json))


@memory.command()
@FOLDER
def verify(folder: str) -> None:
    """Read every generation; status 1 if one doesn't hold."""
    from .memory import verify as tell

    sys.exit(tell(folder))


@memory.command()
@FOLDER
@click.option("--generation", type=int, help="Its number; the newest that holds, if left out.")
def export(folder: str, generation: int | None) -> None:
    """Print a generation's sections as JSON."""
    from .memory import export as tell

    sys.exit(tell(folder, generation))


@memory.command()
@FOLDER
def compact(folder: str) -> None:
    """Remove all but the newest generation that holds.  Not while a process owns the folder."""
    from .memory import compact as tell

    sys.exit(tell(folder))


@memory.command()
@FOLDER
@click.option("--worker", required=True, help="The worker's id.")
def forget(folder: str, worker: str) -> None:
    """Write a generation without anything about a worker.  Not while a process owns the folder."""
    from .memory import forget as tell

    sys.exit(tell(folder, worker))


@main.group()
def plugin() -> None:
    """Plug-ins by hand: WebAssembly modules, binary or text."""


MODULE = click.argument("module", type=click.Path(exists=True, dir_okay=False))
GRANTS = click.option("--grant", "grants", multiple=True, type=click.Choice(["random"]))


@plugin.command("check")
@MODULE
@GRANTS
def plugin_check(module: str, grants: tuple[str, ...]) -> None:
    """Load a plug-in as a forwarder would; status 1 and one line if it can't be."""
    from .plugin import check as tell

    sys.exit(tell(module, grants))


@plugin.command("run")
@MODULE
@click.argument("reqs", type=click.Path(exists=True, dir_okay=False))
@GRANTS
@AS_JSON
def plugin_run(module: str, reqs: str, grants: tuple[str, ...], as_json: bool) -> None:
    """Replay recorded reqs, a line of JSON each, and print what the plug-in would have changed."""
    from .plugin import run as tell

    sys.exit(tell(module, reqs, grants, as_json))


@plugin.command("bench")
@MODULE
@click.option("--calls", default=2000, type=click.IntRange(10, 1_000_000))
@GRANTS
@AS_JSON
def plugin_bench(module: str, calls: int, grants: tuple[str, ...], as_json: bool) -> None:
    """How long a call takes."""
    from .plugin import bench as tell

    sys.exit(tell(module, calls, grants, as_json))


@plugin.command("list")
@click.argument("operators", type=click.Path(exists=True, dir_okay=False), metavar="FILE")
@AS_JSON
def plugin_list(operators: str, as_json: bool) -> None:
    """The plug-ins that an operators' file names, and whether they load."""
    from .plugin import listed as tell

    try:
        sys.exit(tell(operators, as_json))
    except InputError as exc:
        click.echo(exc, err=True)
        sys.exit(2)


@main.command()
@click.argument("path", type=click.Path(exists=True), metavar="SOCKET")
@AS_JSON
def tasks(path: str, as_json: bool) -> None:
    """How the background tasks of a running process stand, over its local control."""
    from .memory import tasks as tell

    sys.exit(tell(path, as_json))


@main.command()
def schema() -> None:
    """Print the JSON schema of the operators' file."""
    from ..config.operator_config import schema as text

    click.echo(text())


@main.command()
@FILE
@OPERATOR
@click.option("--running", default="", help="The configuration that a manager runs on, to reload over.")
def check(path: str, operators: str, running: str) -> None:
    """Read a configuration as serve does, and the operators' file; tell what they say, or what is wrong, or
    what a reload would not take."""
    if (operator := _operator(operators)) is not None:
        parts = [name for name in operator.__struct_fields__ if getattr(operator, name)]
        click.echo(f"{operators}: {', '.join(parts) or 'everything'} {'on' if parts else 'off'}")
        if not path:
            return
    placement = _read(path)
    if running and (fixed := unchangeable_fields(_read(running), placement)):
        click.echo(f"a reload would not change: {', '.join(fixed)}", err=True)
        sys.exit(1)
    terms = placement.settings.parameters
    host, port = placement.listen
    click.echo(
        f"{placement.name}: listens on {host}:{port}, "
        f"{terms.proxy_count} proxies in {terms.zone_count} zones, "
        f"{len(placement.known_endpoints.endpoints)} workers known (version {placement.list_version}), "
        f"{terms.manager_count} managers"
    )


@main.command()
@click.argument("where", metavar="HOST:PORT")
def ping(where: str) -> None:
    """Ask a manager whether it serves; status 1 if it gives no answer."""
    try:
        with socket.create_connection(address({"where": where}, "where", "ping"), PING_WAIT) as connection:
            connection.sendall(PING)
            answer = b""
            while len(answer) < len(PONG) and (more := connection.recv(64)):
                answer += more
    except InputError as exc:
        click.echo(exc, err=True)
        sys.exit(2)
    except OSError as exc:
        click.echo(f"{where}: {exc}", err=True)
        sys.exit(1)
    click.echo(f"{where}: serves" if answer == PONG else f"{where}: answers, but not with PONG")
    sys.exit(answer != PONG)


@main.command()
def version() -> None:
    """Tell the program's version and those of what it stands on."""
    from importlib import metadata

    libraries = ", ".join(f"{name} {metadata.version(name)}" for name in ("aiohttp", "click", "structlog"))
    click.echo(f"cottonladder {__version__} ({libraries}, Python {sys.version.split()[0]})")
