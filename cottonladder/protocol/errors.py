"""Errors raised for messages and answers of peers that violate a protocol.

All are `InputError`s, so a caller handles invalid input alike, whether a file or a peer supplied it.
"""

from __future__ import annotations

from ..config.errors import InputError


class ProtocolError(InputError):
    """A peer violated a protocol; the base class of this package's errors."""


class FramingError(ProtocolError):
    """Bytes that are not valid RESP2; the message boundaries after them are unknown."""

    def __init__(self, fault: str) -> None:
        super().__init__(f"message: {fault}")


class MessageError(ProtocolError):
    """A complete message that is not valid; `message_type` is its first argument."""

    def __init__(self, message_type: str, fault: str) -> None:
        super().__init__(f"{message_type}: {fault}")
        self.message_type = message_type
        self.fault = fault


class FieldError(MessageError):
    """A field of a message is missing or has a value that is not allowed."""

    def __init__(self, message_type: str, field: str, fault: str) -> None:
        super().__init__(message_type, f"field {field} {fault}")
        self.field = field


class NumberError(ProtocolError):
    """A value that should be a finite number of 0 or more; `where` names its place."""

    def __init__(self, where: str, fault: str) -> None:
        super().__init__(f"{where} is not {fault}")
        self.where = where


class UnencodableNumberError(ProtocolError):
    """A number that can't be sent, as no peer accepts it: negative, infinite or NaN."""

    def __init__(self, value: float) -> None:
        super().__init__(f"figure {value} can't stand in a message")
        self.value = value


class EndpointListError(ProtocolError):
    """An endpoint list, or an answer of discovery, that is not valid; `where` names which."""

    def __init__(self, where: str, fault: str) -> None:
        super().__init__(f"{where}: {fault}")
        self.where = where
        self.fault = fault
