"""Leases and fencing: explored by the model checker, walked at random, and with each guard left out."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.membership import checker
from cottonladder.membership.checker import Violation
from cottonladder.planning.fencing import (
    ALL_GUARDS,
    NO_EPOCH,
    ExcludeWorker,
    ForwarderLease,
    LeaseRejected,
    ManagerLease,
    ReadmitWorker,
    apply_list_update,
    apply_message,
    orders_to_send,
    receive_reply,
    request_lease,
    resume_after_pause,
)

GUARD_VIOLATIONS = {
    "epochs": Violation.STALE_EPOCH,
    "versions": Violation.STALE_READMISSION,
    "keys": Violation.DUPLICATE_RETRY,
    "hand_over": Violation.UNKNOWN_EXCLUSION,
}


class ModelCheckerTest(unittest.TestCase):
    def test_no_interleaving_breaks_an_invariant(self) -> None:
        two_managers = checker.explore(2, 10)
        three_managers = checker.explore(3, 7)
        self.assertEqual(two_managers.fault, Violation.NONE, two_managers.trace)
        self.assertEqual(three_managers.fault, Violation.NONE, three_managers.trace)
        self.assertGreater(two_managers.states, 15_000)
        self.assertGreater(three_managers.states, 10_000)

    def test_leaving_out_a_guard_breaks_its_invariant(self) -> None:
        for guard, violation in GUARD_VIOLATIONS.items():
            with self.subTest(guard):
                result = checker.explore(2, 11, replace(ALL_GUARDS, **{guard: False}))
                self.assertEqual(result.fault, violation)
                self.assertEqual(len(result.trace), result.depth)

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 10_000), min_size=60, max_size=60))
    def test_long_random_walks_break_no_invariant(self, choices: list[int]) -> None:
        """Three managers may request many leases, which is deeper than can be explored."""
        state = checker.initial_state(3)
        for choice in choices:
            steps = list(checker.successors(state, ALL_GUARDS, 50))
            step = steps[choice % len(steps)]
            state = step.state
            self.assertEqual(state.fault, Violation.NONE, step.label)


class LeaseTest(unittest.TestCase):
    def test_a_paused_manager_sends_no_orders_until_it_is_granted_a_lease_again(self) -> None:
        manager, request = request_lease(ManagerLease(0))
        granted = apply_message(ForwarderLease(), request)
        assert granted.reply is not None
        manager = apply_list_update(receive_reply(manager, granted.reply), 3, 1, True)
        self.assertEqual(orders_to_send(manager), (ExcludeWorker((1, 0), 3, 1),))
        manager = resume_after_pause(manager, 60.0)
        self.assertEqual(orders_to_send(manager), ())

    def test_a_late_order_of_an_earlier_lease_holder_is_rejected(self) -> None:
        manager, request = request_lease(ManagerLease(0))
        granted = apply_message(ForwarderLease(), request)
        assert granted.reply is not None
        manager = resume_after_pause(receive_reply(manager, granted.reply), 60.0)
        successor = receive_reply(ManagerLease(1), LeaseRejected(NO_EPOCH, (1, 0)))
        _, request = request_lease(successor)
        excluded = apply_message(granted.lease, ExcludeWorker((1, 0), 3, 1))
        granted_to_successor = apply_message(excluded.lease, request)
        late = apply_message(granted_to_successor.lease, ReadmitWorker((1, 0), 3, 9))
        self.assertEqual((late.reply, late.was_applied), (LeaseRejected((1, 0), (2, 1)), False))
        assert late.reply is not None
        _, next_request = request_lease(receive_reply(manager, late.reply))
        self.assertEqual(next_request.epoch, (3, 0))


if __name__ == "__main__":
    unittest.main()
