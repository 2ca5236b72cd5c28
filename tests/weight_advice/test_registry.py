"""The registry of SASP load balancers: response codes, trusted members, pushes and limits."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv6Address

from cottonladder.planning.advertised_weights import MAX_WEIGHT
from cottonladder.weight_advice import limits, sasp
from cottonladder.weight_advice.registry import LoadBalancerRegistry
from cottonladder.weight_advice.sasp import MessageType, ResponseCode
from cottonladder.weight_advice.worker_locations import MemberIndex, WorkerLocation
from tests.support.capacity_views import capacity_view

MEMBER_A, MEMBER_B, UNKNOWN_MEMBER = (
    sasp.MemberData(6, 80, IPv4Address(f"10.0.0.{n}"), b"s-%d" % n) for n in (1, 2, 3)
)
IPV6_MEMBER = sasp.MemberData(17, 65535, IPv6Address("2001:db8::7"))
# Another member of `MEMBER_A`'s worker, matched by its address because no worker has its label as id.
MEMBER_BY_ADDRESS = sasp.MemberData(6, 80, IPv4Address("10.0.0.1"), b"unknown")
LB_UID = b"lb-1"
GROUP_NAME = b"workers"
MESSAGE_ID = 9  # arbitrary; the reply has the same


@dataclass(frozen=True)
class Case:
    """A request and the expected response code."""

    message_type: MessageType
    response_code: ResponseCode
    entries: tuple[sasp.Entry, ...] = ()
    lb_uid: bytes = LB_UID
    group_name: bytes = GROUP_NAME
    flags: int = sasp.LOAD_BALANCER_FLAG
    connection_number: int = 0


class RegistryTestCase(unittest.TestCase):
    """A registry with two workers and two connected load balancers."""

    def setUp(self) -> None:
        self.registry = LoadBalancerRegistry()
        self.views = {1: capacity_view(1.0), 2: capacity_view(0.5)}
        locations = [
            WorkerLocation(1, b"s-1", IPv4Address("10.0.0.1"), 80),
            WorkerLocation(2, b"s-2", IPv4Address("10.0.0.2"), 80),
        ]
        self.registry.update(self.views, MemberIndex(locations))
        for connection_number in (0, 1):
            self.registry.connection_opened(connection_number)

    def ask(
        self,
        message_type: MessageType,
        *entries: sasp.Entry,
        lb_uid: bytes = LB_UID,
        group_name: bytes = GROUP_NAME,
        flags: int = sasp.LOAD_BALANCER_FLAG,
        connection_number: int = 0,
    ) -> sasp.Message:
        """Sends a request about one group, checks the type and id of the reply, and returns it."""
        group = sasp.GroupData(lb_uid, group_name)
        groups: tuple[sasp.GroupData | sasp.GroupOfEntries, ...] = (sasp.GroupOfEntries(group, entries),)
        if message_type == MessageType.GET_WEIGHTS_REQUEST:
            groups = (group,)
        request = sasp.Message(message_type, MESSAGE_ID, flags=flags, groups=groups)
        reply = self.registry.handle_request(connection_number, request)
        assert reply is not None
        self.assertEqual((reply.message_type, reply.message_id), (sasp.REPLY_TYPES[message_type], MESSAGE_ID))
        return reply

    def set_lb_state(self, flags: int, connection_number: int = 0) -> int:
        """Sends a Set LB State Request with these flags and returns the response code."""
        request = sasp.Message(MessageType.SET_LB_STATE_REQUEST, 1, lb_uid=LB_UID, flags=flags)
        reply = self.registry.handle_request(connection_number, request)
        assert reply is not None
        return reply.response_code

    def assert_codes(self, cases: list[Case]) -> None:
        for case in cases:
            with self.subTest(case):
                reply = self.ask(
                    case.message_type,
                    *case.entries,
                    lb_uid=case.lb_uid,
                    group_name=case.group_name,
                    flags=case.flags,
                    connection_number=case.connection_number,
                )
                self.assertEqual(reply.response_code, case.response_code)


class ResponseCodeTest(RegistryTestCase):
    def test_each_request_is_answered_with_its_response_code(self) -> None:
        register = MessageType.REGISTRATION_REQUEST
        deregister = MessageType.DEREGISTRATION_REQUEST
        set_state = MessageType.SET_MEMBER_STATE_REQUEST
        quiesced_ipv6 = sasp.MemberStateInstance(IPV6_MEMBER, 0, sasp.MEMBER_QUIESCE_FLAG)
        quiesced_b = sasp.MemberStateInstance(MEMBER_B, 0, sasp.MEMBER_QUIESCE_FLAG)
        codes = ResponseCode
        self.assert_codes(
            [
                Case(MessageType.GET_WEIGHTS_REQUEST, codes.GROUP_NOT_REGISTERED),
                Case(register, codes.DUPLICATE_MEMBER_IN_REQUEST, (MEMBER_A, MEMBER_A)),
                Case(register, codes.MISSING_GROUP_NAME, (MEMBER_A,), group_name=b""),
                Case(register, codes.INVALID_LB_UID, (MEMBER_A,), lb_uid=b""),
                Case(register, codes.INVALID_LB_UID, (MEMBER_A,), lb_uid=b"u" * 65),
                Case(register, codes.SUCCESSFUL, (MEMBER_A, UNKNOWN_MEMBER, MEMBER_BY_ADDRESS)),
                # The whole request is rejected: B is not registered, and can be registered later.
                Case(register, codes.MEMBER_ALREADY_REGISTERED, (MEMBER_B, MEMBER_A)),
                Case(deregister, codes.MEMBER_NOT_REGISTERED, (MEMBER_B,)),
                Case(register, codes.SUCCESSFUL, (MEMBER_B,)),
                Case(register, codes.SENDER_NOT_ACCEPTED, (MEMBER_A,), lb_uid=b"lb-2"),
                Case(deregister, codes.GROUP_NOT_REGISTERED, (MEMBER_A,), group_name=b"unknown"),
                Case(set_state, codes.MEMBER_NOT_REGISTERED, (quiesced_ipv6,)),
                Case(set_state, codes.SUCCESSFUL, (quiesced_b,)),
                Case(register, codes.LB_NOT_CONNECTED, (IPV6_MEMBER,), lb_uid=b"lb-9", flags=0),
                # The load balancer does not trust members.
                Case(register, codes.SENDER_NOT_ACCEPTED, (IPV6_MEMBER,), flags=0, connection_number=1),
            ]
        )
        reply = self.ask(MessageType.GET_WEIGHTS_REQUEST)
        (group,) = reply.groups
        assert isinstance(group, sasp.GroupOfEntries)
        weights = {
            entry.member: (entry.weight, entry.flags)
            for entry in group.entries
            if isinstance(entry, sasp.WeightEntry)
        }
        known = sasp.CONFIDENT_FLAG | sasp.CONTACT_SUCCESS_FLAG
        self.assertEqual(weights[MEMBER_A], (MAX_WEIGHT, known))
        self.assertEqual(weights[MEMBER_BY_ADDRESS], weights[MEMBER_A])
        self.assertEqual(weights[MEMBER_B], (0, known | sasp.QUIESCE_FLAG))
        self.assertEqual(weights[UNKNOWN_MEMBER], (0, 0))
        self.assertEqual(reply.interval_s, limits.POLL_INTERVAL_S)

    def test_members_register_themselves_only_if_their_load_balancer_trusts_them(self) -> None:
        self.assertEqual(self.set_lb_state(sasp.TRUST_FLAG), ResponseCode.SUCCESSFUL)
        registered = self.ask(MessageType.REGISTRATION_REQUEST, MEMBER_A, flags=0, connection_number=1)
        self.assertEqual(registered.response_code, ResponseCode.SUCCESSFUL)
        self.assertEqual(self.ask(MessageType.GET_WEIGHTS_REQUEST).response_code, ResponseCode.SUCCESSFUL)
        # Another connection can't take over the UID of a connected load balancer.
        self.assertEqual(self.set_lb_state(0, connection_number=1), ResponseCode.SENDER_NOT_ACCEPTED)

    def test_a_registration_over_the_limit_of_members_is_rejected(self) -> None:
        members = [
            sasp.MemberData(6, n % 65536, MEMBER_A.address, b"%d" % n) for n in range(limits.MAX_MEMBERS)
        ]
        registered = self.ask(MessageType.REGISTRATION_REQUEST, *members)
        self.assertEqual(registered.response_code, ResponseCode.SUCCESSFUL)
        rejected = self.ask(MessageType.REGISTRATION_REQUEST, MEMBER_A)
        self.assertEqual(rejected.response_code, ResponseCode.INVALID_GROUP)


class PushTest(RegistryTestCase):
    def pushed_entries(self) -> tuple[sasp.Entry, ...] | None:
        """Returns the entries of the first group in a push, or None if nothing is pushed."""
        message = self.registry.push_message(0)
        if message is None:
            return None
        assert isinstance(message.groups[0], sasp.GroupOfEntries)
        return message.groups[0].entries

    def test_pushes_contain_only_changes_and_a_disconnect_removes_the_groups(self) -> None:
        self.set_lb_state(sasp.PUSH_FLAG | sasp.NO_CHANGE_NO_SEND_FLAG)
        self.ask(MessageType.REGISTRATION_REQUEST, MEMBER_A, MEMBER_B)
        first = self.pushed_entries()
        assert first is not None
        self.assertEqual(len(first), 2)
        self.assertIsNone(self.registry.push_message(0))
        self.views[2] = capacity_view(0.51)  # a change too small to be pushed
        self.assertIsNone(self.registry.push_message(0))
        self.views[2] = capacity_view(0.5, draining_since=3.0)
        second = self.pushed_entries()
        assert second is not None
        (entry,) = second
        assert isinstance(entry, sasp.WeightEntry)
        self.assertEqual(
            (entry.member, entry.weight, entry.flags & sasp.QUIESCE_FLAG), (MEMBER_B, 0, sasp.QUIESCE_FLAG)
        )
        self.ask(MessageType.DEREGISTRATION_REQUEST, MEMBER_A)
        self.registry.connection_closed(0)
        self.registry.connection_opened(0)
        reply = self.ask(MessageType.GET_WEIGHTS_REQUEST)
        self.assertEqual(reply.response_code, ResponseCode.GROUP_NOT_REGISTERED)

    def test_without_the_change_flag_a_push_contains_all_weights_once_one_changed(self) -> None:
        self.set_lb_state(sasp.PUSH_FLAG)
        self.ask(MessageType.REGISTRATION_REQUEST, MEMBER_A, MEMBER_B)
        self.assertEqual(len(self.pushed_entries() or ()), 2)
        self.assertIsNone(self.registry.push_message(0))
        self.views[2] = capacity_view(0.5, draining_since=3.0)
        self.assertEqual(len(self.pushed_entries() or ()), 2)
        self.assertIsNone(self.registry.push_message(0))


if __name__ == "__main__":
    unittest.main()
