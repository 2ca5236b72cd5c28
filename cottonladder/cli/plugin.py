"""`plugin`: loads and calls plug-ins without a forwarder.

Each command imports what runs a plug-in, so that `--help` works without the WebAssembly runtime, an optional
dependency.
"""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import TYPE_CHECKING

import click

from ..config.errors import InputError
from .errors import BadInputError
from .options import json_option
from .output import print_rows, print_table

if TYPE_CHECKING:
    from .plugin_trial import ReplayedRequest

MODULE = click.argument("module", type=click.Path(exists=True, dir_okay=False))
GRANTS = click.option("--grant", "grants", multiple=True, type=click.Choice(["random"]))
REPLAY_COLUMNS = ("req", "would change")
LIST_COLUMNS = ("name", "path", "hooks", "fail")


@click.group()
def plugin() -> None:
    """Try plug-ins by hand: WebAssembly modules, binary or text."""


@plugin.command()
@MODULE
@GRANTS
def check(module: str, grants: tuple[str, ...]) -> None:
    """Load a plug-in as a forwarder would; status 1 and one line if it can't be."""
    from .plugin_trial import load_plugin

    loaded = load_plugin(module, grants)
    click.echo(f"{module}: interface 1, hooks {', '.join(loaded.hooks)}")


@plugin.command()
@MODULE
@click.argument("requests_path", type=click.Path(exists=True, dir_okay=False), metavar="REQUESTS")
@GRANTS
@json_option
def run(module: str, requests_path: str, grants: tuple[str, ...], as_json: bool) -> None:
    """Replay recorded requests, a line of JSON each, and print what the plug-in would have changed."""
    from .plugin_trial import load_plugin, replay

    replayed = replay(load_plugin(module, grants), requests_path)
    if as_json:
        click.echo(json.dumps([_json_row(request) for request in replayed]))
        return
    print_table([REPLAY_COLUMNS, *((request.request, _changes(request)) for request in replayed)])


def _json_row(replayed: ReplayedRequest) -> dict[str, object]:
    return {"req": replayed.request, **replayed.outcome()}


def _changes(replayed: ReplayedRequest) -> str:
    changes = [f"{name}={value}" for name, value in replayed.outcome().items() if value]
    return ", ".join(changes) or "nothing"


@plugin.command()
@MODULE
@click.option("--calls", "call_count", default=2000, type=click.IntRange(10, 1_000_000))
@GRANTS
@json_option
def bench(module: str, call_count: int, grants: tuple[str, ...], as_json: bool) -> None:
    """Measure how long a call takes."""
    from .plugin_trial import load_plugin, measure_calls

    figures = asdict(measure_calls(load_plugin(module, grants), call_count))
    if as_json:
        click.echo(json.dumps(figures))
        return
    print_table([list(figures), list(figures.values())])


@plugin.command("list")
@click.argument("operator_path", type=click.Path(exists=True, dir_okay=False), metavar="FILE")
@json_option
def list_plugins(operator_path: str, as_json: bool) -> None:
    """List the plug-ins that an operators' file names, and whether they load."""
    from .plugin_trial import configured_plugins

    try:
        plugins = configured_plugins(operator_path)
    except InputError as exc:
        raise BadInputError(str(exc)) from exc
    print_rows(LIST_COLUMNS, [asdict(plugin) for plugin in plugins], as_json)
