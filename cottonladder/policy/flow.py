"""The min-cost flow from proxy zones to groups, the workers of a zone: costs, filling, shares of workers."""

import math

from ..model import Demand, Fleet, ZoneGroups, median_or_zero, min_cost_flow
from .capacity import CapacityEstimator
from .tables import MAX_WARM_UP_SHARE, TablePlanner

CROSS_ZONE_COST = 1.0  # of a request to another zone; in its own it costs nothing (design page)
MAX_LINK_RATIO = 2.0  # of the median link: a slower one to another zone is cut (design page)
MIN_FLOW_SHARE = 0.02  # of a zone's demand, to be laid at all
CAPACITY_SLACK = 0.05  # over the mean level that a zone is filled to
SLACK_PER_PRICE = 0.5  # more, for each unit that crossing is priced at
MIN_FREE_RATIO = 0.1  # of a worker's capacity, always left to requests beside held connections


class FlowPlanner:
    """Lays the demand on workers."""

    def __init__(self, fleet: Fleet, capacity: CapacityEstimator, tables: TablePlanner) -> None:
        self.fleet = fleet
        self.capacity = capacity
        self.tables = tables

    def plan(self, by_zone: Demand, capacities: dict[int, float], is_new_interval: bool) -> None:
        """Solves the flow, and deals each zone's shares over its tables."""
        admitted = self.capacity.overload.admission_ratio  # others shed as much
        demand = [rate * admitted for rate in by_zone.total()]
        groups = ZoneGroups(self.fleet, self._free_capacities(capacities, sum(demand)))
        utilization = sum(demand) / sum(groups.totals) if sum(groups.totals) > 0 else 0.0
        has_unit = any(worker.capacity_samples for worker in self.fleet.workers.values())
        self.capacity.overload.utilization = utilization if has_unit else 0.0
        price = SLACK_PER_PRICE * self.fleet.parameters.cross_zone_cost
        fill = utilization * (1.0 + CAPACITY_SLACK + price)
        least = self.fleet.links.least()
        flow = min_cost_flow(demand, [total * fill for total in groups.totals], self._costs(least, groups))
        for zone in self.fleet.zones:
            home = self._home(zone, groups, least[zone])
            flow[zone][home] += max(0.0, demand[zone] - sum(flow[zone]))
            self.tables.plan(zone, self._weights(flow[zone], home, sum(demand), groups), groups.warm)
        groups.keep_plan(flow, is_new_interval)
        self.capacity.own_share = by_zone.own_shares(flow)

    def _free_capacities(self, capacities: dict[int, float], demand: float) -> dict[int, float]:
        """Held connections lie where they are, and requests fill the rest.  Harms where one is overstated."""
        held = {i: self.fleet.workers[i].held_request_rate for i in capacities}
        if not sum(held.values()):
            return capacities
        unit = sum(capacities.values()) / (demand + sum(held.values()))  # capacities may have no unit
        return {i: max(MIN_FREE_RATIO * c, c - unit * held[i]) for i, c in capacities.items()}

    def _costs(self, least: list[list[float]], groups: ZoneGroups) -> list[list[float | None]]:
        """By proxy zone and worker zone; None is no link.  A zone's own stays: its workers slow it."""
        usual = median_or_zero(latency for row in least for latency in row if latency < math.inf)

        def cost(zone: int, group: int) -> float | None:
            is_slow = MAX_LINK_RATIO * usual <= least[zone][group] < math.inf
            if not groups.workers[group] or (is_slow and zone != group):
                return None
            return CROSS_ZONE_COST * (zone != group)

        return [[cost(zone, group) for group in self.fleet.zones] for zone in self.fleet.zones]

    def _home(self, zone: int, groups: ZoneGroups, latency: list[float]) -> int:
        """Where overflow goes: the zone itself, or the nearest one with warm workers."""
        candidates = [g for g in self.fleet.zones if groups.has_warm(g)] or list(self.fleet.zones)
        return min(candidates, key=lambda g: (g != zone, not groups.workers[g], latency[g]))

    def _weights(self, flow: list[float], home: int, demand: float, groups: ZoneGroups) -> dict[int, float]:
        """What a zone's tables should lay on each worker."""
        total = sum(flow)
        shares = [part / total if total > 0 else float(group == home) for group, part in enumerate(flow)]
        laid = [group for group in self.fleet.zones if shares[group] >= MIN_FLOW_SHARE]
        weights = {i: weight for group in laid for i, weight in groups.split(group, shares[group]).items()}
        if groups.warm and not any(i in groups.warm for i in weights):
            weights = groups.warm_shares()
        nominal = max(self.capacity.nominal_total * total, 1e-9)
        cap = MAX_WARM_UP_SHARE / max(1.0, self.capacity.overload.signal) * demand / nominal
        return {i: w if i in groups.warm else min(w, cap * groups.capacities[i]) for i, w in weights.items()}
