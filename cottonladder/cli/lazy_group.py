"""A command group that imports a command's module only when the command is used.

A manager lives in little memory, so what other commands need is not imported beside it.
"""

from __future__ import annotations

from collections.abc import Mapping
from importlib import import_module
from typing import Any

import click


class LazyGroup(click.Group):
    """A group of commands, some of them named by module and attribute: `{"tasks": "tasks:tasks"}`."""

    def __init__(self, *arguments: Any, lazy_commands: Mapping[str, str], **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._lazy_commands = lazy_commands

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted([*super().list_commands(context), *self._lazy_commands])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in self._lazy_commands:
            return super().get_command(context, name)
        module, _, attribute = self._lazy_commands[name].partition(":")
        command = getattr(import_module(f".{module}", __package__), attribute)
        if not isinstance(command, click.Command):
            raise TypeError(f"{self._lazy_commands[name]} is no command")
        return command
