"""DFP, the Dynamic Feedback Protocol (the published Internet-Draft, draft-eck-dfp): messages as bytes.

The module does no I/O, and its names are those of the draft.  A message is a signal header and TLVs; unknown
TLVs are skipped, as the draft asks.  docs/design/weight-advice.md lists what could not be tested against
another implementation.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from ipaddress import IPv4Address

from .errors import (
    MessageHeaderError,
    MessageSizeError,
    MissingSecurityError,
    SecurityTlvError,
    TlvLengthError,
    TlvTooLargeError,
    TlvTrailingDataError,
    TooManyItemsError,
    UnknownMessageError,
    UnknownVersionError,
)
from .tlv import Cursor

# Version in the signal header (draft-eck-dfp).
PROTOCOL_VERSION = 1
# Name of the protocol in errors.
_PROTOCOL = "DFP"
# Maximum size of an accepted message: that of some 100,000 hosts.
MAX_MESSAGE_BYTES = 1 << 20
# Maximum number of hosts in an accepted message, over all of its loads.
MAX_HOSTS_PER_MESSAGE = 20_000
# Maximum number of TLVs in an accepted message.
MAX_TLVS_PER_MESSAGE = 4096


class MessageType(IntEnum):
    """Types of messages (draft-eck-dfp)."""

    PREFERENCE_INFORMATION = 0x0101
    SERVER_STATE = 0x0201
    DFP_PARAMETERS = 0x0301
    BIND_ID_REQUEST = 0x0401
    BIND_ID_REPORT = 0x0402
    BIND_ID_CHANGE_NOTICE = 0x0403


MESSAGE_NAMES: dict[int, str] = {
    MessageType.PREFERENCE_INFORMATION: "preference information",
    MessageType.SERVER_STATE: "server state",
    MessageType.DFP_PARAMETERS: "parameters",
    MessageType.BIND_ID_REQUEST: "BindID request",
    MessageType.BIND_ID_REPORT: "BindID report",
    MessageType.BIND_ID_CHANGE_NOTICE: "BindID change notice",
}


class TlvType(IntEnum):
    """Types of TLVs (draft-eck-dfp)."""

    SECURITY = 0x0001
    LOAD = 0x0002
    KEEP_ALIVE = 0x0101
    BIND_ID_TABLE = 0x0301


# Number of MD5 in the security TLV, the only algorithm that the draft names.
MD5_ALGORITHM = 1
# Size of an MD5 digest (RFC 1321).
DIGEST_BYTES = 16
_EMPTY_DIGEST = bytes(DIGEST_BYTES)

# Version, reserved, message type and length of the signal header.
_HEADER = struct.Struct("!BBHI")
# Type and length of a TLV.
_TLV = struct.Struct("!HH")
# Algorithm, key id and digest of a security TLV.
_SECURITY = struct.Struct("!II16s")
# Port, protocol, flags, number of hosts and reserved of a load TLV.
_LOAD = struct.Struct("!HBBHH")
# Address, BindID and weight of a host in a load TLV.
_HOST = struct.Struct("!4sHH")
# Seconds of a keep-alive TLV.
_KEEP_ALIVE = struct.Struct("!I")
# Number of entries and reserved of a BindID table TLV.
_BIND_ID_TABLE = struct.Struct("!HH")
# BindID, reserved, network and mask of an entry in a BindID table.
_BIND_ID_ENTRY = struct.Struct("!HH4s4s")
# Reserved bytes after the number of entries of a BindID table.
_RESERVED_BYTES = 2

# Maximum size of a TLV, whose length is stored in two bytes.
MAX_TLV_BYTES = 0xFFFF
# Maximum number of hosts in a load TLV.
MAX_HOSTS_PER_TLV = (MAX_TLV_BYTES - _TLV.size - _LOAD.size) // _HOST.size


@dataclass(frozen=True, slots=True)
class HostPreference:
    """A host's weight, 0 to 65535, for the clients of one BindID; BindID 0 means all clients."""

    address: IPv4Address
    bind_id: int
    weight: int


@dataclass(frozen=True, slots=True)
class Load:
    """Weights of hosts for a port and an IP protocol number (6 is TCP); port 0 means all ports."""

    port: int
    protocol: int
    hosts: tuple[HostPreference, ...]
    flags: int = 0


@dataclass(frozen=True, slots=True)
class BindIdEntry:
    """A BindID, and the network of the clients that it identifies."""

    bind_id: int
    network: IPv4Address
    mask: IPv4Address


@dataclass(frozen=True, slots=True)
class Message:
    """One message with the contents of its TLVs.

    `key_id` is that of the security TLV, if the message has one.  `unknown_tlv_count` counts the skipped
    TLVs.
    """

    message_type: int
    loads: tuple[Load, ...] = ()
    keep_alive_s: int | None = None
    bindings: tuple[BindIdEntry, ...] = ()
    key_id: int | None = None
    unknown_tlv_count: int = field(default=0, compare=False)


def _digest(secret: bytes, message: bytes) -> bytes:
    """Returns the MD5 digest of the message, with zeros in place of its digest, followed by the secret."""
    return hashlib.md5(message + secret, usedforsecurity=False).digest()


class _MessageDecoder:
    """Decoder that collects the contents of one message's TLVs."""

    def __init__(self, data: bytes, secrets: Mapping[int, bytes] | None) -> None:
        self._data = data
        self._secrets = secrets
        self._remaining_hosts = MAX_HOSTS_PER_MESSAGE
        self.loads: list[Load] = []
        self.bindings: tuple[BindIdEntry, ...] = ()
        self.keep_alive_s: int | None = None
        self.key_id: int | None = None
        self.unknown_tlv_count = 0

    def read_tlv(self, tlv_type: int, body: Cursor) -> None:
        """Decodes one TLV; an unknown one is counted and skipped."""
        if tlv_type == TlvType.LOAD:
            self.loads.append(self._read_load(body))
        elif tlv_type == TlvType.KEEP_ALIVE:
            self.keep_alive_s = body.read_u32()
        elif tlv_type == TlvType.BIND_ID_TABLE:
            self.bindings = _read_bind_id_table(body)
        elif tlv_type == TlvType.SECURITY:
            self.key_id = self._check_security(body)
        else:
            self.unknown_tlv_count += 1
            return
        if body.remaining:
            raise TlvTrailingDataError(tlv_type, body.remaining)

    def _read_load(self, body: Cursor) -> Load:
        port, protocol, flags, host_count, _ = _LOAD.unpack_from(body.data, body.advance(_LOAD.size))
        self._remaining_hosts -= host_count
        if self._remaining_hosts < 0:
            min_count = MAX_HOSTS_PER_MESSAGE - self._remaining_hosts
            raise TooManyItemsError(_PROTOCOL, "hosts", min_count, MAX_HOSTS_PER_MESSAGE)
        hosts: list[HostPreference] = []
        for _ in range(host_count):
            address, bind_id, weight = _HOST.unpack_from(body.data, body.advance(_HOST.size))
            hosts.append(HostPreference(IPv4Address(address), bind_id, weight))
        return Load(port, protocol, tuple(hosts), flags)

    def _check_security(self, body: Cursor) -> int:
        """Returns the key id; raises SecurityTlvError if secrets are configured and the TLV matches none."""
        start = body.advance(_SECURITY.size)
        algorithm, key_id, digest = _SECURITY.unpack_from(self._data, start)
        if not self._secrets:
            return int(key_id)
        digest_start = start + _SECURITY.size - DIGEST_BYTES
        without_digest = self._data[:digest_start] + _EMPTY_DIGEST + self._data[digest_start + DIGEST_BYTES :]
        secret = self._secrets.get(key_id)
        if algorithm != MD5_ALGORITHM:
            raise SecurityTlvError(algorithm, key_id, f"expected algorithm {MD5_ALGORITHM} (MD5)")
        if secret is None:
            expected_ids = ", ".join(map(str, self._secrets))
            raise SecurityTlvError(algorithm, key_id, f"expected key id {expected_ids}")
        if not hmac.compare_digest(_digest(secret, without_digest), digest):
            raise SecurityTlvError(algorithm, key_id, "the digest does not match the configured secret")
        return int(key_id)


def _read_bind_id_table(body: Cursor) -> tuple[BindIdEntry, ...]:
    entry_count = body.read_u16()
    body.advance(_RESERVED_BYTES)
    entries: list[BindIdEntry] = []
    for _ in range(entry_count):
        start = body.advance(_BIND_ID_ENTRY.size)
        bind_id, _, network, mask = _BIND_ID_ENTRY.unpack_from(body.data, start)
        entries.append(BindIdEntry(bind_id, IPv4Address(network), IPv4Address(mask)))
    return tuple(entries)


def decode_message(data: bytes, secrets: Mapping[int, bytes] | None = None) -> Message:
    """Decodes one complete message; raises AdviceError for anything else.

    `secrets` maps key ids to secrets.  If it is given, the message must have a security TLV with a valid
    digest.
    """
    cursor = Cursor(data, "DFP message")
    version, _, message_type, size = _HEADER.unpack_from(data, cursor.advance(_HEADER.size))
    if version != PROTOCOL_VERSION or size != len(data):
        raise MessageHeaderError(
            _PROTOCOL,
            received=f"version {version}, message length {size}",
            expected=f"version {PROTOCOL_VERSION}, message length {len(data)}",
        )
    if message_type not in MESSAGE_NAMES:
        raise UnknownMessageError(_PROTOCOL, message_type)
    decoder = _MessageDecoder(data, secrets)
    tlv_count = 0
    while cursor.remaining:
        tlv_count += 1
        if tlv_count > MAX_TLVS_PER_MESSAGE:
            raise TooManyItemsError(_PROTOCOL, "TLVs", tlv_count, MAX_TLVS_PER_MESSAGE)
        tlv_type, length = cursor.read_header()
        if length < _TLV.size:
            raise TlvLengthError(tlv_type, length, _TLV.size)
        start = cursor.advance(length - _TLV.size)
        decoder.read_tlv(tlv_type, Cursor(data, f"DFP TLV {tlv_type:#06x}", start, cursor.position))
    if secrets and decoder.key_id is None:
        raise MissingSecurityError(MESSAGE_NAMES[message_type])
    return Message(
        message_type,
        tuple(decoder.loads),
        decoder.keep_alive_s,
        decoder.bindings,
        decoder.key_id,
        decoder.unknown_tlv_count,
    )


def _encode_tlv(tlv_type: int, body: bytes) -> bytes:
    size = _TLV.size + len(body)
    if size > MAX_TLV_BYTES:
        raise TlvTooLargeError(tlv_type, size, MAX_TLV_BYTES)
    return _TLV.pack(tlv_type, size) + body


def _encode_load(load: Load) -> bytes:
    """Encodes a load, in several TLVs if its hosts do not fit one."""
    encoded = b""
    for start in range(0, len(load.hosts) or 1, MAX_HOSTS_PER_TLV):
        hosts = load.hosts[start : start + MAX_HOSTS_PER_TLV]
        head = _LOAD.pack(load.port, load.protocol, load.flags, len(hosts), 0)
        rows = [_HOST.pack(host.address.packed, host.bind_id, host.weight) for host in hosts]
        encoded += _encode_tlv(TlvType.LOAD, head + b"".join(rows))
    return encoded


def _encode_bind_id_table(bindings: Sequence[BindIdEntry]) -> bytes:
    rows = [
        _BIND_ID_ENTRY.pack(entry.bind_id, 0, entry.network.packed, entry.mask.packed) for entry in bindings
    ]
    return _encode_tlv(TlvType.BIND_ID_TABLE, _BIND_ID_TABLE.pack(len(bindings), 0) + b"".join(rows))


def encode_message(message: Message, secret: tuple[int, bytes] | None = None) -> bytes:
    """Encodes a message; with a secret, a pair of key id and bytes, its first TLV is a security TLV.

    Raises TlvTooLargeError if a TLV exceeds `MAX_TLV_BYTES`.
    """
    body = b"".join(map(_encode_load, message.loads))
    if message.keep_alive_s is not None:
        body += _encode_tlv(TlvType.KEEP_ALIVE, _KEEP_ALIVE.pack(message.keep_alive_s))
    if message.message_type == MessageType.BIND_ID_REPORT or message.bindings:
        body += _encode_bind_id_table(message.bindings)
    if secret is None:
        return _encode_header(message, len(body)) + body
    key_id, secret_bytes = secret
    body = _encode_tlv(TlvType.SECURITY, _SECURITY.pack(MD5_ALGORITHM, key_id, _EMPTY_DIGEST)) + body
    data = _encode_header(message, len(body)) + body
    digest_start = _HEADER.size + _TLV.size + _SECURITY.size - DIGEST_BYTES
    return data[:digest_start] + _digest(secret_bytes, data) + data[digest_start + DIGEST_BYTES :]


def _encode_header(message: Message, body_size: int) -> bytes:
    return _HEADER.pack(PROTOCOL_VERSION, 0, message.message_type, _HEADER.size + body_size)


class MessageReader:
    """Reader that splits the bytes of a connection into messages; `secrets` is as for `decode_message`."""

    def __init__(
        self, secrets: Mapping[int, bytes] | None = None, max_message_bytes: int = MAX_MESSAGE_BYTES
    ) -> None:
        self._max_message_bytes = max_message_bytes
        self._secrets = secrets
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Adds received bytes and returns the complete messages; raises AdviceError for invalid ones."""
        self._buffer += data
        messages: list[Message] = []
        if self._buffer and self._buffer[0] != PROTOCOL_VERSION:
            raise UnknownVersionError(_PROTOCOL, self._buffer[0], PROTOCOL_VERSION)
        while len(self._buffer) >= _HEADER.size:
            message_size = self._next_message_size()
            if len(self._buffer) < message_size:
                break
            messages.append(decode_message(bytes(self._buffer[:message_size]), self._secrets))
            del self._buffer[:message_size]
        return messages

    def _next_message_size(self) -> int:
        """Reads the size in bytes of the message whose header is at the start of the buffer."""
        version, _, _, message_size = _HEADER.unpack_from(self._buffer)
        if version != PROTOCOL_VERSION:
            raise UnknownVersionError(_PROTOCOL, version, PROTOCOL_VERSION)
        if not _HEADER.size <= message_size <= self._max_message_bytes:
            raise MessageSizeError(_PROTOCOL, message_size, _HEADER.size, self._max_message_bytes)
        return int(message_size)
