"""Checked reading of the named fields of a message."""

from __future__ import annotations

import math

from ..config.fields import MS_PER_S
from .errors import FieldError, MessageError, NumberError

MAX_SHOWN_LENGTH = 32  # characters of a peer's argument that an error or log line shows
MAX_COUNT_DIGITS = 18  # every integer of 18 decimal digits fits 64 bits
UNPRINTABLE = "\N{REPLACEMENT CHARACTER}"  # stands for a character that is not ASCII or not printable


class MessageFields:
    """The fields of a message, whose arguments are alternating names and values; each name occurs once.

    Each method raises `FieldError` or `NumberError` for a field that is missing or has a wrong value.
    """

    def __init__(self, message_type: str, arguments: list[bytes]) -> None:
        self.message_type = message_type
        if len(arguments) % 2:
            raise MessageError(message_type, "the last field name has no value", quoted(arguments[-1]))
        names = arguments[::2]
        self.values = dict(zip(names, arguments[1::2], strict=True))
        if len(self.values) != len(names):
            repeated = next(name for name in names if names.count(name) > 1)
            raise FieldError(message_type, printable(repeated), "occurs more than once")

    def raw(self, name: str) -> bytes:
        """Returns the bytes of a required field."""
        value = self.values.get(name.encode())
        if value is None:
            raise FieldError(self.message_type, name, "is missing")
        return value

    def text(self, name: str) -> str:
        """Returns a required field, decoded as UTF-8."""
        try:
            return self.raw(name).decode()
        except UnicodeDecodeError:
            raise self.error(name, "is not UTF-8 text") from None

    def count(self, name: str) -> int:
        """Returns a required field that is an integer of 0 or more, of at most `MAX_COUNT_DIGITS` digits."""
        value = self.raw(name)
        if not value.isdigit() or len(value) > MAX_COUNT_DIGITS:
            raise self.error(name, f"is not an integer of 0 or more with at most {MAX_COUNT_DIGITS} digits")
        return int(value)

    def number(self, name: str) -> float:
        """Returns a required field that is a finite number of 0 or more."""
        return parse_number(self.raw(name), self._location_of(name))

    def flag(self, name: str) -> bool:
        """Returns whether a required field, which is 1 or 0, is 1."""
        value = self.raw(name)
        if value not in (b"0", b"1"):
            raise self.error(name, "is not 1 or 0")
        return value == b"1"

    def interval_s(self, total: int) -> float:
        """Returns the interval in seconds in which `total` was counted; 0 is valid only for a total of 0."""
        interval_s = self.number("interval") / MS_PER_S
        if interval_s <= 0 < total:
            raise self.error("interval", f"is not over 0 ms with a total of {total}")
        return interval_s

    def metrics(self, name: str) -> dict[str, float]:
        """Returns an optional field of comma-separated `name:value` pairs; an empty dict if it is missing."""
        metrics: dict[str, float] = {}
        for pair in self.values.get(name.encode(), b"").split(b","):
            if pair:
                key, _, value = pair.rpartition(b":")
                metrics[key.decode(errors="replace")] = parse_number(value, self._location_of(name))
        return metrics

    def error(self, name: str, fault: str) -> FieldError:
        """Returns an error about the value of a field; its text shows the beginning of the value."""
        return FieldError(self.message_type, name, fault, quoted(self.values.get(name.encode(), b"")))

    def _location_of(self, name: str) -> str:
        return f"{self.message_type}: field {name}"


def printable(argument: bytes) -> str:
    """Returns the first `MAX_SHOWN_LENGTH` bytes of an argument that a peer sent, as ASCII text."""
    return argument[:MAX_SHOWN_LENGTH].decode("ascii", errors="replace")


def quoted(argument: bytes) -> str:
    """Returns the beginning of an argument that a peer sent, in quotes, without control characters."""
    return quoted_text(printable(argument))


def quoted_text(text: str) -> str:
    """Returns the first `MAX_SHOWN_LENGTH` characters of a text in quotes, without control characters.

    `config.described_value.describe_value` describes values of decoded JSON, which may have any type.
    """
    return repr("".join(char if char.isprintable() else UNPRINTABLE for char in text[:MAX_SHOWN_LENGTH]))


def parse_number(raw: bytes, location: str) -> float:
    """Parses a finite number of 0 or more; `location` begins the text of a NumberError."""
    try:
        value = float(raw)
    except ValueError:
        raise NumberError(location, "a number", quoted(raw)) from None
    if not math.isfinite(value) or value < 0 or b"_" in raw:
        raise NumberError(location, "a finite number of 0 or more", quoted(raw))
    return value
