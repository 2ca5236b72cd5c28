"""The entry point of the command line, with all commands by name.

The commands of a manager are imported here.  A manager has little memory, so the modules of all other
commands are imported only when they are used.
"""

from __future__ import annotations

import sys

import click

from .. import __version__
from .lazy_group import LazyGroup
from .manager import check, ping, serve

LAZY_COMMANDS = {  # module:attribute by the name of the command
    "advice": "advice:advice",
    "demo": "demo:demo",
    "drains": "process_status:drains",
    "forward": "forwarder:forward",
    "memory": "memory:memory",
    "metrics": "process_status:metrics",
    "plugin": "plugin:plugin",
    "schema": "operator_schema:schema",
    "tasks": "process_status:tasks",
}
REPORTED_LIBRARIES = ("aiohttp", "click", "structlog")


@click.group(cls=LazyGroup, lazy_commands=LAZY_COMMANDS)
def main() -> None:
    """Run and inspect the processes of the cottonladder control plane."""


@main.command()
def version() -> None:
    """Print the program's version and those of its main libraries."""
    from importlib import metadata

    libraries = ", ".join(f"{name} {metadata.version(name)}" for name in REPORTED_LIBRARIES)
    click.echo(f"cottonladder {__version__} ({libraries}, Python {sys.version.split()[0]})")


main.add_command(serve)
main.add_command(check)
main.add_command(ping)
