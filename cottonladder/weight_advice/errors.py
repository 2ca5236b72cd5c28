"""Errors of the SASP and DFP codecs and connections.

The text of each is one line that names the message or component, what was expected and what was received.
It is logged as the reason why a connection was closed, or printed by the command line.
"""

from __future__ import annotations

from ..config.errors import InputError


class AdviceError(InputError):
    """Bytes or messages that SASP or DFP does not allow.

    The message boundaries after them are unknown, so the connection has to be closed.
    """


class TruncatedDataError(AdviceError):
    """A field that reaches beyond the end of its container, which is a message or a TLV.

    `offset` counts the bytes of the message before the field.
    """

    def __init__(self, container: str, offset: int, expected_bytes: int, remaining_bytes: int) -> None:
        super().__init__(
            f"{container} truncated: expected {expected_bytes} bytes at offset {offset},"
            f" got {remaining_bytes}"
        )
        self.container = container
        self.offset = offset
        self.expected_bytes = expected_bytes
        self.remaining_bytes = remaining_bytes


class UnknownVersionError(AdviceError):
    """A message of a protocol version that is not supported."""

    def __init__(self, protocol: str, version: int, expected_version: int) -> None:
        super().__init__(f"{protocol} header: unknown version {version}, expected {expected_version}")
        self.protocol = protocol
        self.version = version
        self.expected_version = expected_version


class MessageHeaderError(AdviceError):
    """A message header whose version and lengths do not fit the message; both texts list these fields."""

    def __init__(self, protocol: str, received: str, expected: str) -> None:
        super().__init__(f"{protocol} header: expected {expected}, got {received}")
        self.protocol = protocol
        self.received = received
        self.expected = expected


class MissingHeaderError(AdviceError):
    """Bytes that do not begin with a SASP header."""

    def __init__(self, component_type: int, length: int, received: bytes) -> None:
        super().__init__(
            f"no SASP header: expected component type {component_type:#06x} with length {length},"
            f" got bytes {received.hex()}"
        )
        self.received = received


class MessageSizeError(AdviceError):
    """A header that announces a message too large to accept, or too small to be one."""

    def __init__(self, protocol: str, size_bytes: int, min_size_bytes: int, max_size_bytes: int) -> None:
        super().__init__(
            f"{protocol} header: expected a message length of {min_size_bytes} to {max_size_bytes} bytes,"
            f" got {size_bytes}"
        )
        self.protocol = protocol
        self.size_bytes = size_bytes
        self.min_size_bytes = min_size_bytes
        self.max_size_bytes = max_size_bytes


class UnknownMessageError(AdviceError):
    """A message type that the protocol does not define."""

    def __init__(self, protocol: str, message_type: int) -> None:
        super().__init__(f"unknown {protocol} message type {message_type:#06x}")
        self.protocol = protocol
        self.message_type = message_type


class UnexpectedMessageError(AdviceError):
    """A message of a known type that this side does not accept; `expected` says which ones it does."""

    def __init__(self, message: str, expected: str) -> None:
        super().__init__(f"unexpected {message}: expected {expected}")
        self.message = message
        self.expected = expected


class UnexpectedComponentError(AdviceError):
    """A SASP component where another type is expected; `offset` is its position in the message."""

    def __init__(self, offset: int, component_type: int, expected_type: int) -> None:
        super().__init__(
            f"SASP message: expected component {expected_type:#06x} at offset {offset},"
            f" got {component_type:#06x}"
        )
        self.offset = offset
        self.component_type = component_type
        self.expected_type = expected_type


class ComponentLengthError(AdviceError):
    """A SASP component whose length does not fit its contents; `expected` lists the lengths that do."""

    def __init__(self, component_type: int, offset: int, length: int, expected: str) -> None:
        super().__init__(
            f"SASP component {component_type:#06x} at offset {offset}: expected a length of {expected},"
            f" got {length}"
        )
        self.component_type = component_type
        self.offset = offset
        self.length = length
        self.expected = expected


class TrailingDataError(AdviceError):
    """A SASP message that is longer than its contents."""

    def __init__(self, message_type: int, trailing_bytes: int) -> None:
        super().__init__(
            f"SASP message {message_type:#06x}: expected its end after the last component,"
            f" got {trailing_bytes} more bytes"
        )
        self.message_type = message_type
        self.trailing_bytes = trailing_bytes


class TlvLengthError(AdviceError):
    """A DFP TLV that is shorter than its own header."""

    def __init__(self, tlv_type: int, length: int, min_length: int) -> None:
        super().__init__(
            f"DFP TLV {tlv_type:#06x}: expected a length of at least {min_length} bytes, got {length}"
        )
        self.tlv_type = tlv_type
        self.length = length
        self.min_length = min_length


class TlvTrailingDataError(AdviceError):
    """A DFP TLV that is longer than its contents."""

    def __init__(self, tlv_type: int, trailing_bytes: int) -> None:
        super().__init__(
            f"DFP TLV {tlv_type:#06x}: expected its end after the last field, got {trailing_bytes} more bytes"
        )
        self.tlv_type = tlv_type
        self.trailing_bytes = trailing_bytes


class TlvTooLargeError(AdviceError):
    """Contents that do not fit a DFP TLV, whose length is stored in two bytes."""

    def __init__(self, tlv_type: int, size_bytes: int, max_size_bytes: int) -> None:
        super().__init__(
            f"DFP TLV {tlv_type:#06x}: expected at most {max_size_bytes} bytes, got {size_bytes}"
        )
        self.tlv_type = tlv_type
        self.size_bytes = size_bytes
        self.max_size_bytes = max_size_bytes


class TooManyItemsError(AdviceError):
    """A message with more members, groups, hosts or TLVs than are accepted.

    `min_count` counts those of the message up to the one that exceeds the limit; the rest is not read.
    """

    def __init__(self, protocol: str, items: str, min_count: int, max_count: int) -> None:
        super().__init__(
            f"{protocol} message: expected at most {max_count} {items}, got at least {min_count}"
        )
        self.protocol = protocol
        self.items = items
        self.min_count = min_count
        self.max_count = max_count


class LabelTooLongError(AdviceError):
    """A SASP label that does not fit the one byte of its length; `name` is that of its field."""

    def __init__(self, name: str, size_bytes: int, max_size_bytes: int) -> None:
        super().__init__(f"SASP label {name}: expected at most {max_size_bytes} bytes, got {size_bytes}")
        self.name = name
        self.size_bytes = size_bytes
        self.max_size_bytes = max_size_bytes


class MissingSecurityError(AdviceError):
    """A DFP message without a security TLV on a connection that requires a secret."""

    def __init__(self, message: str) -> None:
        super().__init__(f"DFP message ({message}): expected a security TLV, got none")
        self.message = message


class SecurityTlvError(AdviceError):
    """A DFP security TLV whose algorithm, key id or digest does not match the configured secret."""

    def __init__(self, algorithm: int, key_id: int, fault: str) -> None:
        super().__init__(f"DFP security TLV with algorithm {algorithm} and key id {key_id}: {fault}")
        self.algorithm = algorithm
        self.key_id = key_id
        self.fault = fault


class KeepAliveError(AdviceError):
    """A DFP keep-alive interval outside of the accepted range."""

    def __init__(self, keep_alive_s: int, max_keep_alive_s: int) -> None:
        super().__init__(f"DFP keep-alive TLV: expected 1 to {max_keep_alive_s} s, got {keep_alive_s} s")
        self.keep_alive_s = keep_alive_s
        self.max_keep_alive_s = max_keep_alive_s


class RequestRejectedError(AdviceError):
    """A SASP reply with a response code other than success; `reason` describes the code."""

    def __init__(self, request: str, response_code: int, reason: str) -> None:
        super().__init__(f"{request} rejected: {reason}")
        self.request = request
        self.response_code = response_code
        self.reason = reason


class ConnectionClosedError(AdviceError):
    """A connection that the advisor closed before its reply was complete."""

    def __init__(self) -> None:
        super().__init__("closed by the peer before its reply was complete")
