"""Errors raised for messages and answers of peers that violate a protocol.

All are `InputError`s, so a caller handles invalid input alike, whether a file or a peer supplied it.
"""

from __future__ import annotations

from ..config.errors import InputError


class ProtocolError(InputError):
    """A violation of a protocol by a peer; the base class of this package's errors."""


class FramingError(ProtocolError):
    """Bytes that are not valid RESP2; the message boundaries after them are unknown."""

    def __init__(self, fault: str, received: str = "") -> None:
        super().__init__(f"RESP message: {fault}", received)


class MessageError(ProtocolError):
    """A complete message that is not valid; `message_type` is its first argument."""

    def __init__(self, message_type: str, fault: str, received: str = "") -> None:
        super().__init__(f"{message_type}: {fault}", received)
        self.message_type = message_type
        self.fault = fault


class FieldError(MessageError):
    """A field of a message that is missing or repeated, or has a value that is not allowed."""

    def __init__(self, message_type: str, field: str, fault: str, received: str = "") -> None:
        super().__init__(message_type, f"field {field} {fault}", received)
        self.field = field


class NumberError(ProtocolError):
    """A value that is not `expected`, such as a finite number of 0 or more; `location` says where it is."""

    def __init__(self, location: str, expected: str, received: str) -> None:
        super().__init__(f"{location} is not {expected}", received)
        self.location = location


class UnencodableNumberError(ProtocolError):
    """A number that can't be sent, as no peer accepts it: negative, infinite or NaN."""

    def __init__(self, value: float) -> None:
        super().__init__("number to send is not a finite number of 0 or more", str(value))
        self.value = value


class EndpointListError(ProtocolError):
    """An endpoint list, or an answer of discovery, that is not valid; `location` names which."""

    def __init__(self, location: str, fault: str, received: str = "") -> None:
        super().__init__(f"{location}: {fault}", received)
        self.location = location
        self.fault = fault


def error_summary(error: Exception) -> str:
    """Returns the text that log lines about `error` are rate-limited by."""
    if isinstance(error, InputError):
        return error.summary
    return str(error) or type(error).__name__
