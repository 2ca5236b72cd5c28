"""Checked reading of single fields of decoded JSON objects.

Each function takes the object, the field's name, and `where`, which names the object in error messages.  If
the field is missing or null, the function returns its default, or raises MissingFieldError if it has none.
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

NUMBER_TYPES = (int, float)
HostPort = tuple[str, int]
JsonObject = Mapping[str, object]  # a decoded JSON object whose fields are not yet checked
MS_PER_S = 1000.0
MAX_NUMBER = 1e12  # limit of every setting, so that products of settings stay finite
MAX_PORT = 65535
COMPARED_PORT_DIGITS = 6  # one more than MAX_PORT has, so that six digits show that a port is too large
_MISSING = object()


def read_field(body: Any, name: str, types: Any, where: str, default: Any = _MISSING) -> Any:
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


def read_number(
    body: Any, name: str, where: str, minimum: float = 0.0, default: Any = _MISSING, types: Any = NUMBER_TYPES
) -> float:
    """A number from `minimum` to `MAX_NUMBER`; NaN is not accepted."""
    value = read_field(body, name, types, where, default)
    if value > MAX_NUMBER:
        raise FieldTooLargeError(where, name, MAX_NUMBER)
    if not value >= minimum:  # unlike `value < minimum`, this is true of NaN
        raise FieldValueError(where, name, f"a figure of {minimum:g} or more")
    return float(value)


def read_integer(body: Any, name: str, where: str, minimum: int = 0, default: Any = _MISSING) -> int:
    """An integer from `minimum` to `MAX_NUMBER`."""
    return int(read_number(body, name, where, minimum, default, types=int))


def read_bounded_seconds(
    body: Any, name: str, where: str, minimum_ms: float = 0.0, default: Any = _MISSING
) -> float:
    """A field in milliseconds, converted to seconds; the bounds are those of `read_number`."""
    return read_number(body, name, where, minimum_ms, default) / MS_PER_S


def read_seconds(body: Any, name: str, where: str, default: Any = _MISSING) -> float:
    """A field in milliseconds, converted to seconds; its value is not bounded."""
    return float(read_field(body, name, NUMBER_TYPES, where, default)) / MS_PER_S


def read_names(body: Any, name: str, where: str) -> list[str]:
    """A list of one or more different, non-empty names."""
    value = read_field(body, name, list, where)
    check_names(value, name, where)
    return list(value)


def check_names(values: list[Any], name: str, where: str) -> None:
    """Raises FieldValueError unless the field's `values` are one or more different, non-empty names."""
    all_are_names = all(isinstance(value, str) and value for value in values)
    if not values or not all_are_names or len(set(values)) < len(values):
        raise FieldValueError(where, name, "a list of different names")


def read_address(body: Any, name: str, where: str) -> HostPort:
    """A field of the form host:port."""
    return parse_host_port(read_field(body, name, str, where), name, where)


def parse_host_port(text: str, name: str, where: str) -> HostPort:
    """Parses a text of the form host:port; `name` is the field or argument that it comes from."""
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or int(port[:COMPARED_PORT_DIGITS]) > MAX_PORT:
        raise FieldValueError(where, name, "an address (host:port)")
    return host, int(port)
