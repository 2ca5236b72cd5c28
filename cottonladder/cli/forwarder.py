"""The `forward` command, which runs the reference proxy."""

from __future__ import annotations

import asyncio

import click

from ..config.errors import InputError
from ..control import signals
from .configuration import load_operator_config
from .errors import BadInputError
from .serving import configure_logging, serve_then_block_signals


@click.command()
@click.option(
    "--config", "operator_path", envvar="ROUTER_OPERATOR", required=True, help="The operators' file, JSON5."
)
def forward(operator_path: str) -> None:
    """Forward requests and upgraded connections to workers as managers order, until SIGTERM."""
    # Imported here, so that --help works without the optional dependencies of the forwarder.
    from ..forwarder.service import serve

    configure_logging()
    signals.discard_pending_reloads()
    operator_config = load_operator_config(operator_path)
    if operator_config is None or operator_config.forwarder is None:
        raise BadInputError(f"{operator_path}: $.forwarder: is missing, required by the forward command")
    try:
        asyncio.run(serve_then_block_signals(serve(operator_config, operator_path)))
    except InputError as exc:
        raise BadInputError(f"{operator_path}: {exc}") from exc
