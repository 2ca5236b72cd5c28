"""The flow solver beside an independent reference: every way of laying whole units, tried one by one."""

from __future__ import annotations

import random
import time
import unittest
from itertools import product

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.model.min_cost_flow import min_cost_flow

SLACK = 1e-6
Costs = list[list[float | None]]


def ways(units: int, among: int) -> list[tuple[int, ...]]:
    """Every way of giving at most so many units to so many groups."""
    return [w for w in product(range(units + 1), repeat=among) if sum(w) <= units]


def best(demand: list[int], caps: list[int], cost: Costs) -> tuple[int, float]:
    """The most that can be laid, and its least cost; whole units lose nothing, as all figures are whole."""
    reach: dict[tuple[int, ...], float] = {tuple(caps): 0.0}
    for z, units in enumerate(demand):
        after: dict[tuple[int, ...], float] = {}
        for left, paid in reach.items():
            for way in ways(units, len(caps)):
                rest = tuple(c - w for c, w in zip(left, way, strict=True))
                if min(rest) < 0 or any(w and cost[z][g] is None for g, w in enumerate(way)):
                    continue
                price = paid + sum(w * (cost[z][g] or 0.0) for g, w in enumerate(way))
                after[rest] = min(price, after.get(rest, price))
        reach = after
    return min((sum(left) - sum(caps), paid) for left, paid in reach.items())


class Flow(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.data())
    def test_against_every_way(self, data: st.DataObject) -> None:
        zones, groups = data.draw(st.integers(1, 3)), data.draw(st.integers(1, 3))
        few = st.integers(0, 3)
        demand = data.draw(st.lists(few, min_size=zones, max_size=zones))
        caps = data.draw(st.lists(few, min_size=groups, max_size=groups))
        each = st.sampled_from([None, 0.0, 1.0, 2.0])
        row = st.lists(each, min_size=groups, max_size=groups)
        cost = data.draw(st.lists(row, min_size=zones, max_size=zones))
        flow = min_cost_flow([float(d) for d in demand], [float(c) for c in caps], cost)
        laid, paid = best(demand, caps, cost)
        self.assertAlmostEqual(sum(map(sum, flow)), -laid, delta=SLACK)
        spent = sum(f * (cost[z][g] or 0.0) for z, row in enumerate(flow) for g, f in enumerate(row))
        self.assertAlmostEqual(spent, paid, delta=SLACK)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.integers(1, 9), st.integers(0, 1 << 30))
    def test_keeps_what_holds_for_any_flow(self, zones: int, seed: int) -> None:
        rnd = random.Random(seed)
        demand = [rnd.expovariate(0.01) for _ in range(zones)]
        caps = [rnd.choice([0.0, rnd.expovariate(0.01)]) for _ in range(zones)]
        cost: Costs = [
            [float(z != g) if rnd.random() < 0.8 else None for g in range(zones)] for z in range(zones)
        ]
        flow = min_cost_flow(demand, caps, cost)
        for z, row in enumerate(flow):
            self.assertLessEqual(sum(row), demand[z] + SLACK)
            self.assertTrue(all(f >= -SLACK for f in row))
            self.assertTrue(all(f <= SLACK for g, f in enumerate(row) if cost[z][g] is None))
            if sum(row) < demand[z] - SLACK:  # what is left over finds no room in any group it may use
                full = [g for g in range(zones) if cost[z][g] is not None]
                self.assertTrue(all(sum(r[g] for r in flow) >= caps[g] - SLACK for g in full))
        for g in range(zones):
            self.assertLessEqual(sum(row[g] for row in flow), caps[g] + SLACK)

    def test_stops_when_no_path_is_left(self) -> None:
        """24 zones took 32 s of CPU while every round after the last path was gone through to its end."""
        zones, begun = 24, time.process_time()
        demand = [100.0 + 13.0 * z for z in range(zones)]
        caps = [380.0 - 11.0 * z for z in range(zones)]
        cost: Costs = [[float(z != g) for g in range(zones)] for z in range(zones)]
        flow = min_cost_flow(demand, caps, cost)
        self.assertLess(time.process_time() - begun, 2.0)
        self.assertAlmostEqual(sum(map(sum, flow)), min(sum(demand), sum(caps)), delta=SLACK)


if __name__ == "__main__":
    unittest.main()
