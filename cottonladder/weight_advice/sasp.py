"""SASP, the Server/Application State Protocol, version 1 (RFC 4678): messages and components as bytes.

No I/O.  Tables below give, by message and component type, the fixed fields and what may be nested; one loop
reads by them and one writes by them.  What could not be checked here stands in docs/design/weight-advice.md.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from .tlv import Address, AdviceError, Cursor, labelled, packed, unpacked

PORT = 3860  # the service's well-known port (RFC 4678, IANA)
VERSION = 1
HEADER, HEADER_SIZE = 0x2010, 13  # type, length, version, message length, message id
MESSAGE_MOST = 4 << 20  # bytes of one message: some 100,000 members
MEMBERS_MOST = 20_000  # members over all groups of one message
GROUPS_MOST = 1024  # groups of one message
MEMBER, GROUP, WEIGHT, STATE = 0x3010, 0x3011, 0x3012, 0x3013
MEMBERS, WEIGHTS, STATES = 0x4010, 0x4011, 0x4012
REGISTER, REGISTERED = 0x1010, 0x1015
DEREGISTER, DEREGISTERED = 0x1020, 0x1025
GET_WEIGHTS, WEIGHTS_REPLY, SEND_WEIGHTS = 0x1030, 0x1035, 0x1040
SET_BALANCER, BALANCER_SET = 0x1050, 0x1055
SET_MEMBER, MEMBER_SET = 0x1060, 0x1065
BY_BALANCER = 0x01  # flag of a request: a balancer speaks, not the member itself
PUSH, TRUST, NO_CHANGE = 0x01, 0x02, 0x04  # flags of a balancer's state
CONTACT, QUIESCED, BY_MEMBER, CONFIDENT = 0x01, 0x02, 0x04, 0x08  # flags of a weight entry
QUIESCE = 0x01  # flag of a member's state
PURPOSE_LEARNED = 0x01  # reason of a deregistration
OK, NOT_UNDERSTOOD, NOT_ACCEPTED = 0x00, 0x10, 0x11
ALREADY, DUPLICATE, BAD_GROUP, GROUP_TWICE = 0x40, 0x41, 0x42, 0x43
NOT_REGISTERED, UNKNOWN_GROUP, MEMBER_TWICE = 0x44, 0x45, 0x46
NO_GROUP_NAME, BAD_UID, NOT_CONTACTED = 0x50, 0x51, 0x61
WORDS = {
    OK: "done", NOT_UNDERSTOOD: "not understood", NOT_ACCEPTED: "not accepted from this sender",
    ALREADY: "already registered", DUPLICATE: "a member twice", BAD_GROUP: "group not allowed",
    GROUP_TWICE: "a group twice", NOT_REGISTERED: "not registered", UNKNOWN_GROUP: "unknown group",
    MEMBER_TWICE: "a member twice", NO_GROUP_NAME: "group without a name", BAD_UID: "bad balancer uid",
    NOT_CONTACTED: "its balancer is not here",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Member:
    """By protocol (6: TCP), port and address, and by a label of its own; either may tell who it is."""

    protocol: int
    port: int
    address: Address
    label: bytes = b""


@dataclass(frozen=True, slots=True)
class Group:
    uid: bytes  # of the balancer
    name: bytes


@dataclass(frozen=True, slots=True)
class Weight:
    member: Member
    state: int
    flags: int
    weight: int


@dataclass(frozen=True, slots=True)
class MemberState:
    member: Member
    state: int
    flags: int


@dataclass(frozen=True, slots=True)
class Grouped:
    """A group with members, weights or states."""

    group: Group
    entries: tuple[Member | Weight | MemberState, ...]


@dataclass(frozen=True, slots=True)
class Message:
    """One message; fields that its type lacks stay 0."""

    kind: int
    number: int
    flags: int = 0
    reason: int = 0
    code: int = 0
    interval: int = 0  # s, asked for between two calls for weights
    health: int = 0
    uid: bytes = b""
    groups: tuple[Group | Grouped, ...] = field(default=())


# Fixed fields of each message behind type and length, as (name, bytes; 0: a label), and the nested component.
SHAPES: dict[int, tuple[tuple[tuple[str, int], ...], int]] = {
    REGISTER: ((("flags", 1),), MEMBERS),
    DEREGISTER: ((("flags", 1), ("reason", 1)), MEMBERS),
    GET_WEIGHTS: ((), GROUP),
    WEIGHTS_REPLY: ((("code", 1), ("interval", 2)), WEIGHTS),
    SEND_WEIGHTS: ((), WEIGHTS),
    SET_BALANCER: ((("uid", 0), ("health", 1), ("flags", 1)), 0),
    SET_MEMBER: ((("flags", 1),), STATES),
    **{kind: ((("code", 1),), 0) for kind in (REGISTERED, DEREGISTERED, BALANCER_SET, MEMBER_SET)},
}
REPLIES = {
    REGISTER: REGISTERED, DEREGISTER: DEREGISTERED, GET_WEIGHTS: WEIGHTS_REPLY, SET_BALANCER: BALANCER_SET,
    SET_MEMBER: MEMBER_SET,
}  # fmt: skip
ENTRIES = {MEMBERS: MEMBER, WEIGHTS: WEIGHT, STATES: STATE}
_MEMBER = struct.Struct("!HHBH16sB")
_ENTRY = struct.Struct("!BBH")
_STATE = struct.Struct("!BB")


def _extent(cursor: Cursor, kind: int, at: int, length: int, fixed: int) -> None:
    """A container's length may stand for its fixed part alone, or take in what is nested: two readings of the
    standard that can't be told apart here.  Anything else can't be."""
    if length not in (fixed, cursor.at - at):
        raise AdviceError(
            f"component {kind:#06x}: a length of {length}, {fixed} or {cursor.at - at} expected"
        )


def _expect(cursor: Cursor, kind: int) -> int:
    found, length = cursor.head()
    if found != kind:
        raise AdviceError(f"component {found:#06x} where {kind:#06x} is expected")
    return length


def _read_member(cursor: Cursor) -> Member:
    at = cursor.take(_MEMBER.size)
    kind, length, protocol, port, address, size = _MEMBER.unpack_from(cursor.data, at)
    if kind != MEMBER or length != _MEMBER.size + size:
        raise AdviceError(f"component {kind:#06x} of {length} bytes where a member is expected")
    return Member(protocol, port, unpacked(address), cursor.raw(size))


def _read_group(cursor: Cursor) -> Group:
    at = cursor.at
    length = _expect(cursor, GROUP)
    group = Group(cursor.label(), cursor.label())
    if length != cursor.at - at:
        raise AdviceError(f"group data: a length of {length}, {cursor.at - at} expected")
    return group


def _read_weight(cursor: Cursor) -> Weight:
    at = cursor.at
    length = _expect(cursor, WEIGHT)
    member = _read_member(cursor)
    entry = Weight(member, *_ENTRY.unpack_from(cursor.data, cursor.take(_ENTRY.size)))
    _extent(cursor, WEIGHT, at, length, 4 + _ENTRY.size)
    return entry


def _read_state(cursor: Cursor) -> MemberState:
    at = cursor.at
    length = _expect(cursor, STATE)
    member = _read_member(cursor)
    entry = MemberState(member, *_STATE.unpack_from(cursor.data, cursor.take(_STATE.size)))
    _extent(cursor, STATE, at, length, 4 + _STATE.size)
    return entry


_READ: dict[int, Callable[[Cursor], Member | Weight | MemberState]] = {
    MEMBER: _read_member, WEIGHT: _read_weight, STATE: _read_state,
}  # fmt: skip


def _read_grouped(cursor: Cursor, kind: int, budget: list[int]) -> Grouped:
    at = cursor.at
    length, count = _expect(cursor, kind), cursor.u16()
    budget[0] -= count
    if budget[0] < 0:
        raise AdviceError(f"over {MEMBERS_MOST} members in one message")
    group, read = _read_group(cursor), _READ[ENTRIES[kind]]
    entries = tuple(read(cursor) for _ in range(count))
    _extent(cursor, kind, at, length, 6)
    return Grouped(group, entries)


def read(data: bytes) -> Message:
    """One whole message, its header included."""
    cursor = Cursor(data)
    length = _expect(cursor, HEADER)
    version, whole, number = cursor.u8(), cursor.u32(), cursor.u32()
    if length != HEADER_SIZE or version != VERSION or whole != len(data):
        raise AdviceError(f"header of version {version} with lengths {length} and {whole}")
    at = cursor.at
    kind, length = cursor.head()
    shape = SHAPES.get(kind)
    if shape is None:
        raise AdviceError(f"unknown message {kind:#06x}")
    fields: dict[str, int | bytes] = {}
    for name, size in shape[0]:
        fields[name] = cursor.label() if not size else cursor.u8() if size == 1 else cursor.u16()
    groups: list[Group | Grouped] = []
    fixed = cursor.at - at
    if nested := shape[1]:
        count, budget = cursor.u16(), [MEMBERS_MOST]
        fixed += 2
        if count > GROUPS_MOST:
            raise AdviceError(f"over {GROUPS_MOST} groups in one message")
        for _ in range(count):
            groups.append(_read_group(cursor) if nested == GROUP else _read_grouped(cursor, nested, budget))
    _extent(cursor, kind, at, length, fixed)
    if cursor.left:
        raise AdviceError(f"{cursor.left} bytes behind a message of {kind:#06x}")
    return Message(kind, number, groups=tuple(groups), **fields)  # type: ignore[arg-type]


def _write_member(m: Member) -> bytes:
    head = _MEMBER.pack(
        MEMBER, _MEMBER.size + len(m.label), m.protocol, m.port, packed(m.address), len(m.label)
    )
    return head + m.label


def _write_group(g: Group) -> bytes:
    body = labelled(g.uid) + labelled(g.name)
    return struct.pack("!HH", GROUP, 4 + len(body)) + body


def _write_entry(entry: Member | Weight | MemberState) -> bytes:
    if isinstance(entry, Weight):
        head = struct.pack("!HH", WEIGHT, 4 + _ENTRY.size)
        return head + _write_member(entry.member) + _ENTRY.pack(entry.state, entry.flags, entry.weight)
    if isinstance(entry, MemberState):
        head = struct.pack("!HH", STATE, 4 + _STATE.size)
        return head + _write_member(entry.member) + _STATE.pack(entry.state, entry.flags)
    return _write_member(entry)


def write(m: Message) -> bytes:
    """A container's length stands for its fixed part: two bytes could not take in ten thousand members."""
    fields, nested = SHAPES[m.kind]
    body = b"".join(
        labelled(getattr(m, name)) if not size else getattr(m, name).to_bytes(size, "big")
        for name, size in fields
    )
    parts: list[bytes] = []
    if nested:
        body += struct.pack("!H", len(m.groups))
        for g in m.groups:
            if isinstance(g, Group):
                parts.append(_write_group(g))
            else:
                parts.append(struct.pack("!HHH", nested, 6, len(g.entries)) + _write_group(g.group))
                parts += map(_write_entry, g.entries)
    inner = struct.pack("!HH", m.kind, 4 + len(body)) + body + b"".join(parts)
    whole = HEADER_SIZE + len(inner)
    return struct.pack("!HHBII", HEADER, HEADER_SIZE, VERSION, whole, m.number) + inner


class Reader:
    """Cuts messages out of a connection's bytes; a bad header is refused before memory is taken for it."""

    def __init__(self, most: int = MESSAGE_MOST) -> None:
        self.most = most
        self._rest = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        self._rest += data
        out: list[Message] = []
        while len(self._rest) >= HEADER_SIZE:
            kind, length, version, whole = struct.unpack_from("!HHBI", self._rest)
            if kind != HEADER or length != HEADER_SIZE:
                raise AdviceError(f"no header: {bytes(self._rest[:4]).hex()}")
            if version != VERSION:
                raise AdviceError(f"unknown version {version}")
            if not HEADER_SIZE + 4 <= whole <= self.most:
                raise AdviceError(f"a message of {whole} bytes, {self.most} at most")
            if len(self._rest) < whole:
                break
            out.append(read(bytes(self._rest[:whole])))
            del self._rest[:whole]
        if self._rest and self._rest[:2] != b"\x20\x10"[: len(self._rest)]:
            raise AdviceError(f"no header: {bytes(self._rest[:4]).hex()}")
        return out
