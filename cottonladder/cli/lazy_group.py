"""A command group that imports a command's module only when the command is used.

It keeps `serve` from importing what only other commands need, as a manager has little memory.
"""

from __future__ import annotations

from collections.abc import Mapping
from importlib import import_module
from typing import Any

import click


class LazyGroup(click.Group):
    """A group whose `lazy_commands` map a command's name to its module and attribute, `module:attribute`."""

    def __init__(self, *arguments: Any, lazy_commands: Mapping[str, str], **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._lazy_commands = lazy_commands

    def list_commands(self, context: click.Context) -> list[str]:
        """Called by click: the names of all commands, sorted."""
        return sorted([*super().list_commands(context), *self._lazy_commands])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Called by click: the command of this name, whose module is imported now, or None."""
        if name not in self._lazy_commands:
            return super().get_command(context, name)
        module, _, attribute = self._lazy_commands[name].partition(":")
        command = getattr(import_module(f".{module}", __package__), attribute)
        if not isinstance(command, click.Command):
            raise TypeError(f"{self._lazy_commands[name]} is no command")
        return command
