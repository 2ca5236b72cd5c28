"""SASP messages and components as dataclasses, and the layout of each message on the wire (RFC 4678)."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from ..tlv import Address
from .codes import ComponentType, MessageType


@dataclass(frozen=True, slots=True)
class MemberData:
    """A member of a group: IP protocol number (6 is TCP), port, address, and a label chosen by the sender.

    Either the label or the address and port may identify the member.
    """

    protocol: int
    port: int
    address: Address
    label: bytes = b""


@dataclass(frozen=True, slots=True)
class GroupData:
    """A group of members, identified by the UID of its load balancer and its own name."""

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
    """A member's opaque state and flags, as sent by the member itself or by its load balancer."""

    member: MemberData
    opaque_state: int
    flags: int


Entry = MemberData | WeightEntry | MemberStateInstance


@dataclass(frozen=True, slots=True)
class GroupOfEntries:
    """A group with its members, their weights or their states."""

    group: GroupData
    entries: tuple[Entry, ...]


Group = GroupData | GroupOfEntries


@dataclass(frozen=True, slots=True)
class Message:
    """One message; the fields that its type does not have keep their defaults.

    `interval_s` is the polling interval that the workload manager asks for.
    """

    message_type: int
    message_id: int
    flags: int = 0
    reason: int = 0
    response_code: int = 0
    interval_s: int = 0
    lb_health: int = 0
    lb_uid: bytes = b""
    groups: tuple[Group, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class FixedField:
    """A field of `Message` in the fixed part of its layout.

    `size_bytes` is its size, or `LABEL_FIELD` for a label: one byte with the length, and that many bytes.
    """

    name: str
    size_bytes: int


# `size_bytes` of a field that is a label.
LABEL_FIELD = 0

_FLAGS = FixedField("flags", 1)
_REASON = FixedField("reason", 1)
_RESPONSE_CODE = FixedField("response_code", 1)
_INTERVAL = FixedField("interval_s", 2)
_LB_UID = FixedField("lb_uid", LABEL_FIELD)
_LB_HEALTH = FixedField("lb_health", 1)


@dataclass(frozen=True, slots=True)
class MessageLayout:
    """The fixed fields of a message after its type and length, and the type of component it nests, if any."""

    fields: tuple[FixedField, ...]
    nested_type: ComponentType | None = None


MESSAGE_LAYOUTS: dict[int, MessageLayout] = {
    MessageType.REGISTRATION_REQUEST: MessageLayout((_FLAGS,), ComponentType.GROUP_OF_MEMBER_DATA),
    MessageType.REGISTRATION_REPLY: MessageLayout((_RESPONSE_CODE,)),
    MessageType.DEREGISTRATION_REQUEST: MessageLayout((_FLAGS, _REASON), ComponentType.GROUP_OF_MEMBER_DATA),
    MessageType.DEREGISTRATION_REPLY: MessageLayout((_RESPONSE_CODE,)),
    MessageType.GET_WEIGHTS_REQUEST: MessageLayout((), ComponentType.GROUP_DATA),
    MessageType.GET_WEIGHTS_REPLY: MessageLayout(
        (_RESPONSE_CODE, _INTERVAL), ComponentType.GROUP_OF_WEIGHT_DATA
    ),
    MessageType.SEND_WEIGHTS: MessageLayout((), ComponentType.GROUP_OF_WEIGHT_DATA),
    MessageType.SET_LB_STATE_REQUEST: MessageLayout((_LB_UID, _LB_HEALTH, _FLAGS)),
    MessageType.SET_LB_STATE_REPLY: MessageLayout((_RESPONSE_CODE,)),
    MessageType.SET_MEMBER_STATE_REQUEST: MessageLayout((_FLAGS,), ComponentType.GROUP_OF_MEMBER_STATE_DATA),
    MessageType.SET_MEMBER_STATE_REPLY: MessageLayout((_RESPONSE_CODE,)),
}
ENTRY_TYPES = {
    ComponentType.GROUP_OF_MEMBER_DATA: ComponentType.MEMBER_DATA,
    ComponentType.GROUP_OF_WEIGHT_DATA: ComponentType.WEIGHT_ENTRY,
    ComponentType.GROUP_OF_MEMBER_STATE_DATA: ComponentType.MEMBER_STATE_INSTANCE,
}

# Type and length of a component.
COMPONENT_STRUCT = struct.Struct("!HH")
# Type, length, protocol, port, address and length of the label of a member.
MEMBER_STRUCT = struct.Struct("!HHBH16sB")
# Opaque state, flags and weight of a weight entry, after its member.
WEIGHT_STRUCT = struct.Struct("!BBH")
# Opaque state and flags of a member state instance, after its member.
STATE_STRUCT = struct.Struct("!BB")
# Number of nested groups or entries.
COUNT_STRUCT = struct.Struct("!H")
# Type, length and number of entries of a group of entries.
GROUP_OF_ENTRIES_STRUCT = struct.Struct("!HHH")
# Type, length, version, message length and message id of the header.
HEADER_STRUCT = struct.Struct("!HHBII")
# The header without its message id.
HEADER_START_STRUCT = struct.Struct("!HHBI")
