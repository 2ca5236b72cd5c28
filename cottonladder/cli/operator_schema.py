"""The `schema` command, which prints the JSON schema of the operators' file."""

from __future__ import annotations

import click


@click.command()
def schema() -> None:
    """Print the JSON schema of the operators' file."""
    from ..config.operator_config import schema as operator_schema  # needs an optional dependency

    click.echo(operator_schema())
