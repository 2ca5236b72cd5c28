"""How a command fails: one line on standard error and a status."""

from __future__ import annotations

from typing import IO, Any

import click


class CommandError(click.ClickException):
    """A fault told in one line, without the `Error:` that click puts before its own."""

    exit_code = 1  # the command ran, and what it looked at is not well

    def show(self, file: IO[Any] | None = None) -> None:
        click.echo(self.message, file=file, err=file is None)


class BadInputError(CommandError):
    """A file or an argument that can't be used."""

    exit_code = click.UsageError.exit_code
