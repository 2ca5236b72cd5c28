"""Errors of messages, answers and datagrams that the protocols do not allow.

Each is an `InputError`, so that a caller can treat a fault of the other party alike wherever it was found.
"""

from __future__ import annotations

from ..config.errors import InputError


class ProtocolError(InputError):
    """What another party said does not follow the protocol."""


class FramingError(ProtocolError):
    """Bytes that can't be cut into messages: nothing after them can be read."""

    def __init__(self, fault: str) -> None:
        super().__init__(f"message: {fault}")


class MessageError(ProtocolError):
    """A whole message of this type that can't be accepted."""

    def __init__(self, message_type: str, fault: str) -> None:
        super().__init__(f"{message_type}: {fault}")
        self.message_type = message_type
        self.fault = fault


class FieldError(MessageError):
    """A field of a message that is missing or has a value that it can't have."""

    def __init__(self, message_type: str, field: str, fault: str) -> None:
        super().__init__(message_type, f"field {field} {fault}")
        self.field = field


class NumberError(ProtocolError):
    """A word that should be a finite number of 0 or more; `where` names its place."""

    def __init__(self, where: str, fault: str) -> None:
        super().__init__(f"{where} is not {fault}")
        self.where = where


class EndpointListError(ProtocolError):
    """An endpoint list that can't be accepted; `where` names the list or the answer."""

    def __init__(self, where: str, fault: str) -> None:
        super().__init__(f"{where}: {fault}")
        self.where = where
        self.fault = fault
