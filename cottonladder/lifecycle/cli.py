"""The command line: serve, check a configuration, version."""

from __future__ import annotations

import asyncio
import sys
from importlib import metadata

import click
import structlog

from .. import __version__
from ..wire.terms import WireError
from .manager import serve as serve_manager
from .placement import Placement, read_placement

FILE = click.option(
    "--config", "path", envvar="ROUTER_CONFIG", default="", help="The configuration, a JSON file."
)


def _read(path: str) -> Placement:
    try:
        return read_placement(path)
    except WireError as exc:
        click.echo(exc, err=True)
        sys.exit(2)


@click.group()
def main() -> None:
    """One manager of the cottonladder control plane."""


@main.command()
@FILE
def serve(path: str) -> None:
    """Serve proxies until SIGTERM."""
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
    placement = _read(path)
    asyncio.run(serve_manager(placement))


@main.command()
@FILE
def check(path: str) -> None:
    """Read a configuration as serve does, and tell what it says."""
    placement = _read(path)
    terms = placement.site.terms
    host, port = placement.listen
    click.echo(
        f"{placement.name}: listens on {host}:{port}, {terms.proxies} proxies in {terms.zones} zones, "
        f"{len(placement.known.entries)} workers known (version {placement.version}), "
        f"{terms.managers} managers"
    )


@main.command()
def version() -> None:
    """Tell the program's version and those of what it stands on."""
    libraries = ", ".join(f"{name} {metadata.version(name)}" for name in ("aiohttp", "click", "structlog"))
    click.echo(f"cottonladder {__version__} ({libraries}, Python {sys.version.split()[0]})")
