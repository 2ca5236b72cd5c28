"""SASP, the Server/Application State Protocol, version 1 (RFC 4678): messages and components as bytes.

No I/O.  Tables below give, by message and component type, the fixed fields and what may be nested; one loop
reads by them and one writes by them.  What could not be checked here stands in docs/design/weight-advice.md.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from .tlv import Address, AdviceError, Cursor, decode_address, encode_address, encode_label

PORT = 3860  # the service's well-known port (RFC 4678, IANA)
VERSION = 1
HEADER, HEADER_SIZE = 0x2010, 13  # type, length, version, message length, message id
MAX_MESSAGE_SIZE = 4 << 20  # bytes of one message: some 100,000 members
MAX_MEMBERS = 20_000  # members over all groups of one message
MAX_GROUPS = 1024  # groups of one message
MEMBER_DATA, GROUP_DATA, WEIGHT_ENTRY, MEMBER_STATE_INSTANCE = 0x3010, 0x3011, 0x3012, 0x3013
GROUP_OF_MEMBER_DATA, GROUP_OF_WEIGHT_DATA, GROUP_OF_MEMBER_STATE_DATA = 0x4010, 0x4011, 0x4012
REGISTRATION_REQUEST, REGISTRATION_REPLY = 0x1010, 0x1015
DEREGISTRATION_REQUEST, DEREGISTRATION_REPLY = 0x1020, 0x1025
GET_WEIGHTS_REQUEST, GET_WEIGHTS_REPLY, SEND_WEIGHTS = 0x1030, 0x1035, 0x1040
SET_LB_STATE_REQUEST, SET_LB_STATE_REPLY = 0x1050, 0x1055
SET_MEMBER_STATE_REQUEST, SET_MEMBER_STATE_REPLY = 0x1060, 0x1065
LOAD_BALANCER_FLAG = 0x01  # flag of a request: a balancer speaks, not the member itself
PUSH_FLAG, TRUST_FLAG, NO_CHANGE_NO_SEND_FLAG = 0x01, 0x02, 0x04  # flags of a balancer's state
CONTACT_SUCCESS_FLAG, QUIESCE_FLAG, REGISTRATION_FLAG, CONFIDENT_FLAG = (
    0x01,
    0x02,
    0x04,
    0x08,
)  # flags of a weight entry
MEMBER_QUIESCE_FLAG = 0x01  # flag of a member's state
REASON_LEARNED_PURPOSEFUL = 0x01  # reason of a deregistration
SUCCESSFUL, MESSAGE_NOT_UNDERSTOOD, SENDER_NOT_ACCEPTED = 0x00, 0x10, 0x11
MEMBER_ALREADY_REGISTERED, DUPLICATE_MEMBER_IN_REQUEST, INVALID_GROUP, DUPLICATE_GROUP = (
    0x40,
    0x41,
    0x42,
    0x43,
)
MEMBER_NOT_REGISTERED, GROUP_NOT_REGISTERED, DUPLICATE_MEMBER = 0x44, 0x45, 0x46
MISSING_GROUP_NAME, INVALID_LB_UID, LB_NOT_CONNECTED = 0x50, 0x51, 0x61
RESPONSE_TEXTS = {
    SUCCESSFUL: "done",
    MESSAGE_NOT_UNDERSTOOD: "not understood",
    SENDER_NOT_ACCEPTED: "not accepted from this sender",
    MEMBER_ALREADY_REGISTERED: "already registered",
    DUPLICATE_MEMBER_IN_REQUEST: "a member twice",
    INVALID_GROUP: "group not allowed",
    DUPLICATE_GROUP: "a group twice",
    MEMBER_NOT_REGISTERED: "not registered",
    GROUP_NOT_REGISTERED: "unknown group",
    DUPLICATE_MEMBER: "a member twice",
    MISSING_GROUP_NAME: "group without a name",
    INVALID_LB_UID: "bad balancer uid",
    LB_NOT_CONNECTED: "its balancer is not here",
}


@dataclass(frozen=True, slots=True)
class MemberData:
    """By protocol (6: TCP), port and address, and by a label of its own; either may tell who it is."""

    protocol: int
    port: int
    address: Address
    label: bytes = b""


@dataclass(frozen=True, slots=True)
class GroupData:
    lb_uid: bytes  # of the balancer
    group_name: bytes


@dataclass(frozen=True, slots=True)
class WeightEntry:
    member: MemberData
    opaque_state: int
    flags: int
    weight: int


@dataclass(frozen=True, slots=True)
class MemberStateInstance:
    member: MemberData
    opaque_state: int
    flags: int


@dataclass(frozen=True, slots=True)
class GroupOfEntries:
    """A group with members, weights or states."""

    group: GroupData
    entries: tuple[MemberData | WeightEntry | MemberStateInstance, ...]


@dataclass(frozen=True, slots=True)
class Message:
    """One message; fields that its type lacks stay 0."""

    message_type: int
    message_id: int
    flags: int = 0
    reason: int = 0
    response_code: int = 0
    interval_s: int = 0  # s, asked for between two calls for weights
    lb_health: int = 0
    lb_uid: bytes = b""
    groups: tuple[GroupData | GroupOfEntries, ...] = field(default=())


# Fixed fields of each message behind type and length, as (name, bytes; 0: a label), and the nested component.
MESSAGE_LAYOUTS: dict[int, tuple[tuple[tuple[str, int], ...], int]] = {
    REGISTRATION_REQUEST: ((("flags", 1),), GROUP_OF_MEMBER_DATA),
    DEREGISTRATION_REQUEST: ((("flags", 1), ("reason", 1)), GROUP_OF_MEMBER_DATA),
    GET_WEIGHTS_REQUEST: ((), GROUP_DATA),
    GET_WEIGHTS_REPLY: ((("response_code", 1), ("interval_s", 2)), GROUP_OF_WEIGHT_DATA),
    SEND_WEIGHTS: ((), GROUP_OF_WEIGHT_DATA),
    SET_LB_STATE_REQUEST: ((("lb_uid", 0), ("lb_health", 1), ("flags", 1)), 0),
    SET_MEMBER_STATE_REQUEST: ((("flags", 1),), GROUP_OF_MEMBER_STATE_DATA),
    **{
        kind: ((("response_code", 1),), 0)
        for kind in (REGISTRATION_REPLY, DEREGISTRATION_REPLY, SET_LB_STATE_REPLY, SET_MEMBER_STATE_REPLY)
    },
}
REPLY_TYPES = {
    REGISTRATION_REQUEST: REGISTRATION_REPLY,
    DEREGISTRATION_REQUEST: DEREGISTRATION_REPLY,
    GET_WEIGHTS_REQUEST: GET_WEIGHTS_REPLY,
    SET_LB_STATE_REQUEST: SET_LB_STATE_REPLY,
    SET_MEMBER_STATE_REQUEST: SET_MEMBER_STATE_REPLY,
}
ENTRY_TYPES = {
    GROUP_OF_MEMBER_DATA: MEMBER_DATA,
    GROUP_OF_WEIGHT_DATA: WEIGHT_ENTRY,
    GROUP_OF_MEMBER_STATE_DATA: MEMBER_STATE_INSTANCE,
}
_MEMBER = struct.Struct("!HHBH16sB")
_ENTRY = struct.Struct("!BBH")
_STATE = struct.Struct("!BB")


def _extent(cursor: Cursor, kind: int, at: int, length: int, fixed: int) -> None:
    """A container's length may stand for its fixed part alone, or take in what is nested: two readings of the
    standard that can't be told apart here.  Anything else can't be."""
    if length not in (fixed, cursor.position - at):
        raise AdviceError(
            f"component {kind:#06x}: a length of {length}, {fixed} or {cursor.position - at} expected"
        )


def _expect(cursor: Cursor, kind: int) -> int:
    found, length = cursor.read_header()
    if found != kind:
        raise AdviceError(f"component {found:#06x} where {kind:#06x} is expected")
    return length


def _read_member(cursor: Cursor) -> MemberData:
    at = cursor.advance(_MEMBER.size)
    kind, length, protocol, port, address, size = _MEMBER.unpack_from(cursor.data, at)
    if kind != MEMBER_DATA or length != _MEMBER.size + size:
        raise AdviceError(f"component {kind:#06x} of {length} bytes where a member is expected")
    return MemberData(protocol, port, decode_address(address), cursor.read_bytes(size))


def _read_group(cursor: Cursor) -> GroupData:
    at = cursor.position
    length = _expect(cursor, GROUP_DATA)
    group = GroupData(cursor.read_label(), cursor.read_label())
    if length != cursor.position - at:
        raise AdviceError(f"group data: a length of {length}, {cursor.position - at} expected")
    return group


def _read_weight(cursor: Cursor) -> WeightEntry:
    at = cursor.position
    length = _expect(cursor, WEIGHT_ENTRY)
    member = _read_member(cursor)
    entry = WeightEntry(member, *_ENTRY.unpack_from(cursor.data, cursor.advance(_ENTRY.size)))
    _extent(cursor, WEIGHT_ENTRY, at, length, 4 + _ENTRY.size)
    return entry


def _read_state(cursor: Cursor) -> MemberStateInstance:
    at = cursor.position
    length = _expect(cursor, MEMBER_STATE_INSTANCE)
    member = _read_member(cursor)
    entry = MemberStateInstance(member, *_STATE.unpack_from(cursor.data, cursor.advance(_STATE.size)))
    _extent(cursor, MEMBER_STATE_INSTANCE, at, length, 4 + _STATE.size)
    return entry


_READ: dict[int, Callable[[Cursor], MemberData | WeightEntry | MemberStateInstance]] = {
    MEMBER_DATA: _read_member, WEIGHT_ENTRY: _read_weight, MEMBER_STATE_INSTANCE: _read_state,
}  # fmt: skip


def _read_grouped(cursor: Cursor, kind: int, budget: list[int]) -> GroupOfEntries:
    at = cursor.position
    length, count = _expect(cursor, kind), cursor.read_u16()
    budget[0] -= count
    if budget[0] < 0:
        raise AdviceError(f"over {MAX_MEMBERS} members in one message")
    group, read = _read_group(cursor), _READ[ENTRY_TYPES[kind]]
    entries = tuple(read(cursor) for _ in range(count))
    _extent(cursor, kind, at, length, 6)
    return GroupOfEntries(group, entries)


def decode_message(data: bytes) -> Message:
    """One whole message, its header included."""
    cursor = Cursor(data)
    length = _expect(cursor, HEADER)
    version, whole, number = cursor.read_u8(), cursor.read_u32(), cursor.read_u32()
    if length != HEADER_SIZE or version != VERSION or whole != len(data):
        raise AdviceError(f"header of version {version} with lengths {length} and {whole}")
    at = cursor.position
    kind, length = cursor.read_header()
    shape = MESSAGE_LAYOUTS.get(kind)
    if shape is None:
        raise AdviceError(f"unknown message {kind:#06x}")
    fields: dict[str, int | bytes] = {}
    for name, size in shape[0]:
        fields[name] = (
            cursor.read_label() if not size else cursor.read_u8() if size == 1 else cursor.read_u16()
        )
    groups: list[GroupData | GroupOfEntries] = []
    fixed = cursor.position - at
    if nested := shape[1]:
        count, budget = cursor.read_u16(), [MAX_MEMBERS]
        fixed += 2
        if count > MAX_GROUPS:
            raise AdviceError(f"over {MAX_GROUPS} groups in one message")
        for _ in range(count):
            groups.append(
                _read_group(cursor) if nested == GROUP_DATA else _read_grouped(cursor, nested, budget)
            )
    _extent(cursor, kind, at, length, fixed)
    if cursor.remaining:
        raise AdviceError(f"{cursor.remaining} bytes behind a message of {kind:#06x}")
    return Message(kind, number, groups=tuple(groups), **fields)  # type: ignore[arg-type]


def _write_member(m: MemberData) -> bytes:
    head = _MEMBER.pack(
        MEMBER_DATA, _MEMBER.size + len(m.label), m.protocol, m.port, encode_address(m.address), len(m.label)
    )
    return head + m.label


def _write_group(g: GroupData) -> bytes:
    body = encode_label(g.lb_uid) + encode_label(g.group_name)
    return struct.pack("!HH", GROUP_DATA, 4 + len(body)) + body


def _write_entry(entry: MemberData | WeightEntry | MemberStateInstance) -> bytes:
    if isinstance(entry, WeightEntry):
        head = struct.pack("!HH", WEIGHT_ENTRY, 4 + _ENTRY.size)
        return head + _write_member(entry.member) + _ENTRY.pack(entry.opaque_state, entry.flags, entry.weight)
    if isinstance(entry, MemberStateInstance):
        head = struct.pack("!HH", MEMBER_STATE_INSTANCE, 4 + _STATE.size)
        return head + _write_member(entry.member) + _STATE.pack(entry.opaque_state, entry.flags)
    return _write_member(entry)


def encode_message(m: Message) -> bytes:
    """A container's length stands for its fixed part: two bytes could not take in ten thousand members."""
    fields, nested = MESSAGE_LAYOUTS[m.message_type]
    body = b"".join(
        encode_label(getattr(m, name)) if not size else getattr(m, name).to_bytes(size, "big")
        for name, size in fields
    )
    parts: list[bytes] = []
    if nested:
        body += struct.pack("!H", len(m.groups))
        for g in m.groups:
            if isinstance(g, GroupData):
                parts.append(_write_group(g))
            else:
                parts.append(struct.pack("!HHH", nested, 6, len(g.entries)) + _write_group(g.group))
                parts += map(_write_entry, g.entries)
    inner = struct.pack("!HH", m.message_type, 4 + len(body)) + body + b"".join(parts)
    whole = HEADER_SIZE + len(inner)
    return struct.pack("!HHBII", HEADER, HEADER_SIZE, VERSION, whole, m.message_id) + inner


class MessageReader:
    """Cuts messages out of a connection's bytes; a bad header is refused before memory is taken for it."""

    def __init__(self, max_message_size: int = MAX_MESSAGE_SIZE) -> None:
        self.max_message_size = max_message_size
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        self._buffer += data
        out: list[Message] = []
        while len(self._buffer) >= HEADER_SIZE:
            kind, length, version, whole = struct.unpack_from("!HHBI", self._buffer)
            if kind != HEADER or length != HEADER_SIZE:
                raise AdviceError(f"no header: {bytes(self._buffer[:4]).hex()}")
            if version != VERSION:
                raise AdviceError(f"unknown version {version}")
            if not HEADER_SIZE + 4 <= whole <= self.max_message_size:
                raise AdviceError(f"a message of {whole} bytes, {self.max_message_size} at most")
            if len(self._buffer) < whole:
                break
            out.append(decode_message(bytes(self._buffer[:whole])))
            del self._buffer[:whole]
        if self._buffer and self._buffer[:2] != b"\x20\x10"[: len(self._buffer)]:
            raise AdviceError(f"no header: {bytes(self._buffer[:4]).hex()}")
        return out
