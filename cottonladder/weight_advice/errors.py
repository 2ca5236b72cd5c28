"""Errors of the SASP and DFP codecs and connections.

The text of each is one plain line: it is logged as the reason why a connection ended, or printed by the
command line.
"""

from __future__ import annotations

from ..config.errors import InputError


class AdviceError(InputError):
    """Bytes or messages that SASP or DFP does not allow.

    The message boundaries after them are unknown, so the connection has to be closed.
    """


class TruncatedDataError(AdviceError):
    """A field that reaches beyond the end of its message or TLV."""

    def __init__(self, expected_bytes: int, remaining_bytes: int) -> None:
        super().__init__(f"cut short: {expected_bytes} bytes expected, {remaining_bytes} left")
        self.expected_bytes = expected_bytes
        self.remaining_bytes = remaining_bytes


class UnknownVersionError(AdviceError):
    """A message of a protocol version that is not supported."""

    def __init__(self, version: int) -> None:
        super().__init__(f"unknown version {version}")
        self.version = version


class MessageHeaderError(AdviceError):
    """A message header whose version and lengths do not fit the message."""

    def __init__(self, version: int, lengths: str) -> None:
        super().__init__(f"header of version {version} with {lengths}")
        self.version = version
        self.lengths = lengths


class MissingHeaderError(AdviceError):
    """Bytes that do not begin with a SASP header."""

    def __init__(self, found: bytes) -> None:
        super().__init__(f"no header: {found.hex()}")
        self.found = found


class MessageSizeError(AdviceError):
    """A header that announces a message too large to accept, or too small to be one."""

    def __init__(self, size_bytes: int, max_size_bytes: int) -> None:
        super().__init__(f"a message of {size_bytes} bytes, {max_size_bytes} at most")
        self.size_bytes = size_bytes
        self.max_size_bytes = max_size_bytes


class UnknownMessageError(AdviceError):
    """A message type that the protocol does not define."""

    def __init__(self, message_type: int) -> None:
        super().__init__(f"unknown message {message_type:#06x}")
        self.message_type = message_type


class UnexpectedMessageError(AdviceError):
    """A message of a known type that this side does not accept; the reason names the message."""

    def __init__(self, message_type: int, reason: str) -> None:
        super().__init__(reason)
        self.message_type = message_type
        self.reason = reason


class UnexpectedComponentError(AdviceError):
    """A SASP component where another type is expected."""

    def __init__(self, component_type: int, expected_type: int) -> None:
        super().__init__(f"component {component_type:#06x} where {expected_type:#06x} is expected")
        self.component_type = component_type
        self.expected_type = expected_type


class ComponentLengthError(AdviceError):
    """A SASP component whose length does not fit its contents; `expected` lists the lengths that do."""

    def __init__(self, component: str, length: int, expected: str) -> None:
        super().__init__(f"{component}: a length of {length}, {expected} expected")
        self.component = component
        self.length = length
        self.expected = expected


class MemberError(AdviceError):
    """A SASP component that is not a member, or a member whose length does not fit its label."""

    def __init__(self, component_type: int, length: int) -> None:
        super().__init__(f"component {component_type:#06x} of {length} bytes where a member is expected")
        self.component_type = component_type
        self.length = length


class TrailingDataError(AdviceError):
    """A SASP message that is longer than its contents."""

    def __init__(self, message_type: int, trailing_bytes: int) -> None:
        super().__init__(f"{trailing_bytes} bytes behind a message of {message_type:#06x}")
        self.message_type = message_type
        self.trailing_bytes = trailing_bytes


class TlvLengthError(AdviceError):
    """A DFP TLV that is shorter than its own header."""

    def __init__(self, tlv_type: int, length: int) -> None:
        super().__init__(f"TLV {tlv_type:#06x} of {length} bytes")
        self.tlv_type = tlv_type
        self.length = length


class TlvTrailingDataError(AdviceError):
    """A DFP TLV that is longer than its contents."""

    def __init__(self, tlv_type: int, trailing_bytes: int) -> None:
        super().__init__(f"TLV {tlv_type:#06x}: {trailing_bytes} bytes too many")
        self.tlv_type = tlv_type
        self.trailing_bytes = trailing_bytes


class TlvTooLargeError(AdviceError):
    """Contents that do not fit a DFP TLV, whose length is stored in two bytes."""

    def __init__(self, tlv_type: int) -> None:
        super().__init__(f"TLV {tlv_type:#06x} over its size")
        self.tlv_type = tlv_type


class TooManyItemsError(AdviceError):
    """A message with more members, groups, hosts or TLVs than are accepted."""

    def __init__(self, max_count: int, items: str) -> None:
        super().__init__(f"over {max_count} {items} in one message")
        self.max_count = max_count
        self.items = items


class LabelTooLongError(AdviceError):
    """A label that does not fit the one byte of its length."""

    def __init__(self, size_bytes: int, max_size_bytes: int) -> None:
        super().__init__(f"a label of {size_bytes} bytes, {max_size_bytes} at most")
        self.size_bytes = size_bytes
        self.max_size_bytes = max_size_bytes


class MissingSecurityError(AdviceError):
    """A DFP message without a security TLV on a connection that requires a secret."""

    def __init__(self) -> None:
        super().__init__("no security TLV, where one is asked for")


class DigestError(AdviceError):
    """A DFP message whose digest does not match the configured secret."""

    def __init__(self, algorithm: int, key_id: int) -> None:
        super().__init__(f"security: algorithm {algorithm}, key {key_id}: the digest doesn't hold")
        self.algorithm = algorithm
        self.key_id = key_id


class KeepAliveError(AdviceError):
    """A DFP keep-alive interval outside of the accepted range."""

    def __init__(self, keep_alive_s: int) -> None:
        super().__init__(f"a keep-alive of {keep_alive_s} s")
        self.keep_alive_s = keep_alive_s


class RequestRejectedError(AdviceError):
    """A SASP reply with a response code other than success."""

    def __init__(self, response_code: int, reason: str) -> None:
        super().__init__(f"refused: {reason}")
        self.response_code = response_code
        self.reason = reason


class ConnectionEndedError(AdviceError):
    """An advisor that closed the connection before its reply was complete."""

    def __init__(self) -> None:
        super().__init__("ended before its answer")
