"""DFP, the Dynamic Feedback Protocol (the published Internet-Draft, draft-eck-dfp): messages as bytes.

No I/O.  Names are the draft's own.  A message is a signal header and TLVs; unknown TLVs are skipped, as the
draft asks.  What could not be checked here stands in docs/design/weight-advice.md.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from ipaddress import IPv4Address

from .tlv import AdviceError, Cursor

VERSION = 1
# Bytes of a message's header: version, reserved, type, length.
HEADER_SIZE = 8
# Bytes of one message: some 100,000 hosts.
MAX_MESSAGE_SIZE = 1 << 20
# Hosts of one message, and of one list that was asked for.
MAX_HOSTS = 20_000
# TLVs of one message.
MAX_TLVS = 4096

# Message types.
PREFERENCE_INFORMATION = 0x0101
SERVER_STATE = 0x0201
DFP_PARAMETERS = 0x0301
BIND_ID_REQUEST = 0x0401
BIND_ID_REPORT = 0x0402
BIND_ID_CHANGE_NOTICE = 0x0403
MESSAGE_TYPES = {
    PREFERENCE_INFORMATION: "preference information",
    SERVER_STATE: "server state",
    DFP_PARAMETERS: "parameters",
    BIND_ID_REQUEST: "BindID request",
    BIND_ID_REPORT: "BindID report",
    BIND_ID_CHANGE_NOTICE: "BindID change notice",
}

# TLV types.
SECURITY_TLV = 0x0001
LOAD_TLV = 0x0002
KEEP_ALIVE_TLV = 0x0101
BIND_ID_TABLE_TLV = 0x0301

# The only algorithm that the draft names.
MD5_ALGORITHM = 1
# Bytes of a digest.
DIGEST_SIZE = 16
_EMPTY_DIGEST = b"\0" * DIGEST_SIZE
_HEADER = struct.Struct("!BBHI")  # version, reserved, type, length
_TLV = struct.Struct("!HH")  # type, length
_SECURITY = struct.Struct("!II16s")  # algorithm, key id, digest
_LOAD = struct.Struct("!HBBHH")  # port, protocol, flags, hosts, reserved
_HOST = struct.Struct("!4sHH")  # address, BindID, weight
_KEEP_ALIVE = struct.Struct("!I")  # s
_BIND_ID_TABLE = struct.Struct("!HH")  # entries, reserved
_RESERVED_SIZE = 2
_BIND_ID_ENTRY = struct.Struct("!HH4s4s")  # BindID, reserved, client network and its mask
# Bytes of a TLV: its length is two bytes.
MAX_TLV_SIZE = 0xFFFF
HOSTS_PER_TLV = (MAX_TLV_SIZE - _TLV.size - _LOAD.size) // _HOST.size


@dataclass(frozen=True, slots=True)
class HostPreference:
    """A host's weight, 0 to 65535, for clients of one BindID; 0: all clients."""

    address: IPv4Address
    bind_id: int
    weight: int


@dataclass(frozen=True, slots=True)
class Load:
    """Hosts that serve one port by one protocol (6: TCP); port 0: all."""

    port: int
    protocol: int
    hosts: tuple[HostPreference, ...]
    flags: int = 0


@dataclass(frozen=True, slots=True)
class BindIdEntry:
    """A BindID stands for clients of this network."""

    bind_id: int
    network: IPv4Address
    mask: IPv4Address


@dataclass(frozen=True, slots=True)
class Message:
    """One message, with what its TLVs hold.

    `key_id`: of the security TLV that was checked; `unknown_tlvs`: how many were skipped.
    """

    message_type: int
    loads: tuple[Load, ...] = ()
    keep_alive_s: int | None = None
    bindings: tuple[BindIdEntry, ...] = ()
    key_id: int | None = None
    unknown_tlvs: int = field(default=0, compare=False)


def _digest(secret: bytes, message: bytes) -> bytes:
    """MD5 over the message with an empty digest, then the secret."""
    return hashlib.md5(message + secret, usedforsecurity=False).digest()


class _MessageDecoder:
    """Collects what the TLVs of one message hold."""

    def __init__(self, data: bytes, secrets: Mapping[int, bytes] | None) -> None:
        self._data = data
        self._secrets = secrets
        self._hosts_left = MAX_HOSTS
        self.loads: list[Load] = []
        self.bindings: tuple[BindIdEntry, ...] = ()
        self.keep_alive_s: int | None = None
        self.key_id: int | None = None
        self.unknown_tlvs = 0

    def read_tlv(self, tlv_type: int, body: Cursor) -> None:
        """Takes one TLV; an unknown one is skipped, as the draft asks."""
        if tlv_type == LOAD_TLV:
            self.loads.append(self._read_load(body))
        elif tlv_type == KEEP_ALIVE_TLV:
            self.keep_alive_s = body.read_u32()
        elif tlv_type == BIND_ID_TABLE_TLV:
            self.bindings = _read_bind_id_table(body)
        elif tlv_type == SECURITY_TLV:
            self.key_id = self._check_security(body)
        else:
            self.unknown_tlvs += 1
            return
        if body.remaining:
            raise AdviceError(f"TLV {tlv_type:#06x}: {body.remaining} bytes too many")

    def _read_load(self, body: Cursor) -> Load:
        port, protocol, flags, count, _ = _LOAD.unpack_from(body.data, body.advance(_LOAD.size))
        self._hosts_left -= count
        if self._hosts_left < 0:
            raise AdviceError(f"over {MAX_HOSTS} hosts in one message")
        hosts: list[HostPreference] = []
        for _ in range(count):
            address, bind_id, weight = _HOST.unpack_from(body.data, body.advance(_HOST.size))
            hosts.append(HostPreference(IPv4Address(address), bind_id, weight))
        return Load(port, protocol, tuple(hosts), flags)

    def _check_security(self, body: Cursor) -> int:
        """The key id; raises AdviceError where there are secrets and the digest doesn't hold."""
        start = body.advance(_SECURITY.size)
        algorithm, key_id, digest = _SECURITY.unpack_from(self._data, start)
        if not self._secrets:
            return int(key_id)
        digest_start = start + _SECURITY.size - DIGEST_SIZE
        without_digest = self._data[:digest_start] + _EMPTY_DIGEST + self._data[digest_start + DIGEST_SIZE :]
        if (
            algorithm != MD5_ALGORITHM
            or key_id not in self._secrets
            or not hmac.compare_digest(_digest(self._secrets[key_id], without_digest), digest)
        ):
            raise AdviceError(f"security: algorithm {algorithm}, key {key_id}: the digest doesn't hold")
        return int(key_id)


def _read_bind_id_table(body: Cursor) -> tuple[BindIdEntry, ...]:
    count = body.read_u16()
    body.advance(_RESERVED_SIZE)
    entries: list[BindIdEntry] = []
    for _ in range(count):
        start = body.advance(_BIND_ID_ENTRY.size)
        bind_id, _, network, mask = _BIND_ID_ENTRY.unpack_from(body.data, start)
        entries.append(BindIdEntry(bind_id, IPv4Address(network), IPv4Address(mask)))
    return tuple(entries)


def decode_message(data: bytes, secrets: Mapping[int, bytes] | None = None) -> Message:
    """One whole message; raises AdviceError for anything else.

    With `secrets` by key id, a message whose security TLV doesn't hold, or that has none, is refused.
    """
    cursor = Cursor(data)
    version, _, message_type, size = _HEADER.unpack_from(data, cursor.advance(HEADER_SIZE))
    if version != VERSION or size != len(data):
        raise AdviceError(f"header of version {version} with a length of {size}")
    if message_type not in MESSAGE_TYPES:
        raise AdviceError(f"unknown message {message_type:#06x}")
    decoder = _MessageDecoder(data, secrets)
    tlv_count = 0
    while cursor.remaining:
        tlv_count += 1
        if tlv_count > MAX_TLVS:
            raise AdviceError(f"over {MAX_TLVS} TLVs in one message")
        tlv_type, length = cursor.read_header()
        if length < _TLV.size:
            raise AdviceError(f"TLV {tlv_type:#06x} of {length} bytes")
        start = cursor.advance(length - _TLV.size)
        decoder.read_tlv(tlv_type, Cursor(data, start, cursor.position))
    if secrets and decoder.key_id is None:
        raise AdviceError("no security TLV, where one is asked for")
    return Message(
        message_type,
        tuple(decoder.loads),
        decoder.keep_alive_s,
        decoder.bindings,
        decoder.key_id,
        decoder.unknown_tlvs,
    )


def _encode_tlv(tlv_type: int, body: bytes) -> bytes:
    if _TLV.size + len(body) > MAX_TLV_SIZE:
        raise AdviceError(f"TLV {tlv_type:#06x} over its size")
    return _TLV.pack(tlv_type, _TLV.size + len(body)) + body


def _encode_load(load: Load) -> bytes:
    """In several TLVs where one can't hold all hosts."""
    encoded = b""
    for start in range(0, len(load.hosts) or 1, HOSTS_PER_TLV):
        hosts = load.hosts[start : start + HOSTS_PER_TLV]
        head = _LOAD.pack(load.port, load.protocol, load.flags, len(hosts), 0)
        rows = [_HOST.pack(host.address.packed, host.bind_id, host.weight) for host in hosts]
        encoded += _encode_tlv(LOAD_TLV, head + b"".join(rows))
    return encoded


def _encode_bind_id_table(bindings: Sequence[BindIdEntry]) -> bytes:
    rows = [
        _BIND_ID_ENTRY.pack(entry.bind_id, 0, entry.network.packed, entry.mask.packed) for entry in bindings
    ]
    return _encode_tlv(BIND_ID_TABLE_TLV, _BIND_ID_TABLE.pack(len(bindings), 0) + b"".join(rows))


def encode_message(message: Message, secret: tuple[int, bytes] | None = None) -> bytes:
    """The bytes of a message; with `secret`, a key id and its bytes, behind a security TLV."""
    body = b"".join(map(_encode_load, message.loads))
    if message.keep_alive_s is not None:
        body += _encode_tlv(KEEP_ALIVE_TLV, _KEEP_ALIVE.pack(message.keep_alive_s))
    if message.message_type == BIND_ID_REPORT or message.bindings:
        body += _encode_bind_id_table(message.bindings)
    if secret is None:
        return _HEADER.pack(VERSION, 0, message.message_type, HEADER_SIZE + len(body)) + body
    key_id, secret_bytes = secret
    body = _encode_tlv(SECURITY_TLV, _SECURITY.pack(MD5_ALGORITHM, key_id, _EMPTY_DIGEST)) + body
    data = _HEADER.pack(VERSION, 0, message.message_type, HEADER_SIZE + len(body)) + body
    digest_start = HEADER_SIZE + _TLV.size + _SECURITY.size - DIGEST_SIZE
    return data[:digest_start] + _digest(secret_bytes, data) + data[digest_start + DIGEST_SIZE :]


class MessageReader:
    """Cuts messages out of a connection's bytes."""

    def __init__(
        self, secrets: Mapping[int, bytes] | None = None, max_message_size: int = MAX_MESSAGE_SIZE
    ) -> None:
        self.max_message_size = max_message_size
        self._secrets = secrets
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Takes bytes and gives the messages that are whole; raises AdviceError for what is none."""
        self._buffer += data
        messages: list[Message] = []
        if self._buffer and self._buffer[0] != VERSION:
            raise AdviceError(f"unknown version {self._buffer[0]}")
        while len(self._buffer) >= HEADER_SIZE:
            version, _, _, size = _HEADER.unpack_from(self._buffer)
            if version != VERSION:
                raise AdviceError(f"unknown version {version}")
            if not HEADER_SIZE <= size <= self.max_message_size:
                raise AdviceError(f"a message of {size} bytes, {self.max_message_size} at most")
            if len(self._buffer) < size:
                break
            messages.append(decode_message(bytes(self._buffer[:size]), self._secrets))
            del self._buffer[:size]
        return messages
