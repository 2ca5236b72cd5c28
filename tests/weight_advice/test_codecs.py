"""SASP's and DFP's codecs: messages cut, bent and drawn by chance."""

from __future__ import annotations

import struct
import unittest
from ipaddress import IPv4Address, IPv6Address
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.weight_advice import dfp, sasp
from cottonladder.weight_advice.errors import AdviceError

A, B, C = (sasp.MemberData(6, 80, IPv4Address(f"10.0.0.{n}"), b"s-%d" % n) for n in (1, 2, 3))
SIX = sasp.MemberData(17, 65535, IPv6Address("2001:db8::7"))
GROUP = sasp.GroupData(b"lb-1", b"workers")
MESSAGES = [
    sasp.Message(
        sasp.MessageType.REGISTRATION_REQUEST, 1, flags=1, groups=(sasp.GroupOfEntries(GROUP, (A, B, SIX)),)
    ),
    sasp.Message(
        sasp.MessageType.REGISTRATION_REPLY, 1, response_code=sasp.ResponseCode.MEMBER_ALREADY_REGISTERED
    ),
    sasp.Message(
        sasp.MessageType.DEREGISTRATION_REQUEST,
        2,
        flags=1,
        reason=1,
        groups=(sasp.GroupOfEntries(GROUP, (A,)),),
    ),
    sasp.Message(sasp.MessageType.DEREGISTRATION_REPLY, 2),
    sasp.Message(sasp.MessageType.GET_WEIGHTS_REQUEST, 3, groups=(GROUP, sasp.GroupData(b"lb-1", b"other"))),
    sasp.Message(
        sasp.MessageType.GET_WEIGHTS_REPLY,
        3,
        interval_s=9,
        groups=(sasp.GroupOfEntries(GROUP, (sasp.WeightEntry(A, 0, 3, 65535),)),),
    ),
    sasp.Message(sasp.MessageType.SEND_WEIGHTS, 0, groups=(sasp.GroupOfEntries(GROUP, ()),)),
    sasp.Message(sasp.MessageType.SET_LB_STATE_REQUEST, 4, lb_uid=b"lb-1", lb_health=127, flags=7),
    sasp.Message(sasp.MessageType.SET_LB_STATE_REPLY, 4),
    sasp.Message(
        sasp.MessageType.SET_MEMBER_STATE_REQUEST,
        5,
        flags=1,
        groups=(sasp.GroupOfEntries(GROUP, (sasp.MemberStateInstance(A, 2, 1),)),),
    ),
    sasp.Message(
        sasp.MessageType.SET_MEMBER_STATE_REPLY,
        2**32 - 1,
        response_code=sasp.ResponseCode.MEMBER_NOT_REGISTERED,
    ),
]
HOSTS = (
    dfp.HostPreference(IPv4Address("10.0.0.1"), 0, 65535),
    dfp.HostPreference(IPv4Address("10.0.0.2"), 7, 0),
)
REPORTS = [
    dfp.Message(dfp.MessageType.PREFERENCE_INFORMATION, (dfp.Load(80, 6, HOSTS), dfp.Load(0, 17, ()))),
    dfp.Message(dfp.MessageType.SERVER_STATE, (dfp.Load(80, 6, HOSTS[:1], 1),)),
    dfp.Message(dfp.MessageType.DFP_PARAMETERS, keep_alive_s=30),
    dfp.Message(dfp.MessageType.BIND_ID_REQUEST),
    dfp.Message(
        dfp.MessageType.BIND_ID_REPORT,
        bindings=(dfp.BindIdEntry(7, IPv4Address("10.1.0.0"), IPv4Address("255.255.0.0")),),
    ),
    dfp.Message(dfp.MessageType.BIND_ID_CHANGE_NOTICE),
]


WIRES: list[tuple[Any, list[Any]]] = [(sasp, MESSAGES), (dfp, REPORTS)]


class CodecTest(unittest.TestCase):
    def test_each_message_is_read_as_it_was_written_in_any_pieces(self) -> None:
        for wire, messages in WIRES:
            data = b"".join(wire.encode_message(m) for m in messages)
            for size in (1, 7, len(data)):
                come, out = wire.MessageReader(), list[object]()
                for at in range(0, len(data), size):
                    out += come.feed(data[at : at + size])
                self.assertEqual(out, messages)

    def test_lengths_that_take_in_what_is_nested_are_read_too(self) -> None:
        data = bytearray(sasp.encode_message(MESSAGES[0]))
        struct.pack_into("!H", data, 15, len(data) - 13)
        self.assertEqual(sasp.decode_message(bytes(data)), MESSAGES[0])
        struct.pack_into("!H", data, 15, len(data) - 14)
        with self.assertRaisesRegex(AdviceError, "a length of"):
            sasp.decode_message(bytes(data))

    def test_cut_at_every_byte_it_waits_or_refuses_and_never_gives_half(self) -> None:
        for wire, messages in WIRES:
            for m in messages:
                data = wire.encode_message(m)
                for n in range(len(data)):
                    self.assertEqual(wire.MessageReader().feed(data[:n]), [])
                    with self.assertRaises(AdviceError):
                        wire.decode_message(data[:n])

    def test_what_can_not_be(self) -> None:
        good = sasp.encode_message(MESSAGES[0])

        def bent(at: int, *values: int) -> bytes:
            return good[:at] + bytes(values) + good[at + len(values) :]

        for data, why in (
            (bent(0, 0x20, 0x11), "no header"),
            (bent(4, 2), "unknown version 2"),
            (bent(5, 0xFF), "bytes, 4194304 at most"),
            (bent(5, 0, 0, 0, 3), "a message of 3 bytes"),
            (bent(13, 0x10, 0x11), "unknown message 0x1011"),
            (bent(18, 0, 9), "cut short|component"),
            (bent(18, 0xFF, 0xFF), "over 1024 groups"),
            (bent(24, 0xFF, 0xFF), "over 20000 members"),
            (bent(20, 0x40, 0x11), "component 0x4011 where 0x4010"),
            (b"GET / HTTP/1.1\r\n", "no header"),
        ):
            with self.subTest(why), self.assertRaisesRegex(AdviceError, why):
                sasp.MessageReader().feed(data)
        report = dfp.encode_message(REPORTS[0])
        for data, why in (
            (b"\2" + report[1:], "unknown version 2"),
            (report[:2] + b"\xff\xff" + report[4:], "unknown message"),
            (report[:4] + b"\xff\xff\xff\xff" + report[8:], "at most"),
            (report[:10] + b"\0\3" + report[12:], "TLV 0x0002 of 3 bytes"),
            (report[:16] + b"\x50\0" + report[18:], "over 20000 hosts"),
            (report[:16] + b"\0\1" + report[18:], "bytes too many"),
        ):
            with self.subTest(why), self.assertRaisesRegex(AdviceError, why):
                dfp.MessageReader().feed(data)

    def test_unknown_tlvs_are_skipped(self) -> None:
        data = dfp.encode_message(REPORTS[2]) + struct.pack("!HH4s", 0x7777, 8, b"what")
        data = data[:4] + struct.pack("!I", len(data)) + data[8:]
        read = dfp.decode_message(data)
        self.assertEqual((read, read.unknown_tlv_count), (REPORTS[2], 1))

    def test_the_security_tlv_holds_or_the_message_is_refused(self) -> None:
        secret = (7, b"month's end")
        data = dfp.encode_message(REPORTS[0], secret)
        self.assertEqual(dfp.decode_message(data, {7: b"month's end"}).loads, REPORTS[0].loads)
        for secrets, bad in (
            ({7: b"other"}, data),
            ({8: b"month's end"}, data),
            ({7: b"month's end"}, data[:-1] + bytes([data[-1] ^ 1])),
            ({7: b"month's end"}, dfp.encode_message(REPORTS[0])),
        ):
            with self.assertRaisesRegex(AdviceError, "security"):
                dfp.decode_message(bad, secrets)

    def test_ten_thousand_members_in_one_message(self) -> None:
        rows = tuple(
            sasp.WeightEntry(sasp.MemberData(6, n, A.address, b"s-%d" % n), 0, 1, n) for n in range(10_000)
        )
        whole = sasp.Message(sasp.MessageType.SEND_WEIGHTS, 0, groups=(sasp.GroupOfEntries(GROUP, rows),))
        self.assertEqual(sasp.MessageReader().feed(sasp.encode_message(whole)), [whole])
        hosts = tuple(dfp.HostPreference(IPv4Address(n), 0, n) for n in range(10_000))
        read = dfp.decode_message(
            dfp.encode_message(dfp.Message(dfp.MessageType.PREFERENCE_INFORMATION, (dfp.Load(80, 6, hosts),)))
        )
        self.assertEqual([h for load in read.loads for h in load.hosts], list(hosts))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.data())
    def test_bent_messages_raise_one_kind_of_error_only(self, data: st.DataObject) -> None:
        wire, messages = WIRES[data.draw(st.integers(0, 1))]
        good = bytearray(wire.encode_message(messages[data.draw(st.integers(0, len(messages) - 1))]))
        for _ in range(data.draw(st.integers(1, 4))):
            at = data.draw(st.integers(0, len(good) - 1))
            good[at] = data.draw(st.integers(0, 255))
        try:
            for m in wire.MessageReader().feed(bytes(good)):
                wire.encode_message(m)
        except AdviceError:
            pass

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data: bytes) -> None:
        for reader in (sasp.MessageReader(), dfp.MessageReader()):
            try:
                reader.feed(data)
            except AdviceError:
                pass
