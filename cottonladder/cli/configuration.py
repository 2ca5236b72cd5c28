"""Reads configuration files for a command, which an invalid file ends with one line and status 2."""

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
    """Reads the operators' file; raises BadInputError if it is not valid.

    Gives None if the path is empty: everything that the file could switch on is off.
    """
    if not path:
        return None
    # Imported here, so that a manager without the file does not spend memory on the parsers.
    from ..config.operator_file import read_operator_config

    try:
        return read_operator_config(path)
    except InputError as exc:
        raise BadInputError(str(exc)) from exc
