"""Weight advice without sockets: codecs cut, bent and fuzzed; registrations; offers; what advice is worth."""

from __future__ import annotations

import math
import random
import struct
import unittest
from ipaddress import IPv4Address, IPv6Address
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.model.views import WorkerCapacityView
from cottonladder.planning import advice_weighting as ad
from cottonladder.planning.advertised_weights import MAX_WEIGHT, advertise_weights, has_changed
from cottonladder.policy.controller import COLD_OVER
from cottonladder.testbed import month_end as me
from cottonladder.weight_advice import dfp, limits, sasp
from cottonladder.weight_advice.registry import LoadBalancerRegistry, MemberIndex
from cottonladder.weight_advice.tlv import AdviceError

A, B, C = (sasp.MemberData(6, 80, IPv4Address(f"10.0.0.{n}"), b"s-%d" % n) for n in (1, 2, 3))
SIX = sasp.MemberData(17, 65535, IPv6Address("2001:db8::7"))
GROUP = sasp.GroupData(b"lb-1", b"workers")
MESSAGES = [
    sasp.Message(sasp.REGISTRATION_REQUEST, 1, flags=1, groups=(sasp.GroupOfEntries(GROUP, (A, B, SIX)),)),
    sasp.Message(sasp.REGISTRATION_REPLY, 1, response_code=sasp.MEMBER_ALREADY_REGISTERED),
    sasp.Message(
        sasp.DEREGISTRATION_REQUEST, 2, flags=1, reason=1, groups=(sasp.GroupOfEntries(GROUP, (A,)),)
    ),
    sasp.Message(sasp.DEREGISTRATION_REPLY, 2),
    sasp.Message(sasp.GET_WEIGHTS_REQUEST, 3, groups=(GROUP, sasp.GroupData(b"lb-1", b"other"))),
    sasp.Message(
        sasp.GET_WEIGHTS_REPLY,
        3,
        interval_s=9,
        groups=(sasp.GroupOfEntries(GROUP, (sasp.WeightEntry(A, 0, 3, 65535),)),),
    ),
    sasp.Message(sasp.SEND_WEIGHTS, 0, groups=(sasp.GroupOfEntries(GROUP, ()),)),
    sasp.Message(sasp.SET_LB_STATE_REQUEST, 4, lb_uid=b"lb-1", lb_health=127, flags=7),
    sasp.Message(sasp.SET_LB_STATE_REPLY, 4),
    sasp.Message(
        sasp.SET_MEMBER_STATE_REQUEST,
        5,
        flags=1,
        groups=(sasp.GroupOfEntries(GROUP, (sasp.MemberStateInstance(A, 2, 1),)),),
    ),
    sasp.Message(sasp.SET_MEMBER_STATE_REPLY, 2**32 - 1, response_code=sasp.MEMBER_NOT_REGISTERED),
]
HOSTS = (
    dfp.HostPreference(IPv4Address("10.0.0.1"), 0, 65535),
    dfp.HostPreference(IPv4Address("10.0.0.2"), 7, 0),
)
REPORTS = [
    dfp.Message(dfp.PREFERENCE_INFORMATION, (dfp.Load(80, 6, HOSTS), dfp.Load(0, 17, ()))),
    dfp.Message(dfp.SERVER_STATE, (dfp.Load(80, 6, HOSTS[:1], 1),)),
    dfp.Message(dfp.DFP_PARAMETERS, keep_alive_s=30),
    dfp.Message(dfp.BIND_ID_REQUEST),
    dfp.Message(
        dfp.BIND_ID_REPORT,
        bindings=(dfp.BindIdEntry(7, IPv4Address("10.1.0.0"), IPv4Address("255.255.0.0")),),
    ),
    dfp.Message(dfp.BIND_ID_CHANGE_NOTICE),
]


WIRES: list[tuple[Any, list[Any]]] = [(sasp, MESSAGES), (dfp, REPORTS)]


class Codecs(unittest.TestCase):
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
        self.assertEqual((read, read.unknown_tlvs), (REPORTS[2], 1))

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
        whole = sasp.Message(sasp.SEND_WEIGHTS, 0, groups=(sasp.GroupOfEntries(GROUP, rows),))
        self.assertEqual(sasp.MessageReader().feed(sasp.encode_message(whole)), [whole])
        hosts = tuple(dfp.HostPreference(IPv4Address(n), 0, n) for n in range(10_000))
        read = dfp.decode_message(
            dfp.encode_message(dfp.Message(dfp.PREFERENCE_INFORMATION, (dfp.Load(80, 6, hosts),)))
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


def stands(estimate: float, cold: bool = False, since: float = -1.0, time: float = 0.1) -> WorkerCapacityView:
    return WorkerCapacityView(0, 0.0 if since >= 0 else estimate, cold, since, time)


class Registrations(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = LoadBalancerRegistry()
        places = [(1, b"s-1", IPv4Address("10.0.0.1"), 80), (2, b"s-2", IPv4Address("10.0.0.2"), 80)]
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
        groups = (group,) if kind == sasp.GET_WEIGHTS_REQUEST else groups
        flags = more.pop("flags", sasp.LOAD_BALANCER_FLAG)
        reply = self.registry.handle_request(by, sasp.Message(kind, 9, flags=flags, groups=groups, **more))
        assert reply is not None
        self.assertEqual((reply.message_type, reply.message_id), (sasp.REPLY_TYPES[kind], 9))
        return reply

    def test_codes_by_request(self) -> None:
        other = sasp.MemberData(6, 80, IPv4Address("10.0.0.1"), b"nobody's")  # one worker, another label
        for kind, entries, more, code in (
            (sasp.GET_WEIGHTS_REQUEST, (), {}, sasp.GROUP_NOT_REGISTERED),
            (sasp.REGISTRATION_REQUEST, (A, A), {}, sasp.DUPLICATE_MEMBER_IN_REQUEST),
            (sasp.REGISTRATION_REQUEST, (A,), {"name": b""}, sasp.MISSING_GROUP_NAME),
            (sasp.REGISTRATION_REQUEST, (A,), {"uid": b""}, sasp.INVALID_LB_UID),
            (sasp.REGISTRATION_REQUEST, (A,), {"uid": b"u" * 65}, sasp.INVALID_LB_UID),
            (sasp.REGISTRATION_REQUEST, (A, C, other), {}, sasp.SUCCESSFUL),
            (sasp.REGISTRATION_REQUEST, (B, A), {}, sasp.MEMBER_ALREADY_REGISTERED),  # nothing of it counts
            (sasp.DEREGISTRATION_REQUEST, (B,), {}, sasp.MEMBER_NOT_REGISTERED),
            (sasp.REGISTRATION_REQUEST, (B,), {}, sasp.SUCCESSFUL),
            (sasp.REGISTRATION_REQUEST, (A,), {"uid": b"lb-2"}, sasp.SENDER_NOT_ACCEPTED),
            (sasp.DEREGISTRATION_REQUEST, (A,), {"name": b"what"}, sasp.GROUP_NOT_REGISTERED),
            (
                sasp.SET_MEMBER_STATE_REQUEST,
                (sasp.MemberStateInstance(SIX, 0, 1),),
                {},
                sasp.MEMBER_NOT_REGISTERED,
            ),
            (sasp.SET_MEMBER_STATE_REQUEST, (sasp.MemberStateInstance(B, 0, 1),), {}, sasp.SUCCESSFUL),
            (sasp.REGISTRATION_REQUEST, (SIX,), {"flags": 0, "uid": b"lb-9"}, sasp.LB_NOT_CONNECTED),
            (
                sasp.REGISTRATION_REQUEST,
                (SIX,),
                {"flags": 0, "by": 1},
                sasp.SENDER_NOT_ACCEPTED,
            ),  # it trusts nobody
        ):
            with self.subTest((kind, more, code)):
                self.assertEqual(self.ask(kind, *entries, **more).response_code, code)
        reply = self.ask(sasp.GET_WEIGHTS_REQUEST)
        (group,) = reply.groups
        assert isinstance(group, sasp.GroupOfEntries)
        rows = {w.member: (w.weight, w.flags) for w in group.entries if isinstance(w, sasp.WeightEntry)}
        sure = sasp.CONFIDENT_FLAG
        self.assertEqual(rows[A], (MAX_WEIGHT, sasp.CONTACT_SUCCESS_FLAG | sure))
        self.assertEqual(rows[other], rows[A])
        self.assertEqual(rows[B], (0, sasp.CONTACT_SUCCESS_FLAG | sasp.QUIESCE_FLAG | sure))
        self.assertEqual(rows[C], (0, 0))  # nobody's
        self.assertEqual(reply.interval_s, limits.POLL_INTERVAL)

    def test_members_register_themselves_where_their_balancer_trusts_them(self) -> None:
        m = sasp.Message(sasp.SET_LB_STATE_REQUEST, 1, lb_uid=b"lb-1", flags=sasp.TRUST_FLAG)
        self.assertEqual(getattr(self.registry.handle_request(0, m), "response_code", -1), sasp.SUCCESSFUL)
        self.assertEqual(self.ask(sasp.REGISTRATION_REQUEST, A, by=1, flags=0).response_code, sasp.SUCCESSFUL)
        self.assertEqual(self.ask(sasp.GET_WEIGHTS_REQUEST).response_code, sasp.SUCCESSFUL)
        m = sasp.Message(sasp.SET_LB_STATE_REQUEST, 1, lb_uid=b"lb-1", flags=0)
        self.assertEqual(
            getattr(self.registry.handle_request(1, m), "response_code", -1), sasp.SENDER_NOT_ACCEPTED
        )  # another's name

    def test_pushes_tell_what_moved_and_registrations_go_with_their_balancer(self) -> None:
        m = sasp.Message(
            sasp.SET_LB_STATE_REQUEST, 1, lb_uid=b"lb-1", flags=sasp.PUSH_FLAG | sasp.NO_CHANGE_NO_SEND_FLAG
        )
        self.registry.handle_request(0, m)
        self.ask(sasp.REGISTRATION_REQUEST, A, B)
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
        self.ask(sasp.DEREGISTRATION_REQUEST, A)  # a group changed between two pushes
        self.registry.connection_closed(0)
        self.registry.connection_opened(0)
        self.assertEqual(self.ask(sasp.GET_WEIGHTS_REQUEST).response_code, sasp.GROUP_NOT_REGISTERED)

    def test_a_balancer_s_groups_and_members_are_bounded(self) -> None:
        rows = [sasp.MemberData(6, n % 65536, A.address, b"%d" % n) for n in range(limits.MAX_MEMBERS)]
        self.assertEqual(self.ask(sasp.REGISTRATION_REQUEST, *rows).response_code, sasp.SUCCESSFUL)
        self.assertEqual(self.ask(sasp.REGISTRATION_REQUEST, A).response_code, sasp.INVALID_GROUP)


class Offers(unittest.TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(0.01, 10.0), st.booleans(), st.booleans()), min_size=1, max_size=12),
        st.integers(1, 4),
        st.randoms(use_true_random=False),
    )
    def test_cold_workers_over_all_balancers(
        self, rows: list[tuple[float, bool, bool]], balancers: int, chance: random.Random
    ) -> None:
        """However the fleet is dealt into groups, all that balancers bring a cold worker by their shares
        stays within its part of the whole, if any group has a warm one; who leaves gets nothing."""
        standing = {be: stands(e, cold, 5.0 if leaves else -1.0) for be, (e, cold, leaves) in enumerate(rows)}
        whole = sum(s.capacity for s in standing.values())
        for _ in range(balancers):
            group = [be for be in standing if chance.random() < 0.6] or [0]
            told = advertise_weights(standing, group)
            total = sum(offer.weight for offer in told.values())
            warm = any(standing[be].capacity > 0 and not standing[be].warming_up for be in group)
            live = any(standing[be].capacity > 0 for be in group)
            self.assertEqual(total > 0, live)  # nobody that has a usable member is left without
            for be, offer in told.items():
                if standing[be].draining_since >= 0:
                    self.assertEqual((offer.weight, offer.is_leaving), (0, True))
                elif standing[be].warming_up and warm:
                    part = COLD_OVER * standing[be].capacity / whole
                    self.assertLessEqual(offer.weight / total, part + 1.0 / total)

    def test_small_moves_are_not_told(self) -> None:
        told = advertise_weights({1: stands(1.0), 2: stands(0.5)}, [1, 2])
        again = advertise_weights({1: stands(1.0), 2: stands(0.52)}, [1, 2])
        self.assertFalse(has_changed(told[2], again[2]))
        self.assertTrue(has_changed(told[2], advertise_weights({1: stands(1.0), 2: stands(0.6)}, [1, 2])[2]))
        self.assertTrue(has_changed(None, told[2]))


class Worth(unittest.TestCase):
    def setUp(self) -> None:
        self.standing = {be: stands(1.0, time=0.1 * (1 + be % 3)) for be in range(6)}
        self.advice, self.now = ad.AdviceWeighting(), 0.0

    def step(self, words: dict[int, float] | None, advisor: str = "a") -> dict[int, float]:
        self.now += ad.UPDATE_INTERVAL
        if words is not None:
            self.advice.receive(
                advisor, self.now, {be: ad.AdvisoryWeight(w) for be, w in words.items()}, True
            )
        factors = self.advice.update_factors(self.now, self.standing)
        for be, factor in factors.items():
            plain = 1.0
            self.standing[be] = stands(
                plain * factor, self.standing[be].warming_up, time=self.standing[be].latency_s
            )
        return factors

    def fast(self) -> dict[int, float]:
        return {be: 100.0 / (1 + be % 3) for be in self.standing}

    def test_steps_bounds_and_credit(self) -> None:
        was = dict.fromkeys(self.standing, 1.0)
        for _ in range(40):
            factors = self.step(self.fast())
            for be in self.standing:
                factor = factors.get(be, 1.0)
                self.assertLessEqual(abs(math.log(factor / was[be])), ad.MAX_LOG_STEP + 1e-9)
                self.assertTrue(1 / ad.MAX_FACTOR <= factor <= ad.MAX_FACTOR)
                was[be] = factor
        self.assertGreater(self.advice.status(self.now)["a"].credit, 0.8)
        self.assertGreater(was[0], 1.3)
        self.assertLess(was[2], 0.8)

    def test_silence_fades_without_a_jump(self) -> None:
        for _ in range(30):
            was = self.step(self.fast())
        begun = self.now
        while was:
            factors = self.step(None)
            for be in was:
                step = abs(math.log(factors.get(be, 1.0) / was[be]))
                self.assertLessEqual(step, ad.MAX_LOG_STEP + 1e-9)
            was = factors
        self.assertLessEqual(
            self.now - begun,
            ad.MAX_AGE + ad.UPDATE_INTERVAL * (1 + math.log(ad.MAX_FACTOR) / ad.MAX_LOG_STEP),
        )

    def test_lies_and_flapping_lose_credit_and_it_comes_back_slowly(self) -> None:
        for _ in range(8):
            self.step({be: 1.0 * (1 + be % 3) for be in self.standing})
        lost = self.advice.status(self.now)["a"].credit
        self.assertLess(lost, 0.05)
        for _ in range(10):
            self.step(self.fast())
        self.assertLess(self.advice.status(self.now)["a"].credit, 0.35)
        chance = random.Random(3)
        for _ in range(12):
            self.step({be: float(chance.randint(1, 1000)) for be in self.standing}, "wild")
        self.assertLess(self.advice.status(self.now)["wild"].credit, 0.1)

    def test_it_is_not_won_back_by_dialling_anew(self) -> None:
        for _ in range(8):
            self.step({be: 1.0 * (1 + be % 3) for be in self.standing})
        lost = self.advice.status(self.now)["a"].credit
        self.advice.advisor_connected("a", self.now)
        self.assertEqual(self.advice.status(self.now)["a"].credit, lost)

    def test_words_without_ranks_change_nothing(self) -> None:
        self.standing[0] = stands(3.0)  # estimates that differ are not drawn together by words that don't
        for words in (dict.fromkeys(self.standing, 0.0), dict.fromkeys(self.standing, 65535.0), {}):
            self.assertEqual(self.step(words), {})

    def test_a_cold_worker_is_never_lifted_and_nobody_gets_nothing(self) -> None:
        self.standing[5] = stands(0.2, cold=True)
        for _ in range(20):
            factors = self.step({**dict.fromkeys(self.standing, 1.0), 5: 65535.0, 0: 0.0})
            self.assertLessEqual(factors.get(5, 1.0), 1.0)
            self.assertTrue(all(factor >= 1 / ad.MAX_FACTOR for factor in factors.values()))

    def test_two_that_differ_count_by_their_credit(self) -> None:
        for _ in range(20):
            self.advice.receive(
                "b", self.now, {be: ad.AdvisoryWeight(1.0 * (1 + be % 3)) for be in self.standing}, True
            )
            factors = self.step(self.fast())
        self.assertGreater(factors[0], 1.2)
        self.assertLess(factors[2], 0.9)

    def test_old_words_after_an_hour_count_no_more(self) -> None:
        for _ in range(10):
            self.step(self.fast())
        self.now += 3600.0
        self.assertLess(max(abs(math.log(f)) for f in self.step(None).values()), math.log(ad.MAX_FACTOR))
        for _ in range(8):
            factors = self.step(None)
        self.assertEqual(factors, {})

    def test_who_is_gone_is_forgotten(self) -> None:
        self.step(self.fast())
        del self.standing[0]
        self.assertNotIn(0, self.step(None))
        self.assertEqual(self.advice.status(self.now)["a"].weight_count, 5)


class MonthEnd(unittest.TestCase):
    """The module on a stand-in fleet in simulated time."""

    def mean(self, *advisors: me.Advisor) -> float:
        named = {str(n): say for n, say in enumerate(advisors)}
        days = [
            me.MonthEndRun(named, seed=seed, duration_s=80.0, load=0.85).run(me.slow_two_workers)
            for seed in (7, 8, 9)
        ]
        self.assertEqual(sum(day.proxies_without_worker for day in days), 0)
        return sum(day.served_share for day in days) / len(days)

    def test_honest_advice_gains_and_lies_cost_little(self) -> None:
        none = self.mean()
        self.assertGreater(self.mean(me.honest_advisor), none)
        for lie in (
            me.lying_advisor,
            me.random_advisor,
            me.zero_advisor,
            me.maximum_advisor,
            me.stalling_advisor,
            me.stalling_then_lying_advisor,
        ):
            self.assertGreater(self.mean(lie), 0.9 * none, lie.__name__)
        self.assertGreater(self.mean(me.honest_advisor, me.lying_advisor), none)

    def test_a_cold_worker_ranked_highest_stays_under_its_rule_and_a_drain_stands(self) -> None:
        def flatters(now: float, day: me.MonthEndRun) -> dict[int, ad.AdvisoryWeight]:
            return {
                be: ad.AdvisoryWeight(65535.0 if box.started_at else 1.0) for be, box in day.workers.items()
            }

        def events(now: float, day: me.MonthEndRun) -> None:
            if abs(now - 20.0) < me.STEP_S / 2:
                day.start_worker(20, 0, 1.5, 1000.0 + now)
                day.drain_worker(0, 1000.0 + now)
            if now > 22.0:
                for p in range(me.PROXY_COUNT):
                    self.assertNotIn(0, day.usable_weights(p))

        plain = me.MonthEndRun({}, duration_s=50.0).run(events)
        day = me.MonthEndRun({"a": flatters}, duration_s=50.0).run(events)
        self.assertGreater(plain.worst_warm_up_load, 0.0)  # it was used while cold
        self.assertLess(day.worst_warm_up_load, 1.0)
        self.assertEqual(day.proxies_without_worker, 0)
