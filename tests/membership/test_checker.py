"""Leases and fencing: explored by the model checker, walked at random, and each guard left out once."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.membership import checker
from cottonladder.planning import fencing as f


class FencingTest(unittest.TestCase):
    def test_no_interleaving_breaks_an_invariant(self) -> None:
        two, three = checker.explore(2, 10), checker.explore(3, 7)
        self.assertEqual((two.fault, three.fault), ("", ""), two.trace or three.trace)
        self.assertGreater(two.states, 15_000)
        self.assertGreater(three.states, 10_000)

    def test_each_guard_left_out_is_found(self) -> None:
        for guard, fault in (
            ("epochs", "higher"), ("versions", "revived"), ("keys", "twice"), ("hand_over", "ignorant"),
        ):  # fmt: skip
            with self.subTest(guard):
                found = checker.explore(2, 11, replace(f.ALL_GUARDS, **{guard: False}))
                self.assertEqual(found.fault, fault)
                self.assertEqual(len(found.trace), found.depth)

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 10_000), min_size=60, max_size=60))
    def test_long_walks(self, choices: list[int]) -> None:
        """Three managers, lease requests without end, far past what can be explored."""
        state = checker.initial_state(3)
        for choice in choices:
            after = list(checker.successors(state, f.ALL_GUARDS, 50))
            step = after[choice % len(after)]
            state = step.state
            self.assertEqual(state.fault, "", step.label)

    def test_a_manager_that_slept_orders_nothing_until_it_has_a_lease(self) -> None:
        manager, request = f.request_lease(f.ManagerLease(0))
        granted = f.apply_message(f.ForwarderLease(), request)
        assert granted.reply is not None
        manager = f.apply_list_update(f.receive_reply(manager, granted.reply), 3, 1, True)
        self.assertEqual(f.orders_to_send(manager), (f.ExcludeWorker((1, 0), 3, 1),))
        manager = f.resume_after_pause(manager, 60.0)
        self.assertEqual(f.orders_to_send(manager), ())
        heir = f.receive_reply(f.ManagerLease(1), f.LeaseRejected(f.NO_EPOCH, (1, 0)))
        _, request = f.request_lease(heir)
        excluded = f.apply_message(granted.lease, f.ExcludeWorker((1, 0), 3, 1))
        taken_over = f.apply_message(excluded.lease, request)
        late = f.apply_message(taken_over.lease, f.ReadmitWorker((1, 0), 3, 9))
        self.assertEqual((late.reply, late.was_applied), (f.LeaseRejected((1, 0), (2, 1)), False))
        assert late.reply is not None
        self.assertEqual(f.request_lease(f.receive_reply(manager, late.reply))[1].epoch, (3, 0))


if __name__ == "__main__":
    unittest.main()
