"""Checked reading of single fields of decoded JSON objects.

Each function takes the object, the field's name, and `where`, the object's place for the text of an error.  A
default, where one is given, stands for a field that is missing or null.
"""

from __future__ import annotations

from collections.abc import Mapping
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
JsonObject = Mapping[str, object]  # decoded, its fields not yet checked
MS_PER_S = 1000.0
MAX_FIGURE = 1e12  # of any setting, so that products of settings stay finite
MAX_PORT = 65535
MAX_PORT_DIGITS = 6  # one more than a valid port has: further digits need no conversion
_MISSING = object()


def field(body: Any, name: str, types: Any, where: str, default: Any = _MISSING) -> Any:
    """One field, checked to be of one of `types`; a bool is not accepted as a number."""
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
    body: Any, name: str, where: str, minimum: float = 0.0, default: Any = _MISSING, types: Any = NUMBER
) -> float:
    """A number from `minimum` to `MAX_FIGURE`; NaN is not accepted."""
    value = field(body, name, types, where, default)
    if value > MAX_FIGURE:
        raise FieldTooLargeError(where, name, MAX_FIGURE)
    if not value >= minimum:  # true of NaN, too
        raise FieldValueError(where, name, f"a figure of {minimum:g} or more")
    return float(value)


def integer(body: Any, name: str, where: str, minimum: int = 0, default: Any = _MISSING) -> int:
    """An integer from `minimum` to `MAX_FIGURE`."""
    return int(number(body, name, where, minimum, default, types=int))


def bounded_seconds(
    body: Any, name: str, where: str, minimum_ms: float = 0.0, default: Any = _MISSING
) -> float:
    """A field in milliseconds, as seconds, within the bounds of `number`."""
    return number(body, name, where, minimum_ms, default) / MS_PER_S


def seconds(body: Any, name: str, where: str, default: Any = _MISSING) -> float:
    """A field in milliseconds, as seconds, of any value."""
    return float(field(body, name, NUMBER, where, default)) / MS_PER_S


def names(body: Any, name: str, where: str) -> list[str]:
    """A list of one or more different, non-empty names."""
    value = field(body, name, list, where)
    all_are_names = all(isinstance(item, str) and item for item in value)
    if not value or not all_are_names or len(set(value)) < len(value):
        raise FieldValueError(where, name, "a list of different names")
    return list(value)


def address(body: Any, name: str, where: str) -> HostPort:
    """A field of the form host:port."""
    host, _, port = field(body, name, str, where).rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or int(port[:MAX_PORT_DIGITS]) > MAX_PORT:
        raise FieldValueError(where, name, "an address (host:port)")
    return host, int(port)
