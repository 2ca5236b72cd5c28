"""Reader of the fields of SASP and DFP messages, and encodings of labels and addresses.

Labels and 16-byte addresses are used by SASP only.  Integers are big-endian.
"""

from __future__ import annotations

import struct
from ipaddress import IPv4Address, IPv6Address, ip_address

from .errors import LabelTooLongError, TruncatedDataError

_U16 = struct.Struct("!H")
_U32 = struct.Struct("!I")
# Type and length of a component or TLV.
_HEADER = struct.Struct("!HH")
# Maximum size of a label, whose length is stored in one byte.
MAX_LABEL_BYTES = 255
# IANA's protocol number of TCP, which identifies the protocol of members and loads.
TCP_PROTOCOL_NUMBER = 6

# First 12 bytes of an IPv4-mapped address (RFC 4291, 2.5.5.2) and of an IPv4-compatible one (2.5.5.1).
_MAPPED_PREFIX = bytes(10) + b"\xff\xff"
_COMPATIBLE_PREFIX = bytes(12)
_PREFIX_BYTES = 12
# Last 4 bytes of ::1.  With these or lower ones, the compatible prefix makes ::1 or ::, which are not
# IPv4-compatible addresses.  The mapped addresses ::ffff:0.0.0.0 and ::ffff:0.0.0.1 stay IPv6 ones too.
_LOOPBACK_SUFFIX = b"\0\0\0\1"


class Cursor:
    """Reader of consecutive fields of the message `data`, from byte `position` up to byte `end`.

    Its methods raise TruncatedDataError for a field that extends beyond `end`; `container` names, in the
    error, the message or TLV that is read.
    """

    __slots__ = ("container", "data", "end", "position")

    def __init__(self, data: bytes, container: str, position: int = 0, end: int | None = None) -> None:
        self.data = data
        self.container = container
        self.position = position
        self.end = len(data) if end is None else end

    @property
    def remaining(self) -> int:
        """Number of bytes up to the end."""
        return self.end - self.position

    def advance(self, size: int) -> int:
        """Skips `size` bytes and returns the position of the first of them."""
        start = self.position
        if start + size > self.end:
            raise TruncatedDataError(self.container, start, size, self.end - start)
        self.position = start + size
        return start

    def read_u8(self) -> int:
        """Reads one byte."""
        return self.data[self.advance(1)]

    def read_u16(self) -> int:
        """Reads an unsigned integer of two bytes."""
        return int(_U16.unpack_from(self.data, self.advance(2))[0])

    def read_u32(self) -> int:
        """Reads an unsigned integer of four bytes."""
        return int(_U32.unpack_from(self.data, self.advance(4))[0])

    def read_bytes(self, size: int) -> bytes:
        """Reads `size` bytes."""
        start = self.advance(size)
        return self.data[start : start + size]

    def read_header(self) -> tuple[int, int]:
        """Reads the type and length of a component or TLV."""
        component_type, length = _HEADER.unpack_from(self.data, self.advance(_HEADER.size))
        return int(component_type), int(length)

    def read_label(self) -> bytes:
        """Reads a label: one byte of length and that many bytes."""
        return self.read_bytes(self.read_u8())


def encode_label(label: bytes, name: str) -> bytes:
    """Encodes a label: one byte of length and the label's bytes.

    Raises LabelTooLongError, with the field's `name`, for a label longer than `MAX_LABEL_BYTES`.
    """
    if len(label) > MAX_LABEL_BYTES:
        raise LabelTooLongError(name, len(label), MAX_LABEL_BYTES)
    return bytes([len(label)]) + label


Address = IPv4Address | IPv6Address


def encode_address(address: Address) -> bytes:
    """Encodes an address in 16 bytes; an IPv4 address becomes an IPv4-mapped one (RFC 4291, 2.5.5.2)."""
    if isinstance(address, IPv4Address):
        return _MAPPED_PREFIX + address.packed
    return address.packed


def decode_address(data: bytes) -> Address:
    """Decodes 16 bytes; IPv4-mapped and IPv4-compatible addresses become IPv4 ones.

    Those whose last four bytes are 0.0.0.0 or 0.0.0.1 stay IPv6 addresses.
    """
    prefix = data[:_PREFIX_BYTES]
    suffix = data[_PREFIX_BYTES:]
    if prefix in (_MAPPED_PREFIX, _COMPATIBLE_PREFIX) and suffix > _LOOPBACK_SUFFIX:
        return IPv4Address(suffix)
    return IPv6Address(data)


def parse_address(host: str) -> Address | None:
    """Parses a literal address; returns None for a host name, which is not resolved here."""
    try:
        return ip_address(host)
    except ValueError:
        return None
