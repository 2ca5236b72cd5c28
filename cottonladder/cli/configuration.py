"""Reading configuration files for a command: a file that can't be used is one line and status 2."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..config.errors import InputError
from ..control.startup_config import StartupConfig, read_startup_config
from .errors import BadInputError

if TYPE_CHECKING:
    from ..config.operator_config import OperatorConfig


def load_startup_config(path: str) -> StartupConfig:
    """Reads the manager's file and registers the workers that it lists."""
    try:
        return read_startup_config(path)
    except InputError as exc:
        raise BadInputError(str(exc)) from exc


def load_operator_config(path: str) -> OperatorConfig | None:
    """Reads the operators' file; None where no path is given, as everything in it is then off."""
    if not path:
        return None
    from ..config.operator_config import (
        read_operator_config,  # its parsers take memory of a manager without it
    )

    try:
        return read_operator_config(path)
    except InputError as exc:
        raise BadInputError(str(exc)) from exc
