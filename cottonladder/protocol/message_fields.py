"""Checked reading of the named fields of a message."""

from __future__ import annotations

import math

from ..config.fields import MS_PER_S
from .errors import FieldError, MessageError, NumberError

MAX_SHOWN_LENGTH = 32  # characters of a peer's argument that an error or log line shows
MAX_COUNT_DIGITS = 18  # every such number fits 64 bits


class MessageFields:
    """The fields of a message, whose arguments are alternating names and values; each name occurs once.

    Each method raises `FieldError` or `NumberError` for a field that is missing or has a wrong value.
    """

    def __init__(self, message_type: str, arguments: list[bytes]) -> None:
        self.message_type = message_type
        if len(arguments) % 2:
            raise MessageError(message_type, "a name without a value")
        names = arguments[::2]
        self.values = dict(zip(names, arguments[1::2], strict=True))
        if len(self.values) != len(names):
            repeated = next(name for name in names if names.count(name) > 1)
            raise FieldError(message_type, printable(repeated), "comes twice")

    def raw(self, name: str) -> bytes:
        """A required field, as its bytes."""
        value = self.values.get(name.encode())
        if value is None:
            raise FieldError(self.message_type, name, "is missing")
        return value

    def text(self, name: str) -> str:
        """A required field, as UTF-8 text."""
        try:
            return self.raw(name).decode()
        except UnicodeDecodeError:
            raise FieldError(self.message_type, name, "is not text") from None

    def count(self, name: str) -> int:
        """A required field, as an integer of 0 or more."""
        value = self.raw(name)
        if not value.isdigit() or len(value) > MAX_COUNT_DIGITS:
            raise FieldError(self.message_type, name, "is not a whole number of 0 or more")
        return int(value)

    def number(self, name: str) -> float:
        """A required field, as a finite number of 0 or more."""
        return parse_number(self.raw(name), self._place_of(name))

    def flag(self, name: str) -> bool:
        """A required field that is 1 or 0, as a bool."""
        value = self.raw(name)
        if value not in (b"0", b"1"):
            raise FieldError(self.message_type, name, "is not 1 or 0")
        return value == b"1"

    def interval_s(self, total: int) -> float:
        """The interval in seconds over which `total` was counted; 0 is valid only for a total of 0."""
        interval_s = self.number("interval") / MS_PER_S
        if interval_s <= 0 < total:
            raise FieldError(self.message_type, "interval", f"is none, with a total of {total}")
        return interval_s

    def metrics(self, name: str) -> dict[str, float]:
        """An optional field of comma-separated `name:value` pairs; empty if it is missing."""
        metrics: dict[str, float] = {}
        for pair in self.values.get(name.encode(), b"").split(b","):
            if pair:
                key, _, value = pair.rpartition(b":")
                metrics[key.decode(errors="replace")] = parse_number(value, self._place_of(name))
        return metrics

    def _place_of(self, name: str) -> str:
        return f"{self.message_type}: field {name}"


def printable(argument: bytes) -> str:
    """The beginning of an argument that a peer sent, safe to log."""
    return argument[:MAX_SHOWN_LENGTH].decode("ascii", errors="replace")


def parse_number(raw: bytes, where: str) -> float:
    """Parses a finite number of 0 or more; `where` names its place in the text of a NumberError."""
    try:
        value = float(raw)
    except ValueError:
        raise NumberError(where, "a figure") from None
    if not math.isfinite(value) or value < 0 or b"_" in raw:
        raise NumberError(where, "a finite figure of 0 or more")
    return value
