"""The control loop's batches, timers and lag monitor, without sockets."""

from __future__ import annotations

import asyncio
import math
import unittest
from collections.abc import Iterable
from unittest import mock

from structlog.testing import capture_logs

from cottonladder.control.control_loop import ControlLoop, ControlLoopObservers, NetworkClients
from cottonladder.control.input_queue import InputQueue
from cottonladder.control.loop_lag import LoopLagMonitor
from cottonladder.control.policy_timers import PolicyTimers
from cottonladder.control.state_change_log import StateChangeLog
from cottonladder.model.inputs import Input, TimerFired
from cottonladder.model.orders import FetchEndpoints, Order, SetWeight, StartTimer
from cottonladder.model.state_changes import AdmissionChanged, StateChange
from cottonladder.policy.controller import RoutingController
from cottonladder.protocol.discovery import DiscoveryClient
from cottonladder.protocol.gossip import GossipSocket
from cottonladder.protocol.health_checks import HealthChecker
from cottonladder.state.order_dispatcher import OrderDispatcher
from cottonladder.state.proxy_sessions import ProxySessions
from cottonladder.state.worker_registry import WorkerRegistry
from tests.support.deployment_parameters import DEFAULT_PARAMETERS
from tests.support.timeouts import in_time


class ScriptedController(RoutingController):
    """A policy that returns the same orders for each batch."""

    def __init__(self, orders: list[Order]) -> None:
        super().__init__(DEFAULT_PARAMETERS)
        self._orders = orders

    def decide_orders(self, _now: float, _inputs: Iterable[Input]) -> list[Order]:
        """Returns the scripted orders."""
        return self._orders


class ControlLoopTests(unittest.TestCase):
    def control_loop(self, orders: list[Order]) -> ControlLoop:
        """Creates a loop whose policy returns these orders; worker `s-1` has index 0."""
        workers = WorkerRegistry()
        workers.register("s-1", "10.0.0.1:8080", 0.0)
        self.discovery = mock.Mock(spec=DiscoveryClient)
        self.observed: list[StateChange] = []
        return ControlLoop(
            ScriptedController(orders),
            InputQueue(),
            mock.Mock(spec=ProxySessions),
            OrderDispatcher(["lookup"], 1, workers),
            NetworkClients(self.discovery, mock.Mock(spec=HealthChecker), mock.Mock(spec=GossipSocket)),
            StateChangeLog(workers, ["a"]),
            observers=ControlLoopObservers(on_state_change=self.observed.append),
        )

    def test_a_rejected_order_is_logged_and_the_following_orders_are_carried_out(self) -> None:
        control_loop = self.control_loop([SetWeight(1, 0, math.inf), SetWeight(1, 7, 1.0), FetchEndpoints()])
        with capture_logs() as lines:
            control_loop.run_once([])
        rejected = {"event": "order_rejected", "log_level": "error", "order": "SetWeight"}
        self.assertEqual(
            lines,
            [
                {**rejected, "reason": "invalid_weight", "worker_id": "s-1", "weight": math.inf},
                {**rejected, "reason": "unknown_worker", "worker_index": 7},
            ],
        )
        self.discovery.fetch.assert_called_once_with()

    def test_a_state_change_is_logged_and_passed_to_the_observer(self) -> None:
        change = AdmissionChanged(from_ratio=1.0, to_ratio=0.5, overload_signal=2.0)
        with capture_logs() as lines:
            self.control_loop([change]).run_once([])
        self.assertEqual([line["event"] for line in lines], ["admission_changed"])
        self.assertEqual(self.observed, [change])


class LoopLagMonitorTests(unittest.TestCase):
    def test_each_late_batch_is_reported_and_only_much_longer_ones_are_logged(self) -> None:
        reported: list[None] = []
        monitor = LoopLagMonitor(lambda: reported.append(None))
        with capture_logs() as lines:
            for lag_s in (0.005, 0.020, 0.029, 0.031, 0.012):
                monitor.record("batch", lag_s)
            monitor.record("timer", 0.012)  # the longest of its source
        self.assertEqual(len(reported), 5)
        self.assertEqual(
            [(line["event"], line["source"], line["duration_ms"]) for line in lines],
            [("loop_lag", "batch", 20.0), ("loop_lag", "batch", 31.0), ("loop_lag", "timer", 12.0)],
        )


class PolicyTimerTests(unittest.IsolatedAsyncioTestCase):
    async def test_all_timers_with_the_same_token_fire_and_cancelled_timers_do_not(self) -> None:
        fired: asyncio.Queue[TimerFired] = asyncio.Queue()
        timers = PolicyTimers(fired.put_nowait, LoopLagMonitor(None))
        timers.start(StartTimer(0.0, 3))
        timers.start(StartTimer(0.0, 3))
        self.assertEqual([await in_time(fired.get()) for _ in range(2)], [TimerFired(3), TimerFired(3)])
        timers.start(StartTimer(0.0, 4))
        timers.cancel_all()
        timers.start(StartTimer(0.0, 5))
        self.assertEqual(await in_time(fired.get()), TimerFired(5))
        self.assertTrue(fired.empty())


if __name__ == "__main__":
    unittest.main()
