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
MESSAGE_MOST = 1 << 20  # bytes of one message: some 100,000 hosts
HOSTS_MOST = 20_000  # hosts of one message, and of one list that was asked for
TLVS_MOST = 4096  # TLVs of one message
PREFERENCE, SERVER_STATE, PARAMETERS = 0x0101, 0x0201, 0x0301
BIND_REQUEST, BIND_REPORT, BIND_CHANGE = 0x0401, 0x0402, 0x0403
SECURITY, LOAD, KEEP_ALIVE, BIND_TABLE = 0x0001, 0x0002, 0x0101, 0x0301
KINDS = {
    PREFERENCE: "preference information", SERVER_STATE: "server state", PARAMETERS: "parameters",
    BIND_REQUEST: "BindID request", BIND_REPORT: "BindID report", BIND_CHANGE: "BindID change notice",
}  # fmt: skip
MD5 = 1  # the only algorithm that the draft names
DIGEST = 16
_HEADER = struct.Struct("!BBHI")
_TLV = struct.Struct("!HH")
_SECURITY = struct.Struct("!II16s")
_LOAD = struct.Struct("!HBBHH")  # port, protocol, flags, hosts, reserved
_HOST = struct.Struct("!4sHH")  # address, BindID, weight
_BIND = struct.Struct("!HH4s4s")  # BindID, reserved, client network and its mask
TLV_MOST = 0xFFFF
HOSTS_PER_TLV = (TLV_MOST - _TLV.size - _LOAD.size) // _HOST.size


@dataclass(frozen=True, slots=True)
class Host:
    address: IPv4Address
    bind: int
    weight: int


@dataclass(frozen=True, slots=True)
class Load:
    """Hosts that serve one port by one protocol (6: TCP); port 0: all."""

    port: int
    protocol: int
    hosts: tuple[Host, ...]
    flags: int = 0


@dataclass(frozen=True, slots=True)
class Binding:
    """A BindID stands for clients of this network."""

    bind: int
    network: IPv4Address
    mask: IPv4Address


@dataclass(frozen=True, slots=True)
class Message:
    kind: int
    loads: tuple[Load, ...] = ()
    keep_alive: int | None = None  # s
    bindings: tuple[Binding, ...] = ()
    key: int | None = None  # of the security TLV that was checked
    skipped: int = field(default=0, compare=False)  # unknown TLVs


def _digest(secret: bytes, message: bytes) -> bytes:
    """MD5 over the message with an empty digest, then the secret."""
    return hashlib.md5(message + secret, usedforsecurity=False).digest()


def _read_load(cursor: Cursor, budget: list[int]) -> Load:
    port, protocol, flags, count, _ = _LOAD.unpack_from(cursor.data, cursor.take(_LOAD.size))
    budget[0] -= count
    if budget[0] < 0:
        raise AdviceError(f"over {HOSTS_MOST} hosts in one message")
    hosts = []
    for _ in range(count):
        address, bind, weight = _HOST.unpack_from(cursor.data, cursor.take(_HOST.size))
        hosts.append(Host(IPv4Address(address), bind, weight))
    return Load(port, protocol, tuple(hosts), flags)


def _read_table(cursor: Cursor) -> tuple[Binding, ...]:
    count = cursor.u16()
    cursor.take(2)
    rows = []
    for _ in range(count):
        bind, _, network, mask = _BIND.unpack_from(cursor.data, cursor.take(_BIND.size))
        rows.append(Binding(bind, IPv4Address(network), IPv4Address(mask)))
    return tuple(rows)


def read(data: bytes, secrets: dict[int, bytes] | None = None) -> Message:
    """One whole message.  With `secrets` by key, one whose security TLV doesn't hold is refused."""
    cursor = Cursor(data)
    version, _, kind, whole = _HEADER.unpack_from(data, cursor.take(HEADER_SIZE))
    if version != VERSION or whole != len(data):
        raise AdviceError(f"header of version {version} with a length of {whole}")
    if kind not in KINDS:
        raise AdviceError(f"unknown message {kind:#06x}")
    loads: list[Load] = []
    bindings: tuple[Binding, ...] = ()
    keep_alive: int | None = None
    key: int | None = None
    budget, skipped, count = [HOSTS_MOST], 0, 0
    while cursor.left:
        count += 1
        if count > TLVS_MOST:
            raise AdviceError(f"over {TLVS_MOST} TLVs in one message")
        what, length = cursor.head()
        start = cursor.take(length - _TLV.size) if length >= _TLV.size else -1
        if start < 0:
            raise AdviceError(f"TLV {what:#06x} of {length} bytes")
        inner = Cursor(data, start, cursor.at)
        if what == LOAD:
            loads.append(_read_load(inner, budget))
        elif what == KEEP_ALIVE:
            keep_alive = inner.u32()
        elif what == BIND_TABLE:
            bindings = _read_table(inner)
        elif what == SECURITY:
            key = _checked(inner, data, secrets)
        else:
            skipped += 1
            continue
        if inner.left:
            raise AdviceError(f"TLV {what:#06x}: {inner.left} bytes too many")
    if secrets and key is None:
        raise AdviceError("no security TLV, where one is asked for")
    return Message(kind, tuple(loads), keep_alive, bindings, key, skipped)


def _checked(cursor: Cursor, data: bytes, secrets: dict[int, bytes] | None) -> int:
    at = cursor.take(_SECURITY.size)
    algorithm, key, digest = _SECURITY.unpack_from(data, at)
    if not secrets:
        return int(key)
    start = at + _SECURITY.size - DIGEST
    bare = data[:start] + b"\0" * DIGEST + data[start + DIGEST :]
    if algorithm != MD5 or key not in secrets or not hmac.compare_digest(_digest(secrets[key], bare), digest):
        raise AdviceError(f"security: algorithm {algorithm}, key {key}: the digest doesn't hold")
    return int(key)


def _tlv(kind: int, body: bytes) -> bytes:
    if _TLV.size + len(body) > TLV_MOST:
        raise AdviceError(f"TLV {kind:#06x} over its size")
    return _TLV.pack(kind, _TLV.size + len(body)) + body


def _write_load(load: Load) -> bytes:
    """In several TLVs where one can't hold all hosts."""
    out = b""
    for n in range(0, len(load.hosts) or 1, HOSTS_PER_TLV):
        hosts = load.hosts[n : n + HOSTS_PER_TLV]
        body = _LOAD.pack(load.port, load.protocol, load.flags, len(hosts), 0)
        out += _tlv(LOAD, body + b"".join(_HOST.pack(h.address.packed, h.bind, h.weight) for h in hosts))
    return out


def write(m: Message, secret: tuple[int, bytes] | None = None) -> bytes:
    """With `secret`, a key and its bytes, behind a security TLV."""
    body = b"".join(map(_write_load, m.loads))
    if m.keep_alive is not None:
        body += _tlv(KEEP_ALIVE, struct.pack("!I", m.keep_alive))
    if m.kind == BIND_REPORT or m.bindings:
        rows = b"".join(_BIND.pack(b.bind, 0, b.network.packed, b.mask.packed) for b in m.bindings)
        body += _tlv(BIND_TABLE, struct.pack("!HH", len(m.bindings), 0) + rows)
    if secret is not None:
        body = _tlv(SECURITY, _SECURITY.pack(MD5, secret[0], b"\0" * DIGEST)) + body
    data = _HEADER.pack(VERSION, 0, m.kind, HEADER_SIZE + len(body)) + body
    if secret is None:
        return data
    start = HEADER_SIZE + _TLV.size + _SECURITY.size - DIGEST
    return data[:start] + _digest(secret[1], data) + data[start + DIGEST :]


class Reader:
    """Cuts messages out of a connection's bytes."""

    def __init__(self, secrets: dict[int, bytes] | None = None, most: int = MESSAGE_MOST) -> None:
        self.most, self._secrets, self._rest = most, secrets, bytearray()

    def feed(self, data: bytes) -> list[Message]:
        self._rest += data
        out: list[Message] = []
        if self._rest and self._rest[0] != VERSION:
            raise AdviceError(f"unknown version {self._rest[0]}")
        while len(self._rest) >= HEADER_SIZE:
            version, _, _, whole = _HEADER.unpack_from(self._rest)
            if version != VERSION:
                raise AdviceError(f"unknown version {version}")
            if not HEADER_SIZE <= whole <= self.most:
                raise AdviceError(f"a message of {whole} bytes, {self.most} at most")
            if len(self._rest) < whole:
                break
            out.append(read(bytes(self._rest[:whole]), self._secrets))
            del self._rest[:whole]
        return out
