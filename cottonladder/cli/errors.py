"""Errors that end a command with one line on standard error and an exit status."""

from __future__ import annotations

from typing import IO, Any

import click


class CommandError(click.ClickException):
    """A fault that a command found while it ran."""

    exit_code = 1

    def show(self, file: IO[Any] | None = None) -> None:
        """Prints the message when click reports the error, without the prefix `Error:` that click adds."""
        click.echo(self.message, file=file, err=file is None)


class BadInputError(CommandError):
    """A file or an argument that is not valid."""

    exit_code = click.UsageError.exit_code
