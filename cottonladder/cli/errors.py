"""Errors that end a command with one line on standard error and a status."""

from __future__ import annotations

from typing import IO, Any

import click


class CommandError(click.ClickException):
    """The command ran and found a fault."""

    exit_code = 1

    def show(self, file: IO[Any] | None = None) -> None:
        """Called by click: prints the message alone, without the `Error:` that click puts before it."""
        click.echo(self.message, file=file, err=file is None)


class BadInputError(CommandError):
    """A file or an argument is not valid."""

    exit_code = click.UsageError.exit_code
