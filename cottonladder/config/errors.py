"""Errors of what is read from outside: files, settings, messages and answers.

The text of each is one plain line that says where the fault is and what was expected.  Only the command line
prints it and exits with status 2.
"""

from __future__ import annotations


class InputError(ValueError):
    """Input that the protocol's or the files' pages do not allow."""


class ConfigError(InputError):
    """A fault in a file or setting: `where` is a path, a place in a file, or both."""

    def __init__(self, where: str, fault: str) -> None:
        super().__init__(f"{where}: {fault}")
        self.where = where
        self.fault = fault


class ConfigFileError(ConfigError):
    """A file that can't be read at all: absent, not text, too large, or not in its format."""


class OperatorFileError(ConfigError):
    """A fault at one place of the operators' file; `place` is a path such as `$.forwarder.zone`."""

    def __init__(self, path: str, place: str, fault: str) -> None:
        super().__init__(f"{path}: {place}", fault)
        self.path = path
        self.place = place


class NotAnObjectError(ConfigError):
    """A value that should be a JSON object."""

    def __init__(self, where: str) -> None:
        super().__init__(where, "not an object")


class UnknownNameError(ConfigError):
    """A name that the settings don't list; `kind` says of what, such as a zone."""

    def __init__(self, where: str, kind: str) -> None:
        super().__init__(where, f"unknown {kind}")
        self.kind = kind


class FieldError(ConfigError):
    """A fault of one named field of an object."""

    def __init__(self, where: str, field: str, fault: str) -> None:
        super().__init__(where, f"field {field} {fault}")
        self.field = field


class MissingFieldError(FieldError):
    """A field that must be there and isn't."""

    def __init__(self, where: str, field: str) -> None:
        super().__init__(where, field, "is missing")


class FieldTypeError(FieldError):
    """A field with a value of another JSON type than expected."""

    def __init__(self, where: str, field: str, value: object) -> None:
        self.actual = type(value).__name__
        super().__init__(where, field, f"has the wrong type ({self.actual})")


class FieldTooLargeError(FieldError):
    """A figure over the largest one that is of use."""

    def __init__(self, where: str, field: str, maximum: float) -> None:
        super().__init__(where, field, f"is too large, over {maximum:g}")
        self.maximum = maximum


class FieldValueError(FieldError):
    """A field of the right type whose value is not what `expected` says."""

    def __init__(self, where: str, field: str, expected: str) -> None:
        super().__init__(where, field, f"is not {expected}")
        self.expected = expected


class UnknownValueError(FieldError):
    """A field whose value is none of those that the protocol lists."""

    def __init__(self, where: str, field: str) -> None:
        super().__init__(where, field, "has an unknown value")
