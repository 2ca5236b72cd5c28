"""Decoder of SASP messages by the layouts in `messages`; limits the sizes and counts that senders state."""

from __future__ import annotations

from collections.abc import Callable

from ..errors import (
    ComponentLengthError,
    MessageHeaderError,
    MessageSizeError,
    MissingHeaderError,
    TooManyItemsError,
    TrailingDataError,
    UnexpectedComponentError,
    UnknownMessageError,
    UnknownVersionError,
)
from ..tlv import Cursor, decode_address
from .codes import PROTOCOL_VERSION, ComponentType
from .messages import (
    COMPONENT_STRUCT,
    COUNT_STRUCT,
    ENTRY_TYPES,
    GROUP_OF_ENTRIES_STRUCT,
    HEADER_START_STRUCT,
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

# Name of the protocol in errors.
_PROTOCOL = "SASP"
# Maximum size of an accepted message: that of some 100,000 members.
MAX_MESSAGE_BYTES = 4 << 20
# Maximum number of members in an accepted message, over all of its groups.
MAX_MEMBERS_PER_MESSAGE = 20_000
# Maximum number of groups in an accepted message.
MAX_GROUPS_PER_MESSAGE = 1024

# Minimum size of a message: the header and an empty component.
_MIN_MESSAGE_BYTES = HEADER_STRUCT.size + COMPONENT_STRUCT.size
# Maximum number of bytes of unexpected input that an error quotes.
_QUOTED_BYTES = 4

# Component types as integers, because the lookup of an Enum member is slow for ten thousand entries.
_MEMBER_TYPE = int(ComponentType.MEMBER_DATA)
_WEIGHT_TYPE = int(ComponentType.WEIGHT_ENTRY)
_STATE_TYPE = int(ComponentType.MEMBER_STATE_INSTANCE)


class MessageReader:
    """Reader that splits received bytes into messages; rejects a bad header before it buffers the message."""

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._max_message_bytes = max_message_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Adds received bytes and returns the complete messages; raises AdviceError for invalid ones."""
        self._buffer += data
        messages: list[Message] = []
        while len(self._buffer) >= HEADER_STRUCT.size:
            message_size = self._next_message_size()
            if len(self._buffer) < message_size:
                break
            messages.append(decode_message(bytes(self._buffer[:message_size])))
            del self._buffer[:message_size]
        self._check_partial_header()
        return messages

    def _next_message_size(self) -> int:
        """Reads the size in bytes of the message whose header is at the start of the buffer."""
        component_type, length, version, message_size = HEADER_START_STRUCT.unpack_from(self._buffer)
        if component_type != ComponentType.HEADER or length != HEADER_STRUCT.size:
            raise self._missing_header_error()
        if version != PROTOCOL_VERSION:
            raise UnknownVersionError(_PROTOCOL, version, PROTOCOL_VERSION)
        if not _MIN_MESSAGE_BYTES <= message_size <= self._max_message_bytes:
            raise MessageSizeError(_PROTOCOL, message_size, _MIN_MESSAGE_BYTES, self._max_message_bytes)
        return int(message_size)

    def _check_partial_header(self) -> None:
        """Raises MissingHeaderError if the buffer is not the start of a header."""
        expected = COUNT_STRUCT.pack(ComponentType.HEADER)
        if self._buffer[: len(expected)] != expected[: len(self._buffer)]:
            raise self._missing_header_error()

    def _missing_header_error(self) -> MissingHeaderError:
        received = bytes(self._buffer[:_QUOTED_BYTES])
        return MissingHeaderError(ComponentType.HEADER, HEADER_STRUCT.size, received)


def decode_message(data: bytes) -> Message:
    """Decodes one complete message with its header; raises AdviceError for anything else."""
    cursor = Cursor(data, "SASP message")
    message_id = _read_message_header(cursor)
    start = cursor.position
    message_type, length = cursor.read_header()
    layout = MESSAGE_LAYOUTS.get(message_type)
    if layout is None:
        raise UnknownMessageError(_PROTOCOL, message_type)
    fields = {fixed_field.name: _read_field(cursor, fixed_field) for fixed_field in layout.fields}
    groups: list[Group] = []
    fixed_size = cursor.position - start
    if layout.nested_type is not None:
        group_count = cursor.read_u16()
        fixed_size = cursor.position - start
        if group_count > MAX_GROUPS_PER_MESSAGE:
            raise TooManyItemsError(_PROTOCOL, "groups", group_count, MAX_GROUPS_PER_MESSAGE)
        groups = _read_groups(cursor, layout.nested_type, group_count)
    _check_length(cursor, message_type, start, length, fixed_size)
    if cursor.remaining:
        raise TrailingDataError(message_type, cursor.remaining)
    return Message(message_type, message_id, groups=tuple(groups), **fields)  # type: ignore[arg-type]


def _read_message_header(cursor: Cursor) -> int:
    """Returns the message id; raises MessageHeaderError if another field of the header is invalid."""
    length = _read_component_length(cursor, ComponentType.HEADER)
    version = cursor.read_u8()
    message_size = cursor.read_u32()
    message_id = cursor.read_u32()
    if length != HEADER_STRUCT.size or version != PROTOCOL_VERSION or message_size != len(cursor.data):
        raise MessageHeaderError(
            _PROTOCOL,
            received=f"length {length}, version {version}, message length {message_size}",
            expected=(
                f"length {HEADER_STRUCT.size}, version {PROTOCOL_VERSION}, message length {len(cursor.data)}"
            ),
        )
    return message_id


def _read_field(cursor: Cursor, fixed_field: FixedField) -> int | bytes:
    if fixed_field.size_bytes == LABEL_FIELD:
        return cursor.read_label()
    if fixed_field.size_bytes == 1:
        return cursor.read_u8()
    return cursor.read_u16()


def _read_groups(cursor: Cursor, nested_type: ComponentType, group_count: int) -> list[Group]:
    if nested_type == ComponentType.GROUP_DATA:
        return [_read_group(cursor) for _ in range(group_count)]
    counter = _MemberCounter()
    return [_read_group_of_entries(cursor, nested_type, counter) for _ in range(group_count)]


class _MemberCounter:
    """Limit on the number of members in one message, over all of its groups."""

    def __init__(self) -> None:
        self._count = 0

    def add(self, member_count: int) -> None:
        """Adds members to the count before any of them is read; raises TooManyItemsError over the limit."""
        self._count += member_count
        if self._count > MAX_MEMBERS_PER_MESSAGE:
            raise TooManyItemsError(_PROTOCOL, "members", self._count, MAX_MEMBERS_PER_MESSAGE)


def _read_group_of_entries(
    cursor: Cursor, component_type: ComponentType, counter: _MemberCounter
) -> GroupOfEntries:
    start = cursor.position
    length = _read_component_length(cursor, component_type)
    entry_count = cursor.read_u16()
    counter.add(entry_count)
    group = _read_group(cursor)
    read_entry = _ENTRY_READERS[ENTRY_TYPES[component_type]]
    entries = tuple(read_entry(cursor) for _ in range(entry_count))
    _check_length(cursor, component_type, start, length, GROUP_OF_ENTRIES_STRUCT.size)
    return GroupOfEntries(group, entries)


def _read_group(cursor: Cursor) -> GroupData:
    start = cursor.position
    length = _read_component_length(cursor, ComponentType.GROUP_DATA)
    lb_uid = cursor.read_label()
    group_name = cursor.read_label()
    size = cursor.position - start
    if length != size:
        raise ComponentLengthError(ComponentType.GROUP_DATA, start, length, str(size))
    return GroupData(lb_uid, group_name)


def _read_member(cursor: Cursor) -> MemberData:
    start = cursor.advance(MEMBER_STRUCT.size)
    component_type, length, protocol, port, address, label_size = MEMBER_STRUCT.unpack_from(
        cursor.data, start
    )
    if component_type != _MEMBER_TYPE:
        raise UnexpectedComponentError(start, component_type, _MEMBER_TYPE)
    if length != MEMBER_STRUCT.size + label_size:
        raise ComponentLengthError(_MEMBER_TYPE, start, length, str(MEMBER_STRUCT.size + label_size))
    return MemberData(protocol, port, decode_address(address), cursor.read_bytes(label_size))


def _read_weight(cursor: Cursor) -> WeightEntry:
    start = cursor.position
    length = _read_component_length(cursor, _WEIGHT_TYPE)
    member = _read_member(cursor)
    weight_start = cursor.advance(WEIGHT_STRUCT.size)
    opaque_state, flags, weight = WEIGHT_STRUCT.unpack_from(cursor.data, weight_start)
    fixed_size = COMPONENT_STRUCT.size + WEIGHT_STRUCT.size
    _check_length(cursor, _WEIGHT_TYPE, start, length, fixed_size)
    return WeightEntry(member, opaque_state, flags, weight)


def _read_state(cursor: Cursor) -> MemberStateInstance:
    start = cursor.position
    length = _read_component_length(cursor, _STATE_TYPE)
    member = _read_member(cursor)
    opaque_state, flags = STATE_STRUCT.unpack_from(cursor.data, cursor.advance(STATE_STRUCT.size))
    fixed_size = COMPONENT_STRUCT.size + STATE_STRUCT.size
    _check_length(cursor, _STATE_TYPE, start, length, fixed_size)
    return MemberStateInstance(member, opaque_state, flags)


_ENTRY_READERS: dict[ComponentType, Callable[[Cursor], Entry]] = {
    ComponentType.MEMBER_DATA: _read_member,
    ComponentType.WEIGHT_ENTRY: _read_weight,
    ComponentType.MEMBER_STATE_INSTANCE: _read_state,
}


def _read_component_length(cursor: Cursor, expected_type: int) -> int:
    """Reads a component's header and returns its length; raises UnexpectedComponentError for another type."""
    offset = cursor.position
    component_type, length = cursor.read_header()
    if component_type != expected_type:
        raise UnexpectedComponentError(offset, component_type, expected_type)
    return length


def _check_length(cursor: Cursor, component_type: int, start: int, length: int, fixed_size: int) -> None:
    """Raises ComponentLengthError unless the length of a component covers its fixed part or all of it.

    RFC 4678 can be read either way for a component with nested ones.
    """
    total_size = cursor.position - start
    if length not in (fixed_size, total_size):
        raise ComponentLengthError(component_type, start, length, f"{fixed_size} or {total_size}")
