"""Tests of the SASP and DFP codecs with valid, truncated, corrupted and random messages."""

from __future__ import annotations

import struct
import unittest
from contextlib import suppress
from ipaddress import IPv4Address, IPv6Address
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.weight_advice import dfp, sasp
from cottonladder.weight_advice.errors import (
    AdviceError,
    ComponentLengthError,
    MissingSecurityError,
    SecurityTlvError,
)
from cottonladder.weight_advice.sasp import MessageType, ResponseCode

# IP protocol numbers.
TCP = 6
UDP = 17
MEMBER_A, MEMBER_B = (sasp.MemberData(TCP, 80, IPv4Address(f"10.0.0.{n}"), b"s-%d" % n) for n in (1, 2))
IPV6_MEMBER = sasp.MemberData(UDP, 65535, IPv6Address("2001:db8::7"))
GROUP = sasp.GroupData(b"lb-1", b"workers")
SECRET = b"month's end"
KEY_ID = 7
OTHER_KEY_ID = 8
# Beginnings of error messages.
NO_SASP_HEADER_ERROR = "no SASP header: expected component type 0x2010 with length 13"
SASP_LENGTH_ERROR = "SASP header: expected a message length of 17 to 4194304 bytes"
SASP_MESSAGES = [
    sasp.Message(
        MessageType.REGISTRATION_REQUEST,
        1,
        flags=1,
        groups=(sasp.GroupOfEntries(GROUP, (MEMBER_A, MEMBER_B, IPV6_MEMBER)),),
    ),
    sasp.Message(MessageType.REGISTRATION_REPLY, 1, response_code=ResponseCode.MEMBER_ALREADY_REGISTERED),
    sasp.Message(
        MessageType.DEREGISTRATION_REQUEST,
        2,
        flags=1,
        reason=1,
        groups=(sasp.GroupOfEntries(GROUP, (MEMBER_A,)),),
    ),
    sasp.Message(MessageType.DEREGISTRATION_REPLY, 2),
    sasp.Message(MessageType.GET_WEIGHTS_REQUEST, 3, groups=(GROUP, sasp.GroupData(b"lb-1", b"other"))),
    sasp.Message(
        MessageType.GET_WEIGHTS_REPLY,
        3,
        interval_s=9,
        groups=(sasp.GroupOfEntries(GROUP, (sasp.WeightEntry(MEMBER_A, 0, 3, 65535),)),),
    ),
    sasp.Message(MessageType.SEND_WEIGHTS, 0, groups=(sasp.GroupOfEntries(GROUP, ()),)),
    sasp.Message(MessageType.SET_LB_STATE_REQUEST, 4, lb_uid=b"lb-1", lb_health=127, flags=7),
    sasp.Message(MessageType.SET_LB_STATE_REPLY, 4),
    sasp.Message(
        MessageType.SET_MEMBER_STATE_REQUEST,
        5,
        flags=1,
        groups=(sasp.GroupOfEntries(GROUP, (sasp.MemberStateInstance(MEMBER_A, 2, 1),)),),
    ),
    sasp.Message(
        MessageType.SET_MEMBER_STATE_REPLY,
        2**32 - 1,
        response_code=ResponseCode.MEMBER_NOT_REGISTERED,
    ),
]
HOSTS = (
    dfp.HostPreference(IPv4Address("10.0.0.1"), 0, 65535),
    dfp.HostPreference(IPv4Address("10.0.0.2"), 7, 0),
)
DFP_MESSAGES = [
    dfp.Message(dfp.MessageType.PREFERENCE_INFORMATION, (dfp.Load(80, TCP, HOSTS), dfp.Load(0, UDP, ()))),
    dfp.Message(dfp.MessageType.SERVER_STATE, (dfp.Load(80, TCP, HOSTS[:1], 1),)),
    dfp.Message(dfp.MessageType.DFP_PARAMETERS, keep_alive_s=30),
    dfp.Message(dfp.MessageType.BIND_ID_REQUEST),
    dfp.Message(
        dfp.MessageType.BIND_ID_REPORT,
        bindings=(dfp.BindIdEntry(7, IPv4Address("10.1.0.0"), IPv4Address("255.255.0.0")),),
    ),
    dfp.Message(dfp.MessageType.BIND_ID_CHANGE_NOTICE),
]

# Offsets in SASP_MESSAGES[0]: the header, the message's component, and its group with the first member.
SASP_VERSION_OFFSET = 4
SASP_MESSAGE_LENGTH_OFFSET = 5
SASP_MESSAGE_TYPE_OFFSET = 13
SASP_COMPONENT_LENGTH_OFFSET = 15
SASP_GROUP_COUNT_OFFSET = 18
SASP_GROUP_OF_ENTRIES_OFFSET = 20
SASP_ENTRY_COUNT_OFFSET = 24
SASP_GROUP_DATA_LENGTH_OFFSET = 28
SASP_MEMBER_OFFSET = 43
SASP_MEMBER_LENGTH_OFFSET = 45
# Offsets in DFP_MESSAGES[0]: the header and its first TLV, a load.
DFP_VERSION_OFFSET = 0
DFP_MESSAGE_TYPE_OFFSET = 2
DFP_MESSAGE_LENGTH_OFFSET = 4
DFP_TLV_LENGTH_OFFSET = 10
DFP_HOST_COUNT_OFFSET = 16

Codec = Any  # the module of a protocol: `encode_message`, `decode_message` and `MessageReader`
CODECS: list[tuple[Codec, list[Any]]] = [(sasp, SASP_MESSAGES), (dfp, DFP_MESSAGES)]


def overwritten(data: bytes, offset: int, *values: int) -> bytes:
    """Returns the data with the bytes at an offset replaced by `values`."""
    return data[:offset] + bytes(values) + data[offset + len(values) :]


class RoundTripTest(unittest.TestCase):
    def test_encoded_messages_are_decoded_from_fragments(self) -> None:
        for codec, messages in CODECS:
            data = b"".join(codec.encode_message(message) for message in messages)
            for size in (1, 7, len(data)):
                reader = codec.MessageReader()
                decoded: list[object] = []
                for start in range(0, len(data), size):
                    decoded += reader.feed(data[start : start + size])
                self.assertEqual(decoded, messages)

    def test_sasp_lengths_that_cover_nested_components_are_decoded_too(self) -> None:
        # RFC 4678 can be read either way: the length of a component with nested ones covers its fixed fields
        # alone, as the encoder writes it, or the nested components too.
        data = bytearray(sasp.encode_message(SASP_MESSAGES[0]))
        size = len(data) - SASP_MESSAGE_TYPE_OFFSET
        struct.pack_into("!H", data, SASP_COMPONENT_LENGTH_OFFSET, size)
        self.assertEqual(sasp.decode_message(bytes(data)), SASP_MESSAGES[0])
        struct.pack_into("!H", data, SASP_COMPONENT_LENGTH_OFFSET, size - 1)
        with self.assertRaises(ComponentLengthError) as caught:
            sasp.decode_message(bytes(data))
        expected = "SASP component 0x1010 at offset 13: expected a length of 7 or 108, got 107"
        self.assertEqual(str(caught.exception), expected)

    def test_ten_thousand_members_or_hosts_fit_into_one_message(self) -> None:
        entries = tuple(
            sasp.WeightEntry(sasp.MemberData(TCP, n, MEMBER_A.address, b"s-%d" % n), 0, 1, n)
            for n in range(10_000)
        )
        group = sasp.GroupOfEntries(GROUP, entries)
        message = sasp.Message(MessageType.SEND_WEIGHTS, 0, groups=(group,))
        self.assertEqual(sasp.MessageReader().feed(sasp.encode_message(message)), [message])
        hosts = tuple(dfp.HostPreference(IPv4Address(n), 0, n) for n in range(10_000))
        report = dfp.Message(dfp.MessageType.PREFERENCE_INFORMATION, (dfp.Load(80, TCP, hosts),))
        decoded = dfp.decode_message(dfp.encode_message(report))
        self.assertEqual([host for load in decoded.loads for host in load.hosts], list(hosts))

    def test_unknown_dfp_tlvs_are_skipped_and_counted(self) -> None:
        data = dfp.encode_message(DFP_MESSAGES[2]) + struct.pack("!HH4s", 0x7777, 8, b"data")
        data = data[:4] + struct.pack("!I", len(data)) + data[8:]
        decoded = dfp.decode_message(data)
        # The comparison of messages ignores `unknown_tlv_count`.
        self.assertEqual((decoded, decoded.unknown_tlv_count), (DFP_MESSAGES[2], 1))


class InvalidMessageTest(unittest.TestCase):
    def assert_rejected(self, codec: Codec, data: bytes, error: str) -> None:
        with self.subTest(error):
            with self.assertRaises(AdviceError) as caught:
                codec.MessageReader().feed(data)
            self.assertEqual(str(caught.exception), error)

    def test_truncated_messages_are_buffered_by_readers_and_rejected_by_decoders(self) -> None:
        for codec, messages in CODECS:
            for message in messages:
                data = codec.encode_message(message)
                for size in range(len(data)):
                    self.assertEqual(codec.MessageReader().feed(data[:size]), [])
                    with self.assertRaises(AdviceError):
                        codec.decode_message(data[:size])

    def test_sasp_errors_name_the_fault(self) -> None:
        valid = sasp.encode_message(SASP_MESSAGES[0])

        def corrupted(offset: int, *values: int) -> bytes:
            return overwritten(valid, offset, *values)

        for data, error in (
            (corrupted(0, 0x20, 0x11), f"{NO_SASP_HEADER_ERROR}, got bytes 2011000d"),
            (corrupted(SASP_VERSION_OFFSET, 2), "SASP header: unknown version 2, expected 1"),
            (
                corrupted(SASP_MESSAGE_LENGTH_OFFSET, 0xFF),
                f"{SASP_LENGTH_ERROR}, got {0xFF000000 + len(valid)}",
            ),
            (corrupted(SASP_MESSAGE_LENGTH_OFFSET, 0, 0, 0, 3), f"{SASP_LENGTH_ERROR}, got 3"),
            (corrupted(SASP_MESSAGE_TYPE_OFFSET, 0x10, 0x11), "unknown SASP message type 0x1011"),
            (
                corrupted(SASP_GROUP_COUNT_OFFSET, 0, 9),
                "SASP message truncated: expected 4 bytes at offset 121, got 0",
            ),
            (
                corrupted(SASP_GROUP_COUNT_OFFSET, 0xFF, 0xFF),
                "SASP message: expected at most 1024 groups, got at least 65535",
            ),
            (
                corrupted(SASP_ENTRY_COUNT_OFFSET, 0xFF, 0xFF),
                "SASP message: expected at most 20000 members, got at least 65535",
            ),
            (
                corrupted(SASP_GROUP_OF_ENTRIES_OFFSET, 0x40, 0x11),
                "SASP message: expected component 0x4010 at offset 20, got 0x4011",
            ),
            (
                corrupted(SASP_MEMBER_OFFSET, 0x30, 0x12),
                "SASP message: expected component 0x3010 at offset 43, got 0x3012",
            ),
            (
                corrupted(SASP_MEMBER_LENGTH_OFFSET, 0, 9),
                "SASP component 0x3010 at offset 43: expected a length of 27, got 9",
            ),
            (
                corrupted(SASP_GROUP_DATA_LENGTH_OFFSET, 0, 9),
                "SASP component 0x3011 at offset 26: expected a length of 17, got 9",
            ),
            (b"GET / HTTP/1.1\r\n", f"{NO_SASP_HEADER_ERROR}, got bytes 47455420"),
            (b"G", f"{NO_SASP_HEADER_ERROR}, got bytes 47"),
        ):
            self.assert_rejected(sasp, data, error)

    def test_dfp_errors_name_the_fault(self) -> None:
        valid = dfp.encode_message(DFP_MESSAGES[0])

        def corrupted(offset: int, *values: int) -> bytes:
            return overwritten(valid, offset, *values)

        for data, error in (
            (corrupted(DFP_VERSION_OFFSET, 2), "DFP header: unknown version 2, expected 1"),
            (corrupted(DFP_MESSAGE_TYPE_OFFSET, 0xFF, 0xFF), "unknown DFP message type 0xffff"),
            (
                corrupted(DFP_MESSAGE_LENGTH_OFFSET, 0xFF, 0xFF, 0xFF, 0xFF),
                "DFP header: expected a message length of 8 to 1048576 bytes, got 4294967295",
            ),
            (
                corrupted(DFP_TLV_LENGTH_OFFSET, 0, 3),
                "DFP TLV 0x0002: expected a length of at least 4 bytes, got 3",
            ),
            (
                corrupted(DFP_HOST_COUNT_OFFSET, 0x50, 0),
                "DFP message: expected at most 20000 hosts, got at least 20480",
            ),
            (
                corrupted(DFP_HOST_COUNT_OFFSET, 0, 1),
                "DFP TLV 0x0002: expected its end after the last field, got 8 more bytes",
            ),
            (
                corrupted(DFP_HOST_COUNT_OFFSET, 0, 3),
                "DFP TLV 0x0002 truncated: expected 8 bytes at offset 36, got 0",
            ),
        ):
            self.assert_rejected(dfp, data, error)

    def test_dfp_messages_without_a_valid_digest_are_rejected(self) -> None:
        data = dfp.encode_message(DFP_MESSAGES[0], (KEY_ID, SECRET))
        self.assertEqual(dfp.decode_message(data, {KEY_ID: SECRET}).loads, DFP_MESSAGES[0].loads)
        mismatch = "the digest does not match the configured secret"
        for secrets, invalid, fault in (
            ({KEY_ID: b"other"}, data, mismatch),
            ({OTHER_KEY_ID: SECRET}, data, "expected key id 8"),
            ({KEY_ID: SECRET}, data[:-1] + bytes([data[-1] ^ 1]), mismatch),
        ):
            with self.subTest(fault), self.assertRaises(SecurityTlvError) as caught:
                dfp.decode_message(invalid, secrets)
            expected = f"DFP security TLV with algorithm 1 and key id 7: {fault}"
            self.assertEqual(str(caught.exception), expected)
        with self.assertRaises(MissingSecurityError) as missing:
            dfp.decode_message(dfp.encode_message(DFP_MESSAGES[0]), {KEY_ID: SECRET})
        expected = "DFP message (preference information): expected a security TLV, got none"
        self.assertEqual(str(missing.exception), expected)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.data())
    def test_corrupted_messages_raise_only_advice_errors_or_can_be_encoded_again(
        self, data: st.DataObject
    ) -> None:
        codec, messages = CODECS[data.draw(st.integers(0, 1))]
        encoded = bytearray(codec.encode_message(messages[data.draw(st.integers(0, len(messages) - 1))]))
        for _ in range(data.draw(st.integers(1, 4))):
            offset = data.draw(st.integers(0, len(encoded) - 1))
            encoded[offset] = data.draw(st.integers(0, 255))
        with suppress(AdviceError):
            for message in codec.MessageReader().feed(bytes(encoded)):
                codec.encode_message(message)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_random_bytes_raise_only_advice_errors(self, data: bytes) -> None:
        for codec, _ in CODECS:
            with suppress(AdviceError):
                codec.MessageReader().feed(data)


if __name__ == "__main__":
    unittest.main()
