"""Reads configuration files for a command; a file that is not valid ends it with one line and status 2."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..config.errors import InputError
from ..control.startup_config import StartupConfig, read_startup_config
from .errors import BadInputError

if TYPE_CHECKING:
    from ..config.operator_config import OperatorConfig


def load_startup_config(path: str) -> StartupConfig:
    """Reads the manager's file; raises BadInputError if it is not valid."""
    try:
        return read_startup_config(path)
    except InputError as exc:
        raise BadInputError(str(exc)) from exc


def load_operator_config(path: str) -> OperatorConfig | None:
    """Reads the operators' file; None without a path, which switches everything in it off."""
    if not path:
        return None
    # Imported here, as the parsers would take memory in a manager without the file.
    from ..config.operator_file import read_operator_config

    try:
        return read_operator_config(path)
    except InputError as exc:
        raise BadInputError(str(exc)) from exc
