"""What SASP and DFP share: big-endian fields read from bounded bytes, written to a buffer."""

from __future__ import annotations

import struct
from ipaddress import IPv4Address, IPv6Address, ip_address

from ..config.errors import InputError

_U16 = struct.Struct("!H")
_U32 = struct.Struct("!I")
_HEADER = struct.Struct("!HH")  # type, length
# Bytes of a label at the most: its length is one byte.
MAX_LABEL_LENGTH = 255
# Before the 4 bytes of an IPv4-mapped IPv6 address (RFC 4291, 2.5.5.2).
_MAPPED_PREFIX = b"\0" * 10 + b"\xff\xff"


class AdviceError(InputError):
    """Bytes that the protocol doesn't allow; one plain line.  After it no message can be told from the
    next."""


class Cursor:
    """Reads on in `data` up to `end`; whatever would pass it is an AdviceError."""

    __slots__ = ("data", "position", "end")

    def __init__(self, data: bytes, position: int = 0, end: int | None = None) -> None:
        self.data = data
        self.position = position
        self.end = len(data) if end is None else end

    @property
    def remaining(self) -> int:
        """Bytes up to the end."""
        return self.end - self.position

    def advance(self, size: int) -> int:
        """Where the next `size` bytes begin; the cursor stands behind them."""
        at = self.position
        if at + size > self.end:
            raise AdviceError(f"cut short: {size} bytes expected, {self.end - at} left")
        self.position = at + size
        return at

    def read_u8(self) -> int:
        """One byte."""
        return self.data[self.advance(1)]

    def read_u16(self) -> int:
        """Two bytes, unsigned."""
        return int(_U16.unpack_from(self.data, self.advance(2))[0])

    def read_u32(self) -> int:
        """Four bytes, unsigned."""
        return int(_U32.unpack_from(self.data, self.advance(4))[0])

    def read_bytes(self, size: int) -> bytes:
        """The next `size` bytes."""
        at = self.advance(size)
        return self.data[at : at + size]

    def read_header(self) -> tuple[int, int]:
        """A component's type and length."""
        kind, length = _HEADER.unpack_from(self.data, self.advance(4))
        return int(kind), int(length)

    def read_label(self) -> bytes:
        """A length of one byte and so many bytes."""
        return self.read_bytes(self.read_u8())


def encode_label(label: bytes) -> bytes:
    """A length of one byte and the label; raises AdviceError where it is too long."""
    if len(label) > MAX_LABEL_LENGTH:
        raise AdviceError(f"a label of {len(label)} bytes, {MAX_LABEL_LENGTH} at most")
    return bytes([len(label)]) + label


Address = IPv4Address | IPv6Address


def encode_address(address: Address) -> bytes:
    """16 bytes; an IPv4 address is written as an IPv4-mapped one (RFC 4291, 2.5.5.2)."""
    if isinstance(address, IPv4Address):
        return _MAPPED_PREFIX + address.packed
    return address.packed


def decode_address(data: bytes) -> Address:
    """Mapped and compatible forms of an IPv4 address are read as the address itself."""
    if data[:10] == b"\0" * 10 and data[10:12] in (b"\xff\xff", b"\0\0") and data[12:] > b"\0\0\0\1":
        return IPv4Address(data[12:])
    return IPv6Address(data)


def parse_address(host: str) -> Address | None:
    """A literal address, or none: names are not looked up here."""
    try:
        return ip_address(host)
    except ValueError:
        return None
