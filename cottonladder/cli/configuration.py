"""Reader of configuration files for commands; an invalid file ends the command with one line and status 2."""

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

    Returns None if the path is empty; all features that the file configures are then disabled.
    """
    if not path:
        return None
    # Imported here, so that a manager without the file does not spend memory on the parsers.
    from ..config.operator_file import read_operator_config

    try:
        return read_operator_config(path)
    except InputError as exc:
        raise BadInputError(str(exc)) from exc
