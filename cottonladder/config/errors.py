"""Errors for invalid files and settings; other packages derive the errors for messages of peers from them.

The text of each error is one line: where the fault is, what was expected and what was found.  Only the
command line turns an error into an exit status.
"""

from __future__ import annotations

from collections.abc import Iterable

from .described_value import describe_value


class InputError(ValueError):
    """The base class of all errors about invalid input from outside the program.

    `summary` is the text without the received value.  Log lines are rate-limited by it, so that a peer that
    varies the value of an invalid field does not get a log line for each value.
    """

    def __init__(self, summary: str, received: str = "") -> None:
        super().__init__(f"{summary}, got {received}" if received else summary)
        self.summary = summary


class ConfigError(InputError):
    """A fault in a file or setting; `location` is a path, a location in a file, or both."""

    def __init__(self, location: str, fault: str, received: str = "") -> None:
        super().__init__(f"{location}: {fault}", received)
        self.location = location
        self.fault = fault


class ConfigFileError(ConfigError):
    """A file that can't be read or decoded: it is absent, too large, not text, or not in its format."""


class OperatorFileError(ConfigError):
    """A fault in the operators' file `path`; `json_path` is a JSON path such as `$.forwarder.zone`."""

    def __init__(self, path: str, json_path: str, fault: str) -> None:
        super().__init__(f"{path}: {json_path}", fault)
        self.path = path
        self.json_path = json_path


class NotAnObjectError(ConfigError):
    """A value that should be a JSON object but has another type."""

    def __init__(self, location: str, value: object) -> None:
        super().__init__(location, "must be an object", describe_value(value))


class UnknownNameError(ConfigError):
    """A name that the settings do not list; `name_kind` is what it should name, such as "zone"."""

    def __init__(self, location: str, name_kind: str, name: str) -> None:
        fault = f"unknown {name_kind} {describe_value(name)}, expected one from the settings"
        super().__init__(location, fault)
        self.summary = f"{location}: unknown {name_kind}, expected one from the settings"
        self.name_kind = name_kind


class FieldError(ConfigError):
    """A fault in one named field of an object."""

    def __init__(self, location: str, field: str, fault: str, received: str = "") -> None:
        super().__init__(location, f"field {field} {fault}", received)
        self.field = field


class MissingFieldError(FieldError):
    """A required field that is missing or null; `expected` is the type that it should have."""

    def __init__(self, location: str, field: str, expected: str) -> None:
        super().__init__(location, field, f"is missing, expected {expected}")
        self.expected = expected


class FieldTypeError(FieldError):
    """A field whose value does not have the `expected` type."""

    def __init__(self, location: str, field: str, expected: str, value: object) -> None:
        super().__init__(location, field, f"must be {expected}", describe_value(value))
        self.expected = expected


class FieldTooLargeError(FieldError):
    """A field whose number is larger than `maximum`."""

    def __init__(self, location: str, field: str, maximum: float, value: float) -> None:
        super().__init__(location, field, f"is too large: must be at most {maximum:g}", describe_value(value))
        self.maximum = maximum


class FieldValueError(FieldError):
    """A field whose value has the right type but is not what `expected` describes."""

    def __init__(self, location: str, field: str, expected: str, value: object) -> None:
        super().__init__(location, field, f"must be {expected}", describe_value(value))
        self.expected = expected


class DuplicateValueError(FieldError):
    """A field with an array that has `value` more than once, where all items must be different."""

    def __init__(self, location: str, field: str, value: object) -> None:
        super().__init__(location, field, f"must not list {describe_value(value)} more than once")
        self.summary = f"{location}: field {field} must not list a value more than once"


class UnknownValueError(FieldError):
    """A field whose value is not one of the `known` values."""

    def __init__(self, location: str, field: str, known: Iterable[object], value: object) -> None:
        known_values = ", ".join(map(str, known))
        super().__init__(location, field, f"must be one of {known_values}", describe_value(value))
