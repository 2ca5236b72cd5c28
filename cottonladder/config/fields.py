"""Checked reading of single fields of decoded JSON objects.

Each function takes the object, the field's name and `where` the object stands, for the error's text.
"""

from __future__ import annotations

from typing import Any

from .errors import (
    FieldTooLargeError,
    FieldTypeError,
    FieldValueError,
    MissingFieldError,
    NotAnObjectError,
)

NUMBER = (int, float)
HostPort = tuple[str, int]
MAX_FIGURE = 1e12  # of any setting: figures that are multiplied stay finite
MAX_PORT = 65535
_MISSING = object()


def field(body: Any, name: str, types: Any, where: str, default: Any = _MISSING) -> Any:
    """One field, checked for its type; a field that is null counts as missing, and no bool as a number."""
    if not isinstance(body, dict):
        raise NotAnObjectError(where)
    value = body.get(name)
    if value is None:
        if default is _MISSING:
            raise MissingFieldError(where, name)
        return default
    is_unexpected_bool = isinstance(value, bool) and types is not bool
    if is_unexpected_bool or not isinstance(value, types):
        raise FieldTypeError(where, name, value)
    return value


def number(
    body: Any, name: str, where: str, least: float = 0.0, default: Any = _MISSING, types: Any = NUMBER
) -> float:
    """A figure that is calculated with: finite, not below `least`, and not larger than any use has for it."""
    value = field(body, name, types, where, default)
    if value > MAX_FIGURE:
        raise FieldTooLargeError(where, name, MAX_FIGURE)
    if not value >= least:  # true also of NaN
        raise FieldValueError(where, name, f"a figure of {least:g} or more")
    return float(value)


def seconds(body: Any, name: str, where: str, default: Any = _MISSING) -> float:
    """A field in milliseconds, as seconds."""
    return float(field(body, name, NUMBER, where, default)) / 1000.0


def names(body: Any, name: str, where: str) -> list[str]:
    """A list of at least one name, no name empty and none twice."""
    value = field(body, name, list, where)
    all_are_names = all(isinstance(item, str) and item for item in value)
    if not value or not all_are_names or len(set(value)) < len(value):
        raise FieldValueError(where, name, "a list of different names")
    return list(value)


def address(body: Any, name: str, where: str) -> HostPort:
    """A field that holds host:port."""
    host, _, port = field(body, name, str, where).rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or int(port[:6]) > MAX_PORT:
        raise FieldValueError(where, name, "an address (host:port)")
    return host, int(port)
