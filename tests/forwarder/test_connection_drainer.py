"""The times at which connections of a draining worker are migrated or closed."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import dataclass

from cottonladder.forwarder.connection_drainer import (
    FORCED_CLOSE_FRACTION,
    ORDER_WAIT_FRACTION,
    CloseAllConnections,
    ConnectionDrainer,
    DrainState,
    ReleaseConnection,
)
from cottonladder.forwarder.drain_orders import TICK_INTERVAL_S, DrainOrderResult, MigrationOrder

GRACE_S = 10.0
ORDER_DURATION_S = 0.5


def order(number: int, targets: dict[str, int], count: int, time_left_s: float = GRACE_S) -> MigrationOrder:
    return MigrationOrder(number, targets, count, ORDER_DURATION_S, time_left_s)


@dataclass(frozen=True, slots=True)
class TimedAction:
    at_s: float
    action: ReleaseConnection | CloseAllConnections


class DrainSchedules(unittest.TestCase):
    def setUp(self) -> None:
        self.drainer = ConnectionDrainer(GRACE_S)
        self.drainer.start(0.0, "s-1")

    def execute_actions(self, connections: Counter[str], until_s: float, start_s: float = 0.0) -> list[float]:
        """Executes every due action immediately; returns the time at which each connection was released."""
        started_at: list[float] = []
        for tick in range(round(start_s / TICK_INTERVAL_S), round(until_s / TICK_INTERVAL_S)):
            now = tick * TICK_INTERVAL_S
            for action in self.drainer.due_actions(now, connections, connections):
                if isinstance(action, CloseAllConnections):
                    connections.pop(action.worker_id, None)
                    continue
                connections[action.worker_id] -= 1
                started_at.append(now)
                self.drainer.record_release(action.worker_id, action.order, True)
        return started_at

    def test_a_self_paced_drain_releases_evenly_over_the_grace_period(self) -> None:
        """No manager sends orders: it is unreachable, has ended, or does not support the extension."""
        started_at = self.execute_actions(Counter({"s-1": 100}), GRACE_S)
        self.assertEqual(len(started_at), 100)
        self.assertGreater(min(started_at), GRACE_S * ORDER_WAIT_FRACTION - TICK_INTERVAL_S)
        self.assertLess(max(started_at), GRACE_S * (1 - FORCED_CLOSE_FRACTION))
        self.assertLessEqual(max(Counter(started_at).values()), 3)

    def test_ordered_connections_leave_evenly_and_the_order_gets_a_result(self) -> None:
        connections = Counter({"s-1": 50})
        self.drainer.add_order(0.0, "s-1", order(7, {"s-2": 3, "s-3": 1}, 6))
        releases: list[ReleaseConnection] = []
        for tick in range(8):
            for action in self.drainer.due_actions(tick * TICK_INTERVAL_S, connections, connections):
                assert isinstance(action, ReleaseConnection)
                releases.append(action)
                self.drainer.record_release("s-1", 7, len(releases) != 2)
        self.assertEqual([release.target for release in releases], ["s-2", "s-3", "s-2", "s-2", None, None])
        self.assertEqual([release.close for release in releases], [False] * 4 + [True] * 2)
        self.assertEqual(self.drainer.results, [DrainOrderResult(7, 5, 1)])

    def test_busy_connections_are_closed_only_at_the_end_of_the_grace_period(self) -> None:
        self.drainer.add_order(0.0, "s-1", order(7, {"s-2": 2}, 2))
        actions: list[TimedAction] = []
        for tick in range(100):
            now = tick * TICK_INTERVAL_S
            actions += [TimedAction(now, action) for action in self.drainer.due_actions(now, {}, {"s-1": 2})]
        self.assertEqual(self.drainer.results[0], DrainOrderResult(7, 0, 0))
        self.assertTrue(all(isinstance(timed.action, CloseAllConnections) for timed in actions))
        self.assertGreaterEqual(actions[0].at_s, GRACE_S * (1 - FORCED_CLOSE_FRACTION) - 1e-6)

    def test_an_order_can_shorten_the_grace_period_but_not_extend_it(self) -> None:
        self.drainer.add_order(4.0, "s-1", order(1, {}, 1))  # from a manager that learned of the drain late
        self.assertEqual(self.drainer.time_left_s(4.0, "s-1"), 6.0)
        self.drainer.add_order(5.0, "s-1", order(2, {}, 1, time_left_s=2.0))
        self.assertEqual(self.drainer.time_left_s(5.0, "s-1"), 2.0)

    def test_a_cancelled_drain_releases_no_more_connections(self) -> None:
        connections = Counter({"s-1": 50})
        self.drainer.add_order(0.0, "s-1", order(7, {"s-2": 20}, 20))
        self.execute_actions(connections, 0.2)
        self.drainer.orders_stopped(0.2, "s-1")
        self.assertEqual(self.execute_actions(connections, 1.0, 0.2), [])
        self.drainer.cancel("s-1")
        remaining = connections["s-1"]
        self.assertEqual(self.execute_actions(connections, 20.0, 1.0), [])
        self.assertEqual(self.drainer.state("s-1"), DrainState.NOT_DRAINING)
        self.assertEqual(connections["s-1"], remaining)

    def test_a_lost_stream_cancels_its_orders_and_the_drain_paces_itself(self) -> None:
        connections = Counter({"s-1": 50})
        self.drainer.add_order(0.0, "s-1", order(7, {"s-2": 40}, 40))
        self.execute_actions(connections, 0.2)
        self.drainer.stream_lost()
        self.assertEqual(self.drainer.state("s-1"), DrainState.SELF_PACED)
        self.assertEqual(self.drainer.results, [])
        self.execute_actions(connections, GRACE_S, 0.2)
        self.assertEqual(connections["s-1"], 0)


if __name__ == "__main__":
    unittest.main()
