"""Encoder of SASP messages by the layouts in `messages` (RFC 4678)."""

from __future__ import annotations

from ..tlv import encode_address, encode_label
from .codes import PROTOCOL_VERSION, ComponentType
from .messages import (
    COMPONENT_STRUCT,
    COUNT_STRUCT,
    GROUP_OF_ENTRIES_STRUCT,
    HEADER_STRUCT,
    LABEL_FIELD,
    MEMBER_STRUCT,
    MESSAGE_LAYOUTS,
    STATE_STRUCT,
    WEIGHT_STRUCT,
    Entry,
    FixedField,
    Group,
    GroupData,
    GroupOfEntries,
    MemberData,
    MemberStateInstance,
    Message,
    WeightEntry,
)

# Constants of an entry, computed once because a message may have ten thousand entries.
_MEMBER_TYPE = int(ComponentType.MEMBER_DATA)
_WEIGHT_HEAD = COMPONENT_STRUCT.pack(ComponentType.WEIGHT_ENTRY, COMPONENT_STRUCT.size + WEIGHT_STRUCT.size)
_STATE_HEAD = COMPONENT_STRUCT.pack(
    ComponentType.MEMBER_STATE_INSTANCE, COMPONENT_STRUCT.size + STATE_STRUCT.size
)


def encode_message(message: Message) -> bytes:
    """Encodes a message with its header; raises LabelTooLongError for a UID or group name over 255 bytes.

    The length of a component with nested ones covers its fixed part only, because the two bytes of the length
    could not express the size of ten thousand nested members.
    """
    layout = MESSAGE_LAYOUTS[message.message_type]
    fixed = b"".join(_encode_field(message, fixed_field) for fixed_field in layout.fields)
    nested = b""
    if layout.nested_type is not None:
        fixed += COUNT_STRUCT.pack(len(message.groups))
        nested = b"".join(_encode_nested_group(layout.nested_type, group) for group in message.groups)
    component = COMPONENT_STRUCT.pack(message.message_type, COMPONENT_STRUCT.size + len(fixed))
    body = component + fixed + nested
    message_size = HEADER_STRUCT.size + len(body)
    header = HEADER_STRUCT.pack(
        ComponentType.HEADER, HEADER_STRUCT.size, PROTOCOL_VERSION, message_size, message.message_id
    )
    return header + body


def _encode_field(message: Message, fixed_field: FixedField) -> bytes:
    value = getattr(message, fixed_field.name)
    if fixed_field.size_bytes == LABEL_FIELD:
        return encode_label(value, fixed_field.name)
    encoded: bytes = value.to_bytes(fixed_field.size_bytes, "big")
    return encoded


def _encode_nested_group(component_type: ComponentType, group: Group) -> bytes:
    if isinstance(group, GroupData):
        return _encode_group(group)
    return _encode_group_of_entries(component_type, group)


def _encode_group_of_entries(component_type: ComponentType, group: GroupOfEntries) -> bytes:
    head = GROUP_OF_ENTRIES_STRUCT.pack(component_type, GROUP_OF_ENTRIES_STRUCT.size, len(group.entries))
    return head + _encode_group(group.group) + b"".join(map(_encode_entry, group.entries))


def _encode_group(group: GroupData) -> bytes:
    body = encode_label(group.lb_uid, "lb_uid") + encode_label(group.group_name, "group_name")
    return COMPONENT_STRUCT.pack(ComponentType.GROUP_DATA, COMPONENT_STRUCT.size + len(body)) + body


def _encode_entry(entry: Entry) -> bytes:
    if isinstance(entry, WeightEntry):
        tail = WEIGHT_STRUCT.pack(entry.opaque_state, entry.flags, entry.weight)
        return _WEIGHT_HEAD + _encode_member(entry.member) + tail
    if isinstance(entry, MemberStateInstance):
        tail = STATE_STRUCT.pack(entry.opaque_state, entry.flags)
        return _STATE_HEAD + _encode_member(entry.member) + tail
    return _encode_member(entry)


def _encode_member(member: MemberData) -> bytes:
    label_size = len(member.label)
    length = MEMBER_STRUCT.size + label_size
    address = encode_address(member.address)
    fixed = MEMBER_STRUCT.pack(_MEMBER_TYPE, length, member.protocol, member.port, address, label_size)
    return fixed + member.label
