"""The transition table of worker states."""

from __future__ import annotations

import unittest

from cottonladder.model import ControllerState, LatencyHistogram, WorkerRecord
from cottonladder.model.state_changes import WorkerEvent, WorkerState, WorkerStateChanged
from cottonladder.policy.worker_states import EJECTION_JITTER, EJECTION_TIME_S, TRANSITIONS, apply_event
from tests.support.deployment_parameters import DEFAULT_PARAMETERS

WORKER_INDEX = 3  # arbitrary
NOW = 100.0  # seconds


def state_with_worker(worker_state: WorkerState) -> ControllerState:
    state = ControllerState(DEFAULT_PARAMETERS)
    state.now = NOW
    worker = WorkerRecord(LatencyHistogram(0.01, 1.5, 16), 10)
    worker.state = worker_state
    worker.attempt_count = 20.0
    worker.lost_check_count = 2
    worker.planned_rate = 5.0
    state.workers.by_index[WORKER_INDEX] = worker
    return state


class WorkerStateTests(unittest.TestCase):
    def test_every_event_has_a_transition(self) -> None:
        self.assertEqual(set(TRANSITIONS), set(WorkerEvent))

    def test_events_move_workers_only_out_of_their_source_states(self) -> None:
        for event, transition in TRANSITIONS.items():
            for former in WorkerState:
                with self.subTest(event=event, state=former):
                    state = state_with_worker(former)
                    apply_event(state, WORKER_INDEX, event)
                    applies = former in transition.sources
                    worker = state.workers.by_index[WORKER_INDEX]
                    self.assertEqual(worker.state, transition.target if applies else former)
                    self.assertEqual(state.needs_solution, applies)

    def test_state_changes_are_reported_except_the_first_one(self) -> None:
        state = state_with_worker(WorkerState.HEALTHY)
        apply_event(state, WORKER_INDEX, WorkerEvent.HEALTH_CHECKS_LOST)
        expected = WorkerStateChanged(
            WORKER_INDEX, 0, WorkerState.HEALTHY, WorkerState.EJECTED, WorkerEvent.HEALTH_CHECKS_LOST
        )
        self.assertEqual(state.pending_orders.pop_all(), [expected])
        absent = state_with_worker(WorkerState.ABSENT)
        apply_event(absent, WORKER_INDEX, WorkerEvent.DISCOVERED)
        self.assertEqual(absent.pending_orders.pop_all(), [])

    def test_ejection_sets_its_end_and_clears_the_planned_rate(self) -> None:
        state = state_with_worker(WorkerState.HEALTHY)
        apply_event(state, WORKER_INDEX, WorkerEvent.HIGH_FAILURE_RATIO)
        worker = state.workers.by_index[WORKER_INDEX]
        shortest, longest = EJECTION_JITTER
        self.assertGreaterEqual(worker.ejected_until, NOW + EJECTION_TIME_S * shortest)
        self.assertLessEqual(worker.ejected_until, NOW + EJECTION_TIME_S * longest)
        self.assertEqual(worker.planned_rate, 0.0)

    def test_slow_start_resets_measurements(self) -> None:
        state = state_with_worker(WorkerState.EJECTED)
        apply_event(state, WORKER_INDEX, WorkerEvent.HEALTH_CHECK_SUCCEEDED)
        worker = state.workers.by_index[WORKER_INDEX]
        self.assertEqual(worker.slow_start_began_at, NOW)
        self.assertEqual(worker.attempt_count, 0.0)
        self.assertEqual(worker.lost_check_count, 0)


if __name__ == "__main__":
    unittest.main()
