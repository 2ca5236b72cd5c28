"""The `plugin` commands, which load and call plug-ins without a forwarder.

The WebAssembly runtime is an optional dependency, so each command imports it only when it runs; `--help`
works without it.
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
    """Test plug-ins: WebAssembly modules in binary or text format."""


@plugin.command()
@MODULE
@GRANTS
def check(module: str, grants: tuple[str, ...]) -> None:
    """Load a plug-in as a forwarder would; exit with status 1 if it can't be loaded."""
    from .plugin_trial import load_plugin

    loaded = load_plugin(module, grants)
    click.echo(f"{module}: interface 1, hooks {', '.join(loaded.hooks)}")


@plugin.command()
@MODULE
@click.argument("requests_path", type=click.Path(exists=True, dir_okay=False), metavar="REQUESTS")
@GRANTS
@json_option
def run(module: str, requests_path: str, grants: tuple[str, ...], as_json: bool) -> None:
    """Replay recorded requests, one JSON object per line, and print what the plug-in would change."""
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
    """Measure the duration of a plug-in's calls."""
    from .plugin_trial import load_plugin, measure_calls

    timings = asdict(measure_calls(load_plugin(module, grants), call_count))
    if as_json:
        click.echo(json.dumps(timings))
        return
    print_table([list(timings), list(timings.values())])


@plugin.command("list")
@click.argument("operator_path", type=click.Path(exists=True, dir_okay=False), metavar="FILE")
@json_option
def list_plugins(operator_path: str, as_json: bool) -> None:
    """List the plug-ins in an operators' file, and whether they can be loaded."""
    from .plugin_trial import configured_plugins

    try:
        plugins = configured_plugins(operator_path)
    except InputError as exc:
        raise BadInputError(str(exc)) from exc
    print_rows(LIST_COLUMNS, [asdict(plugin) for plugin in plugins], as_json)
