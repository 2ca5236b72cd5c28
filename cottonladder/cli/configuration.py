"""Reading configuration files for a command: a file that can't be used is one line and status 2."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..config.errors import InputError
from ..config.manager_config import ManagerConfig, read_manager_config
from .errors import BadInputError

if TYPE_CHECKING:
    from ..config.operator_config import OperatorConfig


def load_manager_config(path: str) -> ManagerConfig:
    try:
        return read_manager_config(path)
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
