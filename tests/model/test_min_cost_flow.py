"""The flow solver, compared with a reference that enumerates all assignments of whole units."""

from __future__ import annotations

import random
import time
import unittest
from dataclasses import dataclass
from itertools import product

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.model.min_cost_flow import min_cost_flow

TOLERANCE = 1e-6  # requests/s or cost
MAX_CPU_S = 2.0
Costs = list[list[float | None]]


@dataclass(frozen=True)
class BestAssignment:
    """The most units that can be assigned, and their lowest cost."""

    unit_count: int
    cost: float


def assignments(units: int, group_count: int) -> list[tuple[int, ...]]:
    """Returns every assignment of at most `units` units to `group_count` groups."""
    return [counts for counts in product(range(units + 1), repeat=group_count) if sum(counts) <= units]


def assignment_cost(counts: tuple[int, ...], unit_costs: list[float | None]) -> float | None:
    """Returns the cost of one zone's assignment, or None if it uses a link that does not exist."""
    cost = 0.0
    for count, unit_cost in zip(counts, unit_costs, strict=True):
        if count and unit_cost is None:
            return None
        cost += count * (unit_cost or 0.0)
    return cost


def best_assignment(demand: list[int], capacity: list[int], costs: Costs) -> BestAssignment:
    """Enumerates all assignments by zone; all values are integers, so an optimum in whole units exists."""
    reachable: dict[tuple[int, ...], float] = {tuple(capacity): 0.0}  # lowest cost by remaining capacity
    for zone, units in enumerate(demand):
        next_reachable: dict[tuple[int, ...], float] = {}
        for remaining, cost in reachable.items():
            for counts in assignments(units, len(capacity)):
                added_cost = assignment_cost(counts, costs[zone])
                left = tuple(had - used for had, used in zip(remaining, counts, strict=True))
                if added_cost is None or min(left) < 0:
                    continue
                total_cost = cost + added_cost
                next_reachable[left] = min(total_cost, next_reachable.get(left, total_cost))
        reachable = next_reachable
    least_left, lowest_cost = min((sum(left), cost) for left, cost in reachable.items())
    return BestAssignment(sum(capacity) - least_left, lowest_cost)


def random_costs(rng: random.Random, zones: range) -> Costs:
    """Returns the costs of the links, of which about a fifth do not exist."""
    return [[float(zone != group) if rng.random() < 0.8 else None for group in zones] for zone in zones]


def linked_groups(unit_costs: list[float | None]) -> set[int]:
    return {group for group, unit_cost in enumerate(unit_costs) if unit_cost is not None}


def flow_cost(flow: list[list[float]], costs: Costs) -> float:
    return sum(
        amount * (unit_cost or 0.0)
        for flow_row, cost_row in zip(flow, costs, strict=True)
        for amount, unit_cost in zip(flow_row, cost_row, strict=True)
    )


class MinCostFlowTests(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.data())
    def test_flow_is_as_good_as_the_best_assignment(self, data: st.DataObject) -> None:
        zone_count = data.draw(st.integers(1, 3))
        group_count = data.draw(st.integers(1, 3))
        unit_count = st.integers(0, 3)
        demand = data.draw(st.lists(unit_count, min_size=zone_count, max_size=zone_count))
        capacity = data.draw(st.lists(unit_count, min_size=group_count, max_size=group_count))
        unit_cost = st.sampled_from([None, 0.0, 1.0, 2.0])
        cost_row = st.lists(unit_cost, min_size=group_count, max_size=group_count)
        costs = data.draw(st.lists(cost_row, min_size=zone_count, max_size=zone_count))
        flow = min_cost_flow([float(units) for units in demand], [float(units) for units in capacity], costs)
        best = best_assignment(demand, capacity, costs)
        self.assertAlmostEqual(sum(map(sum, flow)), best.unit_count, delta=TOLERANCE)
        self.assertAlmostEqual(flow_cost(flow, costs), best.cost, delta=TOLERANCE)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.integers(1, 9), st.integers(0, 1 << 30))
    def test_flow_respects_demand_capacity_and_links(self, zone_count: int, seed: int) -> None:
        rng = random.Random(seed)
        zones = range(zone_count)
        demand = [rng.expovariate(0.01) for _ in zones]
        capacity = [rng.choice([0.0, rng.expovariate(0.01)]) for _ in zones]
        costs = random_costs(rng, zones)
        flow = min_cost_flow(demand, capacity, costs)
        group_totals = [sum(row[group] for row in flow) for group in zones]
        full_groups = {group for group in zones if group_totals[group] >= capacity[group] - TOLERANCE}
        for group in zones:
            self.assertLessEqual(group_totals[group], capacity[group] + TOLERANCE)
        for zone in zones:
            self.assert_row_is_valid(flow[zone], demand[zone], costs[zone])
            if sum(flow[zone]) < demand[zone] - TOLERANCE:  # all linked groups must be full
                self.assertLessEqual(linked_groups(costs[zone]), full_groups)

    def assert_row_is_valid(self, row: list[float], demand: float, unit_costs: list[float | None]) -> None:
        """Asserts that a zone's flow is within its demand, not negative, and 0 where there is no link."""
        self.assertLessEqual(sum(row), demand + TOLERANCE)
        linked = linked_groups(unit_costs)
        for group, amount in enumerate(row):
            self.assertGreaterEqual(amount, -TOLERANCE)
            if group not in linked:
                self.assertLessEqual(amount, TOLERANCE)

    def test_stops_when_no_path_is_left(self) -> None:
        """24 zones took 32 s of CPU when the solver continued its rounds after the last path."""
        zones = range(24)
        demand = [100.0 + 13.0 * zone for zone in zones]
        capacity = [380.0 - 11.0 * group for group in zones]
        costs: Costs = [[float(zone != group) for group in zones] for zone in zones]
        started_at = time.process_time()
        flow = min_cost_flow(demand, capacity, costs)
        self.assertLess(time.process_time() - started_at, MAX_CPU_S)
        self.assertAlmostEqual(sum(map(sum, flow)), min(sum(demand), sum(capacity)), delta=TOLERANCE)


if __name__ == "__main__":
    unittest.main()
