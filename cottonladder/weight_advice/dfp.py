"""DFP, the Dynamic Feedback Protocol (the published Internet-Draft, draft-eck-dfp): messages as bytes.

No I/O.  A message is a signal header and TLVs; unknown TLVs are skipped, as the draft asks.  What could not
be checked here stands in docs/design/weight-advice.md.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from dataclasses import dataclass, field
from ipaddress import IPv4Address

from .tlv import AdviceError, Cursor

VERSION = 1
HEADER_SIZE = 8  # version, reserved, type, length
MAX_MESSAGE_SIZE = 1 << 20  # bytes of one message: some 100,000 hosts
MAX_HOSTS = 20_000  # hosts of one message, and of one list that was asked for
MAX_TLVS = 4096  # TLVs of one message
PREFERENCE_INFORMATION, SERVER_STATE, DFP_PARAMETERS = 0x0101, 0x0201, 0x0301
BIND_ID_REQUEST, BIND_ID_REPORT, BIND_ID_CHANGE_NOTICE = 0x0401, 0x0402, 0x0403
SECURITY_TLV, LOAD_TLV, KEEP_ALIVE_TLV, BIND_ID_TABLE_TLV = 0x0001, 0x0002, 0x0101, 0x0301
MESSAGE_TYPES = {
    PREFERENCE_INFORMATION: "preference information",
    SERVER_STATE: "server state",
    DFP_PARAMETERS: "parameters",
    BIND_ID_REQUEST: "BindID request",
    BIND_ID_REPORT: "BindID report",
    BIND_ID_CHANGE_NOTICE: "BindID change notice",
}
MD5_ALGORITHM = 1  # the only algorithm that the draft names
DIGEST_SIZE = 16
_HEADER = struct.Struct("!BBHI")
_TLV = struct.Struct("!HH")
_SECURITY = struct.Struct("!II16s")
_LOAD = struct.Struct("!HBBHH")  # port, protocol, flags, hosts, reserved
_HOST = struct.Struct("!4sHH")  # address, BindID, weight
_BIND = struct.Struct("!HH4s4s")  # BindID, reserved, client network and its mask
MAX_TLV_SIZE = 0xFFFF
HOSTS_PER_TLV = (MAX_TLV_SIZE - _TLV.size - _LOAD.size) // _HOST.size


@dataclass(frozen=True, slots=True)
class HostPreference:
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
    message_type: int
    loads: tuple[Load, ...] = ()
    keep_alive_s: int | None = None  # s
    bindings: tuple[BindIdEntry, ...] = ()
    key_id: int | None = None  # of the security TLV that was checked
    unknown_tlvs: int = field(default=0, compare=False)  # unknown TLVs


def _digest(secret: bytes, message: bytes) -> bytes:
    """MD5 over the message with an empty digest, then the secret."""
    return hashlib.md5(message + secret, usedforsecurity=False).digest()


def _read_load(cursor: Cursor, budget: list[int]) -> Load:
    port, protocol, flags, count, _ = _LOAD.unpack_from(cursor.data, cursor.advance(_LOAD.size))
    budget[0] -= count
    if budget[0] < 0:
        raise AdviceError(f"over {MAX_HOSTS} hosts in one message")
    hosts = []
    for _ in range(count):
        address, bind, weight = _HOST.unpack_from(cursor.data, cursor.advance(_HOST.size))
        hosts.append(HostPreference(IPv4Address(address), bind, weight))
    return Load(port, protocol, tuple(hosts), flags)


def _read_table(cursor: Cursor) -> tuple[BindIdEntry, ...]:
    count = cursor.read_u16()
    cursor.advance(2)
    rows = []
    for _ in range(count):
        bind, _, network, mask = _BIND.unpack_from(cursor.data, cursor.advance(_BIND.size))
        rows.append(BindIdEntry(bind, IPv4Address(network), IPv4Address(mask)))
    return tuple(rows)


def decode_message(data: bytes, secrets: dict[int, bytes] | None = None) -> Message:
    """One whole message.  With `secrets` by key, one whose security TLV doesn't hold is refused."""
    cursor = Cursor(data)
    version, _, kind, whole = _HEADER.unpack_from(data, cursor.advance(HEADER_SIZE))
    if version != VERSION or whole != len(data):
        raise AdviceError(f"header of version {version} with a length of {whole}")
    if kind not in MESSAGE_TYPES:
        raise AdviceError(f"unknown message {kind:#06x}")
    loads: list[Load] = []
    bindings: tuple[BindIdEntry, ...] = ()
    keep_alive: int | None = None
    key: int | None = None
    budget, skipped, count = [MAX_HOSTS], 0, 0
    while cursor.remaining:
        count += 1
        if count > MAX_TLVS:
            raise AdviceError(f"over {MAX_TLVS} TLVs in one message")
        what, length = cursor.read_header()
        start = cursor.advance(length - _TLV.size) if length >= _TLV.size else -1
        if start < 0:
            raise AdviceError(f"TLV {what:#06x} of {length} bytes")
        inner = Cursor(data, start, cursor.position)
        if what == LOAD_TLV:
            loads.append(_read_load(inner, budget))
        elif what == KEEP_ALIVE_TLV:
            keep_alive = inner.read_u32()
        elif what == BIND_ID_TABLE_TLV:
            bindings = _read_table(inner)
        elif what == SECURITY_TLV:
            key = _checked(inner, data, secrets)
        else:
            skipped += 1
            continue
        if inner.remaining:
            raise AdviceError(f"TLV {what:#06x}: {inner.remaining} bytes too many")
    if secrets and key is None:
        raise AdviceError("no security TLV, where one is asked for")
    return Message(kind, tuple(loads), keep_alive, bindings, key, skipped)


def _checked(cursor: Cursor, data: bytes, secrets: dict[int, bytes] | None) -> int:
    at = cursor.advance(_SECURITY.size)
    algorithm, key, digest = _SECURITY.unpack_from(data, at)
    if not secrets:
        return int(key)
    start = at + _SECURITY.size - DIGEST_SIZE
    bare = data[:start] + b"\0" * DIGEST_SIZE + data[start + DIGEST_SIZE :]
    if (
        algorithm != MD5_ALGORITHM
        or key not in secrets
        or not hmac.compare_digest(_digest(secrets[key], bare), digest)
    ):
        raise AdviceError(f"security: algorithm {algorithm}, key {key}: the digest doesn't hold")
    return int(key)


def _tlv(kind: int, body: bytes) -> bytes:
    if _TLV.size + len(body) > MAX_TLV_SIZE:
        raise AdviceError(f"TLV {kind:#06x} over its size")
    return _TLV.pack(kind, _TLV.size + len(body)) + body


def _write_load(load: Load) -> bytes:
    """In several TLVs where one can't hold all hosts."""
    out = b""
    for n in range(0, len(load.hosts) or 1, HOSTS_PER_TLV):
        hosts = load.hosts[n : n + HOSTS_PER_TLV]
        body = _LOAD.pack(load.port, load.protocol, load.flags, len(hosts), 0)
        out += _tlv(
            LOAD_TLV, body + b"".join(_HOST.pack(h.address.packed, h.bind_id, h.weight) for h in hosts)
        )
    return out


def encode_message(m: Message, secret: tuple[int, bytes] | None = None) -> bytes:
    """With `secret`, a key and its bytes, behind a security TLV."""
    body = b"".join(map(_write_load, m.loads))
    if m.keep_alive_s is not None:
        body += _tlv(KEEP_ALIVE_TLV, struct.pack("!I", m.keep_alive_s))
    if m.message_type == BIND_ID_REPORT or m.bindings:
        rows = b"".join(_BIND.pack(b.bind_id, 0, b.network.packed, b.mask.packed) for b in m.bindings)
        body += _tlv(BIND_ID_TABLE_TLV, struct.pack("!HH", len(m.bindings), 0) + rows)
    if secret is not None:
        body = _tlv(SECURITY_TLV, _SECURITY.pack(MD5_ALGORITHM, secret[0], b"\0" * DIGEST_SIZE)) + body
    data = _HEADER.pack(VERSION, 0, m.message_type, HEADER_SIZE + len(body)) + body
    if secret is None:
        return data
    start = HEADER_SIZE + _TLV.size + _SECURITY.size - DIGEST_SIZE
    return data[:start] + _digest(secret[1], data) + data[start + DIGEST_SIZE :]


class MessageReader:
    """Cuts messages out of a connection's bytes."""

    def __init__(
        self, secrets: dict[int, bytes] | None = None, max_message_size: int = MAX_MESSAGE_SIZE
    ) -> None:
        self.max_message_size, self._secrets, self._buffer = max_message_size, secrets, bytearray()

    def feed(self, data: bytes) -> list[Message]:
        self._buffer += data
        out: list[Message] = []
        if self._buffer and self._buffer[0] != VERSION:
            raise AdviceError(f"unknown version {self._buffer[0]}")
        while len(self._buffer) >= HEADER_SIZE:
            version, _, _, whole = _HEADER.unpack_from(self._buffer)
            if version != VERSION:
                raise AdviceError(f"unknown version {version}")
            if not HEADER_SIZE <= whole <= self.max_message_size:
                raise AdviceError(f"a message of {whole} bytes, {self.max_message_size} at most")
            if len(self._buffer) < whole:
                break
            out.append(decode_message(bytes(self._buffer[:whole]), self._secrets))
            del self._buffer[:whole]
        return out
