"""Numeric constants of SASP (RFC 4678): component and message types, flags and response codes."""

from __future__ import annotations

from enum import IntEnum

# Version in the header of each message (RFC 4678).
PROTOCOL_VERSION = 1
# Maximum health of a load balancer in a Set LB State Request (RFC 4678).
MAX_LB_HEALTH = 0x7F


class ComponentType(IntEnum):
    """Types of the components that messages consist of (RFC 4678)."""

    HEADER = 0x2010
    MEMBER_DATA = 0x3010
    GROUP_DATA = 0x3011
    WEIGHT_ENTRY = 0x3012
    MEMBER_STATE_INSTANCE = 0x3013
    GROUP_OF_MEMBER_DATA = 0x4010
    GROUP_OF_WEIGHT_DATA = 0x4011
    GROUP_OF_MEMBER_STATE_DATA = 0x4012


class MessageType(IntEnum):
    """Types of messages (RFC 4678)."""

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


MESSAGE_NAMES: dict[int, str] = {
    MessageType.REGISTRATION_REQUEST: "Registration Request",
    MessageType.REGISTRATION_REPLY: "Registration Reply",
    MessageType.DEREGISTRATION_REQUEST: "Deregistration Request",
    MessageType.DEREGISTRATION_REPLY: "Deregistration Reply",
    MessageType.GET_WEIGHTS_REQUEST: "Get Weights Request",
    MessageType.GET_WEIGHTS_REPLY: "Get Weights Reply",
    MessageType.SEND_WEIGHTS: "Send Weights",
    MessageType.SET_LB_STATE_REQUEST: "Set LB State Request",
    MessageType.SET_LB_STATE_REPLY: "Set LB State Reply",
    MessageType.SET_MEMBER_STATE_REQUEST: "Set Member State Request",
    MessageType.SET_MEMBER_STATE_REPLY: "Set Member State Reply",
}

REPLY_TYPES: dict[int, MessageType] = {
    MessageType.REGISTRATION_REQUEST: MessageType.REGISTRATION_REPLY,
    MessageType.DEREGISTRATION_REQUEST: MessageType.DEREGISTRATION_REPLY,
    MessageType.GET_WEIGHTS_REQUEST: MessageType.GET_WEIGHTS_REPLY,
    MessageType.SET_LB_STATE_REQUEST: MessageType.SET_LB_STATE_REPLY,
    MessageType.SET_MEMBER_STATE_REQUEST: MessageType.SET_MEMBER_STATE_REPLY,
}

# Bit of a request's flags: the load balancer sent the request, not the member itself.
LOAD_BALANCER_FLAG = 0x01

# Bit of a load balancer's flags: it asks for weights to be pushed.
PUSH_FLAG = 0x01
# Bit of a load balancer's flags: it trusts members to register themselves.
TRUST_FLAG = 0x02
# Bit of a load balancer's flags: pushes carry only the weights that changed.
NO_CHANGE_NO_SEND_FLAG = 0x04

# Bit of a weight entry's flags: the workload manager can reach the member.
CONTACT_SUCCESS_FLAG = 0x01
# Bit of a weight entry's flags: the member accepts no new work.
QUIESCE_FLAG = 0x02
# Bit of a weight entry's flags: the member registered itself.
REGISTRATION_FLAG = 0x04
# Bit of a weight entry's flags: the workload manager is confident in the weight.
CONFIDENT_FLAG = 0x08

# Bit of a member state's flags: the member accepts no new work.
MEMBER_QUIESCE_FLAG = 0x01

# Bit of a deregistration's reason: the load balancer learned that the member was removed on purpose.
REASON_LEARNED_PURPOSEFUL = 0x01


class ResponseCode(IntEnum):
    """Response codes of replies (RFC 4678)."""

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


RESPONSE_TEXTS: dict[int, str] = {
    ResponseCode.SUCCESSFUL: "done",
    ResponseCode.MESSAGE_NOT_UNDERSTOOD: "message not understood",
    ResponseCode.SENDER_NOT_ACCEPTED: "message not accepted from this sender",
    ResponseCode.MEMBER_ALREADY_REGISTERED: "member already registered",
    ResponseCode.DUPLICATE_MEMBER_IN_REQUEST: "duplicate member in the request",
    ResponseCode.INVALID_GROUP: "invalid group",
    ResponseCode.DUPLICATE_GROUP: "duplicate group",
    ResponseCode.MEMBER_NOT_REGISTERED: "member not registered",
    ResponseCode.GROUP_NOT_REGISTERED: "group not registered",
    ResponseCode.DUPLICATE_MEMBER: "duplicate member",
    ResponseCode.MISSING_GROUP_NAME: "missing group name",
    ResponseCode.INVALID_LB_UID: "invalid load balancer UID",
    ResponseCode.LB_NOT_CONNECTED: "load balancer not connected",
}


def response_text(response_code: int) -> str:
    """Returns the description of a response code for logs and the command line."""
    return RESPONSE_TEXTS.get(response_code, f"unknown response code {response_code:#04x}")
