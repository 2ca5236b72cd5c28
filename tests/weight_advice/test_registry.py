"""SASP registrations without sockets: response codes, trust, pushes and bounds."""

from __future__ import annotations

import unittest
from ipaddress import IPv4Address, IPv6Address
from typing import Any

from cottonladder.planning.advertised_weights import MAX_WEIGHT
from cottonladder.weight_advice import limits, sasp
from cottonladder.weight_advice.registry import LoadBalancerRegistry
from cottonladder.weight_advice.worker_locations import MemberIndex, WorkerLocation
from tests.support.capacity_views import stands

A, B, C = (sasp.MemberData(6, 80, IPv4Address(f"10.0.0.{n}"), b"s-%d" % n) for n in (1, 2, 3))
SIX = sasp.MemberData(17, 65535, IPv6Address("2001:db8::7"))
GROUP = sasp.GroupData(b"lb-1", b"workers")


class RegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = LoadBalancerRegistry()
        places = [
            WorkerLocation(1, b"s-1", IPv4Address("10.0.0.1"), 80),
            WorkerLocation(2, b"s-2", IPv4Address("10.0.0.2"), 80),
        ]
        self.standing = {1: stands(1.0), 2: stands(0.5)}
        self.registry.update(self.standing, MemberIndex(places))
        for number in (0, 1):
            self.registry.connection_opened(number)

    def ask(self, kind: int, *entries: Any, by: int = 0, **more: Any) -> sasp.Message:
        uid = more.pop("uid", b"lb-1")
        assert isinstance(uid, bytes)
        name = more.pop("name", b"workers")
        assert isinstance(name, bytes)
        group = sasp.GroupData(uid, name)
        groups: tuple[sasp.GroupData | sasp.GroupOfEntries, ...] = (sasp.GroupOfEntries(group, entries),)
        groups = (group,) if kind == sasp.MessageType.GET_WEIGHTS_REQUEST else groups
        flags = more.pop("flags", sasp.LOAD_BALANCER_FLAG)
        reply = self.registry.handle_request(by, sasp.Message(kind, 9, flags=flags, groups=groups, **more))
        assert reply is not None
        self.assertEqual((reply.message_type, reply.message_id), (sasp.REPLY_TYPES[kind], 9))
        return reply

    def test_codes_by_request(self) -> None:
        other = sasp.MemberData(6, 80, IPv4Address("10.0.0.1"), b"nobody's")  # one worker, another label
        for kind, entries, more, code in (
            (sasp.MessageType.GET_WEIGHTS_REQUEST, (), {}, sasp.ResponseCode.GROUP_NOT_REGISTERED),
            (
                sasp.MessageType.REGISTRATION_REQUEST,
                (A, A),
                {},
                sasp.ResponseCode.DUPLICATE_MEMBER_IN_REQUEST,
            ),
            (
                sasp.MessageType.REGISTRATION_REQUEST,
                (A,),
                {"name": b""},
                sasp.ResponseCode.MISSING_GROUP_NAME,
            ),
            (sasp.MessageType.REGISTRATION_REQUEST, (A,), {"uid": b""}, sasp.ResponseCode.INVALID_LB_UID),
            (
                sasp.MessageType.REGISTRATION_REQUEST,
                (A,),
                {"uid": b"u" * 65},
                sasp.ResponseCode.INVALID_LB_UID,
            ),
            (sasp.MessageType.REGISTRATION_REQUEST, (A, C, other), {}, sasp.ResponseCode.SUCCESSFUL),
            (
                sasp.MessageType.REGISTRATION_REQUEST,
                (B, A),
                {},
                sasp.ResponseCode.MEMBER_ALREADY_REGISTERED,
            ),  # nothing of it counts
            (sasp.MessageType.DEREGISTRATION_REQUEST, (B,), {}, sasp.ResponseCode.MEMBER_NOT_REGISTERED),
            (sasp.MessageType.REGISTRATION_REQUEST, (B,), {}, sasp.ResponseCode.SUCCESSFUL),
            (
                sasp.MessageType.REGISTRATION_REQUEST,
                (A,),
                {"uid": b"lb-2"},
                sasp.ResponseCode.SENDER_NOT_ACCEPTED,
            ),
            (
                sasp.MessageType.DEREGISTRATION_REQUEST,
                (A,),
                {"name": b"what"},
                sasp.ResponseCode.GROUP_NOT_REGISTERED,
            ),
            (
                sasp.MessageType.SET_MEMBER_STATE_REQUEST,
                (sasp.MemberStateInstance(SIX, 0, 1),),
                {},
                sasp.ResponseCode.MEMBER_NOT_REGISTERED,
            ),
            (
                sasp.MessageType.SET_MEMBER_STATE_REQUEST,
                (sasp.MemberStateInstance(B, 0, 1),),
                {},
                sasp.ResponseCode.SUCCESSFUL,
            ),
            (
                sasp.MessageType.REGISTRATION_REQUEST,
                (SIX,),
                {"flags": 0, "uid": b"lb-9"},
                sasp.ResponseCode.LB_NOT_CONNECTED,
            ),
            (
                sasp.MessageType.REGISTRATION_REQUEST,
                (SIX,),
                {"flags": 0, "by": 1},
                sasp.ResponseCode.SENDER_NOT_ACCEPTED,
            ),  # it trusts nobody
        ):
            with self.subTest((kind, more, code)):
                self.assertEqual(self.ask(kind, *entries, **more).response_code, code)
        reply = self.ask(sasp.MessageType.GET_WEIGHTS_REQUEST)
        (group,) = reply.groups
        assert isinstance(group, sasp.GroupOfEntries)
        rows = {w.member: (w.weight, w.flags) for w in group.entries if isinstance(w, sasp.WeightEntry)}
        sure = sasp.CONFIDENT_FLAG
        self.assertEqual(rows[A], (MAX_WEIGHT, sasp.CONTACT_SUCCESS_FLAG | sure))
        self.assertEqual(rows[other], rows[A])
        self.assertEqual(rows[B], (0, sasp.CONTACT_SUCCESS_FLAG | sasp.QUIESCE_FLAG | sure))
        self.assertEqual(rows[C], (0, 0))  # nobody's
        self.assertEqual(reply.interval_s, limits.POLL_INTERVAL_S)

    def test_members_register_themselves_where_their_balancer_trusts_them(self) -> None:
        m = sasp.Message(sasp.MessageType.SET_LB_STATE_REQUEST, 1, lb_uid=b"lb-1", flags=sasp.TRUST_FLAG)
        self.assertEqual(
            getattr(self.registry.handle_request(0, m), "response_code", -1), sasp.ResponseCode.SUCCESSFUL
        )
        self.assertEqual(
            self.ask(sasp.MessageType.REGISTRATION_REQUEST, A, by=1, flags=0).response_code,
            sasp.ResponseCode.SUCCESSFUL,
        )
        self.assertEqual(
            self.ask(sasp.MessageType.GET_WEIGHTS_REQUEST).response_code, sasp.ResponseCode.SUCCESSFUL
        )
        m = sasp.Message(sasp.MessageType.SET_LB_STATE_REQUEST, 1, lb_uid=b"lb-1", flags=0)
        self.assertEqual(
            getattr(self.registry.handle_request(1, m), "response_code", -1),
            sasp.ResponseCode.SENDER_NOT_ACCEPTED,
        )  # another's name

    def test_pushes_tell_what_moved_and_registrations_go_with_their_balancer(self) -> None:
        m = sasp.Message(
            sasp.MessageType.SET_LB_STATE_REQUEST,
            1,
            lb_uid=b"lb-1",
            flags=sasp.PUSH_FLAG | sasp.NO_CHANGE_NO_SEND_FLAG,
        )
        self.registry.handle_request(0, m)
        self.ask(sasp.MessageType.REGISTRATION_REQUEST, A, B)
        first = self.registry.push_message(0)
        assert first is not None and isinstance(first.groups[0], sasp.GroupOfEntries)
        self.assertEqual(len(first.groups[0].entries), 2)
        self.assertIsNone(self.registry.push_message(0))
        self.standing[2] = stands(0.51)
        self.assertIsNone(self.registry.push_message(0))  # hardly moved
        self.standing[2] = stands(0.5, since=3.0)
        second = self.registry.push_message(0)
        assert second is not None and isinstance(second.groups[0], sasp.GroupOfEntries)
        (entry,) = second.groups[0].entries
        assert isinstance(entry, sasp.WeightEntry)
        self.assertEqual(
            (entry.member, entry.weight, entry.flags & sasp.QUIESCE_FLAG), (B, 0, sasp.QUIESCE_FLAG)
        )
        self.ask(sasp.MessageType.DEREGISTRATION_REQUEST, A)  # a group changed between two pushes
        self.registry.connection_closed(0)
        self.registry.connection_opened(0)
        self.assertEqual(
            self.ask(sasp.MessageType.GET_WEIGHTS_REQUEST).response_code,
            sasp.ResponseCode.GROUP_NOT_REGISTERED,
        )

    def test_a_balancer_s_groups_and_members_are_bounded(self) -> None:
        rows = [sasp.MemberData(6, n % 65536, A.address, b"%d" % n) for n in range(limits.MAX_MEMBERS)]
        self.assertEqual(
            self.ask(sasp.MessageType.REGISTRATION_REQUEST, *rows).response_code, sasp.ResponseCode.SUCCESSFUL
        )
        self.assertEqual(
            self.ask(sasp.MessageType.REGISTRATION_REQUEST, A).response_code, sasp.ResponseCode.INVALID_GROUP
        )
