"""Tests of what managers and forwarders restore from a snapshot, by its age."""

from __future__ import annotations

import math
import unittest
from dataclasses import dataclass

from cottonladder.forwarder import restored_state
from cottonladder.forwarder.admission_pacer import AdmissionPacer
from cottonladder.forwarder.request_classes import Idempotency, RequestClass
from cottonladder.forwarder.router import MAX_CONSECUTIVE_FAILURES, AdmissionMode, Router
from cottonladder.forwarder.routing_orders import ReceivedConfigPart
from cottonladder.model.inputs import (
    Endpoint,
    EndpointList,
    EndpointState,
    ListUpdateKind,
    RestoredState,
    TimerFired,
    WorkerHistory,
)
from cottonladder.model.state_changes import WorkerState
from cottonladder.planning import snapshot_staleness
from cottonladder.planning.controller_views import collect_state
from cottonladder.policy.controller import RoutingController
from cottonladder.policy.warm_up import is_warming_up
from cottonladder.testbed import month_end

WORKER_COUNT = 6
DAY_S = 86_400.0


def worker_history(
    worker_index: int, was_ejected: bool = False, was_draining: bool = False, latency_factor: float = 0.2
) -> WorkerHistory:
    return WorkerHistory(
        worker_index=worker_index,
        started_at=0.0,
        base_latency_s=0.1,
        latency_factor=latency_factor,
        was_ejected=was_ejected,
        was_draining=was_draining,
    )


@dataclass(frozen=True)
class AgeCase:
    """The age of a manager's snapshot, and what is restored from it."""

    age_s: float
    is_ejection_restored: bool
    rate_count: int


class SnapshotStalenessTest(unittest.TestCase):
    def test_each_kind_of_value_is_discounted_by_its_own_limit(self) -> None:
        histories = (
            worker_history(0, was_ejected=True),
            worker_history(1),
            worker_history(2),
            worker_history(3, was_draining=True),
        )
        state = RestoredState(9, histories, ((4, 2.5),))
        for case in (
            AgeCase(1.0, True, 1),
            AgeCase(60.0, False, 1),
            AgeCase(7200.0, False, 0),
            AgeCase(math.inf, False, 0),
        ):
            aged = snapshot_staleness.discount_restored_state(state, case.age_s)
            self.assertEqual(
                (aged.workers[0].was_ejected, len(aged.proxy_rates), aged.last_checkpoint),
                (case.is_ejection_restored, case.rate_count, 9),
            )
            # A drain is restored at any age.
            self.assertEqual([worker.was_draining for worker in aged.workers], [False, False, False, True])
        self.assertAlmostEqual(
            snapshot_staleness.discount_restored_state(state, 30.0).workers[1].latency_factor, 0.6
        )
        self.assertEqual(
            snapshot_staleness.discount_restored_state(state, math.inf).workers[1].latency_factor, 1.0
        )
        self.assertEqual(
            snapshot_staleness.discount_restored_state(state, 8 * DAY_S).workers[1].base_latency_s, 0.0
        )

    def test_no_ejection_is_restored_if_the_ejected_workers_exceed_the_limit(self) -> None:
        histories = tuple(worker_history(n, was_ejected=n < 4) for n in range(8))
        self.assertEqual(snapshot_staleness.restorable_ejections(histories, 1.0), set())
        self.assertEqual(snapshot_staleness.restorable_ejections(histories[2:], 1.0), {2, 3})

    def test_a_snapshot_is_infinitely_old_if_the_clock_was_set_back_far(self) -> None:
        self.assertEqual(snapshot_staleness.snapshot_age(1000.0, 999.0), 0.0)
        self.assertEqual(snapshot_staleness.snapshot_age(DAY_S, 0.0), math.inf)
        self.assertEqual(snapshot_staleness.snapshot_age(0.0, DAY_S), DAY_S)


class RestoredControllerTest(unittest.TestCase):
    def restored_controller(
        self, *histories: WorkerHistory, first_started_at: float = 0.0
    ) -> RoutingController:
        """Returns a controller with a cached endpoint list and the state of an earlier incarnation."""
        controller = RoutingController(month_end.PARAMETERS)
        endpoints = tuple(
            Endpoint(worker, worker % 2, EndpointState.READY, 1.0, first_started_at if worker == 0 else 0.0)
            for worker in range(WORKER_COUNT)
        )
        cached_list = EndpointList(ListUpdateKind.CACHED, endpoints)
        controller.decide_orders(1000.0, [cached_list, RestoredState(7, histories, ())])
        return controller

    def test_drains_and_ejections_are_restored_for_listed_workers(self) -> None:
        controller = self.restored_controller(
            worker_history(0, was_draining=True),
            worker_history(1, was_ejected=True),
            worker_history(9, was_draining=True),
        )
        workers = controller.state.workers.by_index
        self.assertEqual(
            (workers[0].state, workers[1].state, workers[2].state, 9 in workers),
            (WorkerState.REMOVED, WorkerState.EJECTED, WorkerState.HEALTHY, False),
        )
        self.assertEqual(controller.channel_budget.last_checkpoint, 7)

    def test_a_restored_drain_ends_when_the_worker_is_listed_as_ready_and_an_ejection_when_it_expires(
        self,
    ) -> None:
        controller = self.restored_controller(
            worker_history(0, was_draining=True),
            worker_history(1, was_ejected=True),
            worker_history(9, was_draining=True),
        )
        ready = Endpoint(0, 0, EndpointState.READY, 1.0, 0.0)
        controller.decide_orders(1001.0, [EndpointList(ListUpdateKind.DELTA, (ready,))])
        self.assertEqual(controller.state.workers.by_index[0].state, WorkerState.SLOW_START)
        controller.decide_orders(1008.0, [TimerFired(controller.tick)])
        self.assertIn(
            controller.state.workers.by_index[1].state, (WorkerState.SLOW_START, WorkerState.HEALTHY)
        )

    def test_a_worker_that_was_started_after_the_snapshot_counts_as_new(self) -> None:
        controller = self.restored_controller(worker_history(0, was_draining=True), first_started_at=995.0)
        worker = controller.state.workers.by_index[0]
        self.assertNotEqual(worker.state, WorkerState.REMOVED)
        self.assertTrue(is_warming_up(controller.state, worker))

    def test_the_collected_state_has_all_workers_and_proxies(self) -> None:
        run = month_end.MonthEndRun({}, duration_s=30.0)
        run.run()
        known = run.controller.state
        state = collect_state(run.controller, list(known.workers.by_index), list(known.proxies.by_number))
        self.assertEqual({worker.worker_index for worker in state.workers}, set(run.workers))
        self.assertTrue(all(worker.base_latency_s > 0 for worker in state.workers))
        self.assertEqual(len(state.proxy_rates), month_end.PROXY_COUNT)


@dataclass(frozen=True)
class ForwarderCase:
    """The age of a forwarder's snapshot, and what is restored from it."""

    age_s: float
    is_avoided: bool
    candidates: frozenset[str]


class RestoredForwarderTest(unittest.TestCase):
    def test_exclusions_are_restored_at_any_age_but_tables_and_avoided_workers_are_not(self) -> None:
        classes = [RequestClass("fetch", (), Idempotency.IDEMPOTENT)]
        before = Router(classes, AdmissionMode.RATIO, lambda: 0.5)
        weights = tuple((f"s-{n}", 1.0) for n in range(WORKER_COUNT))
        before.apply([ReceivedConfigPart(replaces_table=True, weights=weights, excluded=("s-5",))])
        for _ in range(MAX_CONSECUTIVE_FAILURES):
            before.record_result(100.0, "s-0", False)
        snapshot = restored_state.create_snapshot(before, {}, 100.0)
        listed = frozenset({"s-0", "s-1", "s-2", "s-3"})
        for case in (
            ForwarderCase(1.0, True, listed),
            ForwarderCase(60.0, False, listed),
            ForwarderCase(7200.0, False, frozenset()),
        ):
            after = Router(classes, AdmissionMode.RATIO, lambda: 0.5)
            pacer = AdmissionPacer(10.0, 1.0)
            restored_state.restore(
                snapshot, case.age_s, 500.0, after, pacer, lambda worker_id: worker_id != "s-4"
            )
            self.assertEqual(after.excluded, {"s-5"})
            self.assertEqual("s-0" in after.avoided_until(), case.is_avoided)
            self.assertEqual(set(after.candidates("fetch")), case.candidates)


if __name__ == "__main__":
    unittest.main()
