"""Tests of leases and fencing: by the model checker, by random walks, and with each rule disabled."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.membership import checker
from cottonladder.membership.checker import Violation
from cottonladder.planning.fencing import (
    ALL_RULES,
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

# The violation that the search finds first if a rule is disabled, by the rule's field.
RULE_VIOLATIONS = {
    "rejects_other_epochs": Violation.STALE_EPOCH,
    "requires_newer_versions": Violation.STALE_READMISSION,
    "retries_keys_once": Violation.DUPLICATE_RETRY,
    "adopts_exclusions": Violation.UNKNOWN_EXCLUSION,
}


class ModelCheckerTest(unittest.TestCase):
    def test_no_interleaving_violates_an_invariant(self) -> None:
        two_managers = checker.explore(2, 10)
        three_managers = checker.explore(3, 7)
        self.assertEqual(two_managers.violation, Violation.NONE, two_managers.trace)
        self.assertEqual(three_managers.violation, Violation.NONE, three_managers.trace)
        self.assertGreater(two_managers.state_count, 15_000)
        self.assertGreater(three_managers.state_count, 10_000)

    def test_disabling_a_rule_violates_its_invariant(self) -> None:
        for rule, violation in RULE_VIOLATIONS.items():
            with self.subTest(rule):
                result = checker.explore(2, 11, replace(ALL_RULES, **{rule: False}))
                self.assertEqual(result.violation, violation)
                self.assertEqual(len(result.trace), result.depth)

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 10_000), min_size=60, max_size=60))
    def test_long_random_walks_violate_no_invariant(self, choices: list[int]) -> None:
        """Walks of 60 steps, in which three managers may request many leases, are too deep for the search."""
        state = checker.initial_state(3)
        for choice in choices:
            steps = list(checker.successors(state, ALL_RULES, 50))
            step = steps[choice % len(steps)]
            state = step.state
            self.assertEqual(state.violation, Violation.NONE, step.label)


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
        rejected = apply_message(granted_to_successor.lease, ReadmitWorker((1, 0), 3, 9))
        self.assertEqual((rejected.reply, rejected.was_applied), (LeaseRejected((1, 0), (2, 1)), False))
        assert rejected.reply is not None
        _, next_request = request_lease(receive_reply(manager, rejected.reply))
        self.assertEqual(next_request.epoch, (3, 0))


if __name__ == "__main__":
    unittest.main()
