"""A command group that imports the module of a command when the command is used.

A manager has little memory, so `serve` must not import what only other commands need.
"""

from __future__ import annotations

from collections.abc import Mapping
from importlib import import_module
from typing import Any

import click


class LazyGroup(click.Group):
    """A group whose `lazy_commands` map the name of a command to where it is, `module:attribute`."""

    def __init__(self, *arguments: Any, lazy_commands: Mapping[str, str], **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._lazy_commands = lazy_commands

    def list_commands(self, context: click.Context) -> list[str]:
        """Returns the names of all commands, sorted; click calls this for `--help`."""
        return sorted([*super().list_commands(context), *self._lazy_commands])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Returns the command of this name, or None if there is none.

        Click calls this when it resolves a command; the module of a lazy command is imported then.
        """
        if name not in self._lazy_commands:
            return super().get_command(context, name)
        module, _, attribute = self._lazy_commands[name].partition(":")
        command = getattr(import_module(f".{module}", __package__), attribute)
        if not isinstance(command, click.Command):
            raise TypeError(
                f"{self._lazy_commands[name]} must be a click.Command, got {type(command).__name__}"
            )
        return command
