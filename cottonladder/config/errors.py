"""Errors for invalid input: files and settings here, and messages of peers by subclasses in other packages.

The text of each error is one line that says where the fault is and what it is.  Only the command line turns
it into an exit status.
"""

from __future__ import annotations


class InputError(ValueError):
    """Input from outside the program is not valid; the base class of every such error."""


class ConfigError(InputError):
    """A fault in a file or setting; `where` is a path, a place in a file, or both."""

    def __init__(self, where: str, fault: str) -> None:
        super().__init__(f"{where}: {fault}")
        self.where = where
        self.fault = fault


class ConfigFileError(ConfigError):
    """A file can't be read at all: it is absent, too large, not text, or not in its format."""


class OperatorFileError(ConfigError):
    """A fault in the operators' file `path`, at a `place` such as `$.forwarder.zone`."""

    def __init__(self, path: str, place: str, fault: str) -> None:
        super().__init__(f"{path}: {place}", fault)
        self.path = path
        self.place = place


class NotAnObjectError(ConfigError):
    """A value is not a JSON object, where one is expected."""

    def __init__(self, where: str) -> None:
        super().__init__(where, "not an object")


class UnknownNameError(ConfigError):
    """A name is not in the settings; `name_kind` is what it names, such as a zone."""

    def __init__(self, where: str, name_kind: str) -> None:
        super().__init__(where, f"unknown {name_kind}")
        self.name_kind = name_kind


class FieldError(ConfigError):
    """A fault in one named field of an object."""

    def __init__(self, where: str, field: str, fault: str) -> None:
        super().__init__(where, f"field {field} {fault}")
        self.field = field


class MissingFieldError(FieldError):
    """A required field is missing."""

    def __init__(self, where: str, field: str) -> None:
        super().__init__(where, field, "is missing")


class FieldTypeError(FieldError):
    """A field's value has another type than expected; `actual` is the name of its Python type."""

    def __init__(self, where: str, field: str, value: object) -> None:
        self.actual = type(value).__name__
        super().__init__(where, field, f"has the wrong type ({self.actual})")


class FieldTooLargeError(FieldError):
    """A number is larger than `maximum`."""

    def __init__(self, where: str, field: str, maximum: float) -> None:
        super().__init__(where, field, f"is too large, over {maximum:g}")
        self.maximum = maximum


class FieldValueError(FieldError):
    """A field's value has the right type but is not what `expected` says."""

    def __init__(self, where: str, field: str, expected: str) -> None:
        super().__init__(where, field, f"is not {expected}")
        self.expected = expected


class UnknownValueError(FieldError):
    """A field's value is none of those that the protocol lists."""

    def __init__(self, where: str, field: str) -> None:
        super().__init__(where, field, "has an unknown value")
