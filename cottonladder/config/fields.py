"""Checked reading of single fields of decoded JSON objects.

Each function takes the object, the field's name, and `location`, which names the object in error messages.
If the field is missing or null, the function returns the default, or raises MissingFieldError without one.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from .errors import (
    DuplicateValueError,
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
MAX_NUMBER = 1e12  # products of settings stay finite up to this limit
MAX_PORT = 65535
COMPARED_PORT_DIGITS = 6  # one more digit than MAX_PORT has, which is enough to detect a larger port
HOST_PORT_FORM = f"an address host:port with a port of at most {MAX_PORT}"
NAMES_FORM = "an array of one or more different, non-empty strings"
_MISSING = object()
_TYPE_NAMES: dict[Any, str] = {  # for error messages, by the `types` of read_field
    str: "a string",
    bool: "a boolean",
    int: "an integer",
    NUMBER_TYPES: "a number",
    list: "an array",
    dict: "an object",
}


def read_field(body: Any, name: str, types: Any, location: str, default: Any = _MISSING) -> Any:
    """Returns a field's value, which must be of one of `types`; a bool is not accepted as a number.

    `types` is a key of `_TYPE_NAMES`.
    """
    if not isinstance(body, dict):
        raise NotAnObjectError(location, body)
    value = body.get(name)
    if value is None:
        if default is _MISSING:
            raise MissingFieldError(location, name, _TYPE_NAMES[types])
        return default
    is_unexpected_bool = isinstance(value, bool) and types is not bool
    if is_unexpected_bool or not isinstance(value, types):
        raise FieldTypeError(location, name, _TYPE_NAMES[types], value)
    return value


def read_number(
    body: Any,
    name: str,
    location: str,
    minimum: float = 0.0,
    default: Any = _MISSING,
    types: Any = NUMBER_TYPES,
) -> float:
    """Returns a number from `minimum` to `MAX_NUMBER`; NaN is not accepted."""
    value = read_field(body, name, types, location, default)
    if value > MAX_NUMBER:
        raise FieldTooLargeError(location, name, MAX_NUMBER, value)
    if not value >= minimum:  # unlike `value < minimum`, this is true of NaN
        raise FieldValueError(location, name, f"at least {minimum:g}", value)
    return float(value)


def read_integer(body: Any, name: str, location: str, minimum: int = 0, default: Any = _MISSING) -> int:
    """Returns an integer from `minimum` to `MAX_NUMBER`."""
    return int(read_number(body, name, location, minimum, default, types=int))


def read_bounded_seconds(
    body: Any, name: str, location: str, minimum_ms: float = 0.0, default: Any = _MISSING
) -> float:
    """Returns a field in milliseconds as seconds; the bounds are those of `read_number`, in milliseconds."""
    return read_number(body, name, location, minimum_ms, default) / MS_PER_S


def read_seconds(body: Any, name: str, location: str, default: Any = _MISSING) -> float:
    """Returns a field in milliseconds as seconds; its value is not bounded."""
    return float(read_field(body, name, NUMBER_TYPES, location, default)) / MS_PER_S


def read_names(body: Any, name: str, location: str) -> list[str]:
    """Returns a field whose value is an array of one or more different, non-empty names."""
    value = read_field(body, name, list, location)
    check_names(value, name, location)
    return list(value)


def check_names(values: list[Any], name: str, location: str) -> None:
    """Raises FieldError unless the field's `values` are one or more different, non-empty strings."""
    if not values:
        raise FieldValueError(location, name, NAMES_FORM, values)
    for value in values:
        if not isinstance(value, str) or not value:
            raise FieldValueError(location, name, NAMES_FORM, value)
    duplicate = first_duplicate(values)
    if duplicate is not None:
        raise DuplicateValueError(location, name, duplicate)


def first_duplicate(names: Sequence[str]) -> str | None:
    """Returns the first name that equals an earlier one, or None if all are different."""
    seen: set[str] = set()
    for name in names:
        if name in seen:
            return name
        seen.add(name)
    return None


def read_address(body: Any, name: str, location: str) -> HostPort:
    """Returns the host and port of a field of the form host:port."""
    return parse_host_port(read_field(body, name, str, location), name, location)


def parse_host_port(text: str, name: str, location: str) -> HostPort:
    """Parses a text of the form host:port, the value of the field or argument `name`."""
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or int(port[:COMPARED_PORT_DIGITS]) > MAX_PORT:
        raise FieldValueError(location, name, HOST_PORT_FORM, text)
    return host, int(port)
