"""SASP, the Server/Application State Protocol, version 1 (RFC 4678): messages and components as bytes.

No I/O.  Names are the standard's own.  `MESSAGE_LAYOUTS` gives, by message type, the fixed fields and what
may be nested; one function decodes by it and one encodes by it.  What could not be checked here stands in
docs/design/weight-advice.md.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from .tlv import Address, AdviceError, Cursor, decode_address, encode_address, encode_label

# The service's well-known port (RFC 4678, IANA).
PORT = 3860
VERSION = 1

# Component type of a message's header, and its size: type, length, version, message length, message id.
HEADER = 0x2010
HEADER_SIZE = 13

# Bytes of one message: some 100,000 members.
MAX_MESSAGE_SIZE = 4 << 20
# Members over all groups of one message.
MAX_MEMBERS = 20_000
# Groups of one message.
MAX_GROUPS = 1024

# Component types.
MEMBER_DATA = 0x3010
GROUP_DATA = 0x3011
WEIGHT_ENTRY = 0x3012
MEMBER_STATE_INSTANCE = 0x3013
GROUP_OF_MEMBER_DATA = 0x4010
GROUP_OF_WEIGHT_DATA = 0x4011
GROUP_OF_MEMBER_STATE_DATA = 0x4012

# Message types.
REGISTRATION_REQUEST = 0x1010
REGISTRATION_REPLY = 0x1015
DEREGISTRATION_REQUEST = 0x1020
DEREGISTRATION_REPLY = 0x1025
GET_WEIGHTS_REQUEST = 0x1030
GET_WEIGHTS_REPLY = 0x1035
SEND_WEIGHTS = 0x1040
SET_LB_STATE_REQUEST = 0x1050
SET_LB_STATE_REPLY = 0x1055
SET_MEMBER_STATE_REQUEST = 0x1060
SET_MEMBER_STATE_REPLY = 0x1065

# Flag of a request: the load balancer speaks, not the member itself.
LOAD_BALANCER_FLAG = 0x01
# Flags of a load balancer's state.
PUSH_FLAG = 0x01
TRUST_FLAG = 0x02
NO_CHANGE_NO_SEND_FLAG = 0x04
# Flags of a weight entry.
CONTACT_SUCCESS_FLAG = 0x01
QUIESCE_FLAG = 0x02
REGISTRATION_FLAG = 0x04
CONFIDENT_FLAG = 0x08
# Flag of a member's state.
MEMBER_QUIESCE_FLAG = 0x01
# Reason of a deregistration.
REASON_LEARNED_PURPOSEFUL = 0x01

# Response codes.
SUCCESSFUL = 0x00
MESSAGE_NOT_UNDERSTOOD = 0x10
SENDER_NOT_ACCEPTED = 0x11
MEMBER_ALREADY_REGISTERED = 0x40
DUPLICATE_MEMBER_IN_REQUEST = 0x41
INVALID_GROUP = 0x42
DUPLICATE_GROUP = 0x43
MEMBER_NOT_REGISTERED = 0x44
GROUP_NOT_REGISTERED = 0x45
DUPLICATE_MEMBER = 0x46
MISSING_GROUP_NAME = 0x50
INVALID_LB_UID = 0x51
LB_NOT_CONNECTED = 0x61
# What a response code says, for logs and the command line.
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
    """A group of members, by the UID of its load balancer and its own name."""

    lb_uid: bytes
    group_name: bytes


@dataclass(frozen=True, slots=True)
class WeightEntry:
    """A member's weight, 0 to 65535, with its opaque state and flags."""

    member: MemberData
    opaque_state: int
    flags: int
    weight: int


@dataclass(frozen=True, slots=True)
class MemberStateInstance:
    """A member's opaque state and flags, as it states them itself."""

    member: MemberData
    opaque_state: int
    flags: int


Entry = MemberData | WeightEntry | MemberStateInstance


@dataclass(frozen=True, slots=True)
class GroupOfEntries:
    """A group with members, weights or states."""

    group: GroupData
    entries: tuple[Entry, ...]


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


@dataclass(frozen=True, slots=True)
class FixedField:
    """A field of `Message`; `size` in bytes, or `LABEL`: a length of one byte and so many bytes."""

    name: str
    size: int


LABEL = 0
_FLAGS = FixedField("flags", 1)
_RESPONSE_CODE = FixedField("response_code", 1)


@dataclass(frozen=True, slots=True)
class MessageLayout:
    """Fixed fields of a message behind type and length, and the component type that it nests, if any."""

    fields: tuple[FixedField, ...]
    nested_type: int | None = None


MESSAGE_LAYOUTS: dict[int, MessageLayout] = {
    REGISTRATION_REQUEST: MessageLayout((_FLAGS,), GROUP_OF_MEMBER_DATA),
    REGISTRATION_REPLY: MessageLayout((_RESPONSE_CODE,)),
    DEREGISTRATION_REQUEST: MessageLayout((_FLAGS, FixedField("reason", 1)), GROUP_OF_MEMBER_DATA),
    DEREGISTRATION_REPLY: MessageLayout((_RESPONSE_CODE,)),
    GET_WEIGHTS_REQUEST: MessageLayout((), GROUP_DATA),
    GET_WEIGHTS_REPLY: MessageLayout((_RESPONSE_CODE, FixedField("interval_s", 2)), GROUP_OF_WEIGHT_DATA),
    SEND_WEIGHTS: MessageLayout((), GROUP_OF_WEIGHT_DATA),
    SET_LB_STATE_REQUEST: MessageLayout((FixedField("lb_uid", LABEL), FixedField("lb_health", 1), _FLAGS)),
    SET_LB_STATE_REPLY: MessageLayout((_RESPONSE_CODE,)),
    SET_MEMBER_STATE_REQUEST: MessageLayout((_FLAGS,), GROUP_OF_MEMBER_STATE_DATA),
    SET_MEMBER_STATE_REPLY: MessageLayout((_RESPONSE_CODE,)),
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
_COMPONENT = struct.Struct("!HH")  # type, length
_MEMBER = struct.Struct("!HHBH16sB")  # type, length, protocol, port, address, length of the label
_WEIGHT = struct.Struct("!BBH")  # opaque state, flags, weight
_STATE = struct.Struct("!BB")  # opaque state, flags
_GROUP_OF_ENTRIES = struct.Struct("!HHH")  # type, length, number of entries
_HEADER = struct.Struct("!HHBII")  # type, length, version, message length, message id
_HEADER_START = struct.Struct("!HHBI")  # the same without the message id
_SMALLEST_MESSAGE = HEADER_SIZE + _COMPONENT.size


def _check_length(cursor: Cursor, component_type: int, start: int, length: int, fixed_size: int) -> None:
    """A container's length may stand for its fixed part alone, or take in what is nested.

    Those are two readings of the standard that can't be told apart here.  Anything else is an AdviceError.
    """
    whole_size = cursor.position - start
    if length not in (fixed_size, whole_size):
        raise AdviceError(
            f"component {component_type:#06x}: a length of {length}, {fixed_size} or {whole_size} expected"
        )


def _expect(cursor: Cursor, component_type: int) -> int:
    """The length of the component of this type that comes next."""
    found, length = cursor.read_header()
    if found != component_type:
        raise AdviceError(f"component {found:#06x} where {component_type:#06x} is expected")
    return length


def _read_member(cursor: Cursor) -> MemberData:
    start = cursor.advance(_MEMBER.size)
    component_type, length, protocol, port, address, label_size = _MEMBER.unpack_from(cursor.data, start)
    if component_type != MEMBER_DATA or length != _MEMBER.size + label_size:
        raise AdviceError(f"component {component_type:#06x} of {length} bytes where a member is expected")
    return MemberData(protocol, port, decode_address(address), cursor.read_bytes(label_size))


def _read_group(cursor: Cursor) -> GroupData:
    start = cursor.position
    length = _expect(cursor, GROUP_DATA)
    lb_uid = cursor.read_label()
    group = GroupData(lb_uid, cursor.read_label())
    size = cursor.position - start
    if length != size:
        raise AdviceError(f"group data: a length of {length}, {size} expected")
    return group


def _read_weight(cursor: Cursor) -> WeightEntry:
    start = cursor.position
    length = _expect(cursor, WEIGHT_ENTRY)
    member = _read_member(cursor)
    opaque_state, flags, weight = _WEIGHT.unpack_from(cursor.data, cursor.advance(_WEIGHT.size))
    _check_length(cursor, WEIGHT_ENTRY, start, length, _COMPONENT.size + _WEIGHT.size)
    return WeightEntry(member, opaque_state, flags, weight)


def _read_state(cursor: Cursor) -> MemberStateInstance:
    start = cursor.position
    length = _expect(cursor, MEMBER_STATE_INSTANCE)
    member = _read_member(cursor)
    opaque_state, flags = _STATE.unpack_from(cursor.data, cursor.advance(_STATE.size))
    _check_length(cursor, MEMBER_STATE_INSTANCE, start, length, _COMPONENT.size + _STATE.size)
    return MemberStateInstance(member, opaque_state, flags)


_READERS: dict[int, Callable[[Cursor], Entry]] = {
    MEMBER_DATA: _read_member,
    WEIGHT_ENTRY: _read_weight,
    MEMBER_STATE_INSTANCE: _read_state,
}


class _MemberBudget:
    """Counts the members of one message."""

    def __init__(self) -> None:
        self._remaining = MAX_MEMBERS

    def take(self, count: int) -> None:
        """Raises AdviceError where a message has too many, before any of them is read."""
        self._remaining -= count
        if self._remaining < 0:
            raise AdviceError(f"over {MAX_MEMBERS} members in one message")


def _read_group_of_entries(cursor: Cursor, component_type: int, budget: _MemberBudget) -> GroupOfEntries:
    start = cursor.position
    length = _expect(cursor, component_type)
    count = cursor.read_u16()
    budget.take(count)
    group = _read_group(cursor)
    read_entry = _READERS[ENTRY_TYPES[component_type]]
    entries = tuple(read_entry(cursor) for _ in range(count))
    _check_length(cursor, component_type, start, length, _GROUP_OF_ENTRIES.size)
    return GroupOfEntries(group, entries)


def decode_message(data: bytes) -> Message:
    """One whole message, its header included; raises AdviceError for anything else."""
    cursor = Cursor(data)
    message_id = _read_message_header(cursor)
    start = cursor.position
    message_type, length = cursor.read_header()
    layout = MESSAGE_LAYOUTS.get(message_type)
    if layout is None:
        raise AdviceError(f"unknown message {message_type:#06x}")
    fields = {fixed.name: _read_field(cursor, fixed) for fixed in layout.fields}
    groups: list[GroupData | GroupOfEntries] = []
    fixed_size = cursor.position - start
    if layout.nested_type is not None:
        count = cursor.read_u16()
        fixed_size = cursor.position - start
        if count > MAX_GROUPS:
            raise AdviceError(f"over {MAX_GROUPS} groups in one message")
        groups = _read_groups(cursor, layout.nested_type, count)
    _check_length(cursor, message_type, start, length, fixed_size)
    if cursor.remaining:
        raise AdviceError(f"{cursor.remaining} bytes behind a message of {message_type:#06x}")
    return Message(message_type, message_id, groups=tuple(groups), **fields)  # type: ignore[arg-type]


def _read_message_header(cursor: Cursor) -> int:
    """The message id."""
    length = _expect(cursor, HEADER)
    version = cursor.read_u8()
    message_size = cursor.read_u32()
    message_id = cursor.read_u32()
    if length != HEADER_SIZE or version != VERSION or message_size != len(cursor.data):
        raise AdviceError(f"header of version {version} with lengths {length} and {message_size}")
    return message_id


def _read_field(cursor: Cursor, fixed: FixedField) -> int | bytes:
    if fixed.size == LABEL:
        return cursor.read_label()
    return cursor.read_u8() if fixed.size == 1 else cursor.read_u16()


def _read_groups(cursor: Cursor, nested_type: int, count: int) -> list[GroupData | GroupOfEntries]:
    if nested_type == GROUP_DATA:
        return [_read_group(cursor) for _ in range(count)]
    budget = _MemberBudget()
    return [_read_group_of_entries(cursor, nested_type, budget) for _ in range(count)]


def _encode_member(member: MemberData) -> bytes:
    label_size = len(member.label)
    address = encode_address(member.address)
    size = _MEMBER.size + label_size
    return _MEMBER.pack(MEMBER_DATA, size, member.protocol, member.port, address, label_size) + member.label


def _encode_group(group: GroupData) -> bytes:
    body = encode_label(group.lb_uid) + encode_label(group.group_name)
    return _COMPONENT.pack(GROUP_DATA, _COMPONENT.size + len(body)) + body


def _encode_entry(entry: Entry) -> bytes:
    if isinstance(entry, WeightEntry):
        head = _COMPONENT.pack(WEIGHT_ENTRY, _COMPONENT.size + _WEIGHT.size)
        tail = _WEIGHT.pack(entry.opaque_state, entry.flags, entry.weight)
        return head + _encode_member(entry.member) + tail
    if isinstance(entry, MemberStateInstance):
        head = _COMPONENT.pack(MEMBER_STATE_INSTANCE, _COMPONENT.size + _STATE.size)
        return head + _encode_member(entry.member) + _STATE.pack(entry.opaque_state, entry.flags)
    return _encode_member(entry)


def _encode_field(message: Message, fixed: FixedField) -> bytes:
    value = getattr(message, fixed.name)
    if fixed.size == LABEL:
        return encode_label(value)
    encoded: bytes = value.to_bytes(fixed.size, "big")
    return encoded


def _encode_group_of_entries(component_type: int, group: GroupOfEntries) -> bytes:
    head = _GROUP_OF_ENTRIES.pack(component_type, _GROUP_OF_ENTRIES.size, len(group.entries))
    return head + _encode_group(group.group) + b"".join(map(_encode_entry, group.entries))


def encode_message(message: Message) -> bytes:
    """The bytes of a message, its header included; raises AdviceError for a label that is too long.

    A container's length stands for its fixed part: two bytes could not take in ten thousand members.
    """
    layout = MESSAGE_LAYOUTS[message.message_type]
    fixed = b"".join(_encode_field(message, field_layout) for field_layout in layout.fields)
    nested = b""
    if layout.nested_type is not None:
        fixed += struct.pack("!H", len(message.groups))
        nested = b"".join(
            _encode_group(group)
            if isinstance(group, GroupData)
            else _encode_group_of_entries(layout.nested_type, group)
            for group in message.groups
        )
    body = _COMPONENT.pack(message.message_type, _COMPONENT.size + len(fixed)) + fixed + nested
    message_size = HEADER_SIZE + len(body)
    return _HEADER.pack(HEADER, HEADER_SIZE, VERSION, message_size, message.message_id) + body


class MessageReader:
    """Cuts messages out of a connection's bytes; a bad header is refused before memory is taken for it."""

    def __init__(self, max_message_size: int = MAX_MESSAGE_SIZE) -> None:
        self.max_message_size = max_message_size
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Takes bytes and gives the messages that are whole; raises AdviceError for what is none."""
        self._buffer += data
        messages: list[Message] = []
        while len(self._buffer) >= HEADER_SIZE:
            size = self._message_size()
            if len(self._buffer) < size:
                break
            messages.append(decode_message(bytes(self._buffer[:size])))
            del self._buffer[:size]
        expected = struct.pack("!H", HEADER)
        if self._buffer and self._buffer[: len(expected)] != expected[: len(self._buffer)]:
            raise AdviceError(f"no header: {bytes(self._buffer[:4]).hex()}")
        return messages

    def _message_size(self) -> int:
        """Bytes of the message whose header the buffer begins with."""
        component_type, length, version, size = _HEADER_START.unpack_from(self._buffer)
        if component_type != HEADER or length != HEADER_SIZE:
            raise AdviceError(f"no header: {bytes(self._buffer[:4]).hex()}")
        if version != VERSION:
            raise AdviceError(f"unknown version {version}")
        if not _SMALLEST_MESSAGE <= size <= self.max_message_size:
            raise AdviceError(f"a message of {size} bytes, {self.max_message_size} at most")
        return int(size)
