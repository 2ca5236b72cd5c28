"""SASP, the Server/Application State Protocol, version 1 (RFC 4678): messages and components as bytes.

The package does no I/O, and its names are those of the RFC.  docs/design/weight-advice.md lists what could
not be tested against another implementation.
"""

from .codes import (
    CONFIDENT_FLAG,
    CONTACT_SUCCESS_FLAG,
    LOAD_BALANCER_FLAG,
    MAX_LB_HEALTH,
    MEMBER_QUIESCE_FLAG,
    MESSAGE_NAMES,
    NO_CHANGE_NO_SEND_FLAG,
    PUSH_FLAG,
    QUIESCE_FLAG,
    REASON_LEARNED_PURPOSEFUL,
    REGISTRATION_FLAG,
    REPLY_TYPES,
    RESPONSE_TEXTS,
    TRUST_FLAG,
    ComponentType,
    MessageType,
    ResponseCode,
    response_text,
)
from .decoding import MessageReader, decode_message
from .encoding import encode_message
from .messages import Entry, GroupData, GroupOfEntries, MemberData, MemberStateInstance, Message, WeightEntry

__all__ = [
    "CONFIDENT_FLAG",
    "CONTACT_SUCCESS_FLAG",
    "LOAD_BALANCER_FLAG",
    "MAX_LB_HEALTH",
    "MEMBER_QUIESCE_FLAG",
    "MESSAGE_NAMES",
    "NO_CHANGE_NO_SEND_FLAG",
    "PUSH_FLAG",
    "QUIESCE_FLAG",
    "REASON_LEARNED_PURPOSEFUL",
    "REGISTRATION_FLAG",
    "REPLY_TYPES",
    "RESPONSE_TEXTS",
    "TRUST_FLAG",
    "ComponentType",
    "Entry",
    "GroupData",
    "GroupOfEntries",
    "MemberData",
    "MemberStateInstance",
    "Message",
    "MessageReader",
    "MessageType",
    "ResponseCode",
    "WeightEntry",
    "decode_message",
    "encode_message",
    "response_text",
]
