"""The `demo` command, which runs a small deployment on loopback and shows what its processes do."""

from __future__ import annotations

import click

from ..testbed.demo import show_demo


@click.command()
@click.option(
    "--desks", "client_count", default=120, type=click.IntRange(1, 2000),
    help="Number of clients, each with an open upgraded connection.",
)  # fmt: skip
@click.option("--plain", is_flag=True, help="Print one line every half second instead of a table.")
def demo(client_count: int, plain: bool) -> None:
    """Run two managers and four forwarders on loopback, and drain one of the simulated workers."""
    click.echo(show_demo(client_count, plain))
