"""What a snapshot's figures are worth when they are restored, at managers and forwarders."""

from __future__ import annotations

import math
import unittest

from cottonladder.forwarder import restored_state as fr
from cottonladder.forwarder import router as ro
from cottonladder.forwarder.admission_pacer import AdmissionPacer
from cottonladder.forwarder.request_classes import Idempotency, RequestClass
from cottonladder.forwarder.routing_orders import ConfigPart
from cottonladder.model.inputs import (
    Endpoint,
    EndpointList,
    EndpointState,
    ListUpdateKind,
    RestoredState,
    TimerFired,
    WorkerHistory,
)
from cottonladder.planning import snapshot_staleness as ageing
from cottonladder.planning.controller_views import collect_state
from cottonladder.policy.controller import RoutingController
from cottonladder.policy.warm_up import is_warming_up
from cottonladder.testbed import month_end as me


def worker_history(be: int, out: bool = False, leaving: bool = False, slowness: float = 0.2) -> WorkerHistory:
    return WorkerHistory(be, 0.0, 0.1, slowness, out, leaving)


class SnapshotStalenessTest(unittest.TestCase):
    def test_each_figure_by_its_kind(self) -> None:
        life = RestoredState(
            9,
            (
                worker_history(0, out=True),
                worker_history(1),
                worker_history(2),
                worker_history(3, leaving=True),
            ),
            ((4, 2.5),),
        )
        for age, out, rates in ((1.0, True, 1), (60.0, False, 1), (7200.0, False, 0), (math.inf, False, 0)):
            aged = ageing.discount(life, age)
            self.assertEqual(
                (aged.workers[0].was_ejected, len(aged.proxy_rates), aged.last_checkpoint), (out, rates, 9)
            )
            self.assertEqual(
                [p.was_draining for p in aged.workers], [False, False, False, True]
            )  # drains stand
        self.assertAlmostEqual(ageing.discount(life, 30.0).workers[1].latency_factor, 0.6)
        self.assertEqual(ageing.discount(life, math.inf).workers[1].latency_factor, 1.0)
        self.assertEqual(ageing.discount(life, 8 * 86_400.0).workers[1].base_latency_s, 0.0)

    def test_a_file_that_suspects_everybody_suspects_nobody(self) -> None:
        pasts = tuple(worker_history(n, out=n < 4) for n in range(8))
        self.assertEqual(ageing.valid_suspicions(pasts, 1.0), set())
        self.assertEqual(ageing.valid_suspicions(pasts[2:], 1.0), {2, 3})

    def test_clocks_that_were_stepped(self) -> None:
        self.assertEqual(ageing.snapshot_age(1000.0, 999.0), 0.0)
        self.assertEqual(ageing.snapshot_age(86_400.0, 0.0), math.inf)
        self.assertEqual(ageing.snapshot_age(0.0, 86_400.0), 86_400.0)

    def ladder(self, *pasts: WorkerHistory, started: float = 0.0) -> RoutingController:
        ladder = RoutingController(me.PARAMETERS)
        entries = tuple(
            Endpoint(be, be % 2, EndpointState.READY, 1.0, started if be == 0 else 0.0) for be in range(6)
        )
        ladder.decide(1000.0, [EndpointList(ListUpdateKind.CACHED, entries), RestoredState(7, pasts, ())])
        return ladder

    def test_what_the_module_makes_of_it(self) -> None:
        """A drain stands until the list has the worker ready; a suspect is tried again; who has started
        since is a new worker; one that is unlisted is nobody; the number of marks goes on."""
        ladder = self.ladder(
            worker_history(0, leaving=True), worker_history(1, out=True), worker_history(9, leaving=True)
        )
        states = {be: state.state for be, state in ladder.state.workers.by_index.items()}
        self.assertEqual((states[0], states[1], states[2], 9 in states), ("gone", "out", "well", False))
        self.assertEqual(ladder.channel_budget.last_checkpoint, 7)
        ready = Endpoint(0, 0, EndpointState.READY, 1.0, 0.0)
        ladder.decide(1001.0, [EndpointList(ListUpdateKind.DELTA, (ready,))])
        self.assertEqual(ladder.state.workers.by_index[0].state, "ramp")
        ladder.decide(1008.0, [TimerFired(ladder.tick)])
        self.assertIn(
            ladder.state.workers.by_index[1].state, ("ramp", "well")
        )  # a recovered one is back within seconds
        replaced = self.ladder(worker_history(0, leaving=True), started=995.0)
        self.assertNotEqual(replaced.state.workers.by_index[0].state, "gone")
        self.assertTrue(is_warming_up(replaced.state, replaced.state.workers.by_index[0]))  # and still cold

    def test_a_life_goes_round(self) -> None:
        day = me.MonthEndRun({}, duration_s=30.0)
        day.run()
        life = collect_state(
            day.controller,
            list(day.controller.state.workers.by_index),
            list(day.controller.state.proxies.by_number),
        )
        self.assertEqual({p.worker_index for p in life.workers}, set(day.workers))
        self.assertTrue(all(p.base_latency_s > 0 for p in life.workers))
        self.assertEqual(len(life.proxy_rates), me.PROXY_COUNT)

    def test_the_forwarder_s(self) -> None:
        kinds = [RequestClass("fetch", (), Idempotency.IDEMPOTENT)]
        before = ro.Router(kinds, ro.AdmissionMode.RATIO, lambda: 0.5)
        before.apply(
            [ConfigPart(replace=True, weights=tuple((f"s-{n}", 1.0) for n in range(6)), exclude=("s-5",))]
        )
        for _ in range(ro.MAX_CONSECUTIVE_FAILURES):
            before.record_result(100.0, "s-0", False)
        life = fr.snapshot_of(before, {}, 100.0)
        for age, avoided, table in ((1.0, True, True), (60.0, False, True), (7200.0, False, False)):
            after, arrivals = ro.Router(kinds, ro.AdmissionMode.RATIO, lambda: 0.5), AdmissionPacer(10.0, 1.0)
            fr.restore(life, age, 500.0, after, arrivals, lambda be: be != "s-4")
            self.assertEqual(after.excluded, {"s-5"})
            self.assertEqual("s-0" in after.avoided_until(), avoided)
            self.assertEqual(set(after.candidates("fetch")), {"s-0", "s-1", "s-2", "s-3"} if table else set())


if __name__ == "__main__":
    unittest.main()
