"""The min-cost flow from proxy zones to groups of workers, and the workers' weights that follow from it.

A group is the workers of one zone. At each solution the demand of the zones and the capacities of the groups
give the flow, in which a request to another zone costs more than one within the zone. A zone's share of each
worker follows from the flow. Groups are filled to slightly more than the fleet's mean utilization and not to
their full capacity, which protects against capacities that are estimated too high. Slow links to other zones
are not used. Demand that the flow cannot assign goes to the own group if it has warm workers, or else to the
nearest group that has.
"""

import math
from dataclasses import dataclass

from ..model import ControllerState, Demand, LinkLatencies, ZoneGroups, median_or_zero, min_cost_flow
from .capacity import CapacityEstimator
from .load_concentration import LoadConcentrationLimit
from .load_shedding import LoadShedding
from .overload_signal import OverloadSignal
from .table_partition import TablePartition
from .warm_up import is_warming_up, weight_limit

LINK_INTERVALS = 3  # solve intervals over which the lowest latency of a link is kept
CROSS_ZONE_COST = 1.0  # cost of a request to another zone; one within the zone costs 0
MAX_LINK_LATENCY_RATIO = 2.0  # multiple of the median link's; slower links to other zones are not used
MIN_FLOW_SHARE = 0.02  # fraction of a zone's demand; smaller flows are left out of its tables
CAPACITY_SLACK = 0.05  # groups are filled up to the mean utilization times 1 plus the slack
SLACK_PER_CROSS_ZONE_COST = 0.5  # added to the slack for each unit of the deployment's cross-zone cost
# Lowest fraction of a worker's capacity that held connections leave to requests.
MIN_FREE_CAPACITY_RATIO = 0.1
PROVEN_RATE_KEEP_RATIO = 0.99  # kept at each solution of the requests/s that a unit of capacity served before
MIN_NOMINAL_CAPACITY = 1e-9  # lowest `scaled_capacity`, which is a divisor


@dataclass(frozen=True, slots=True)
class FlowPlan:
    """The results of a solved flow that other modules of the policy use."""

    utilization: float  # admitted demand over capacity; 0 where capacities are relative
    own_attempt_shares: list[float]  # by worker zone: this manager's share of the attempts


class FlowPlanner:
    """Planner that solves the flow, and updates the desired weights of each zone's tables."""

    def __init__(
        self,
        state: ControllerState,
        capacity: CapacityEstimator,
        overload: OverloadSignal,
        shedding: LoadShedding,
        tables: TablePartition,
    ) -> None:
        self.link_latencies = LinkLatencies(state.parameters.zone_count, LINK_INTERVALS)
        self._state = state
        self._capacity = capacity
        self._overload = overload
        self._shedding = shedding
        self._tables = tables
        self._concentration = LoadConcentrationLimit(state, overload)
        self._proven_rate = 0.0  # requests/s for each unit of capacity

    def plan_flow(self, demand: Demand, capacities: dict[int, float], is_new_interval: bool) -> FlowPlan:
        """Solves the flow, and updates the desired weights of tables and the planned rates of workers."""
        state = self._state
        # Other managers see the same overload, so their demand is assumed to be shed by the same ratio.
        admitted = [rate * self._shedding.admission_ratio for rate in demand.total()]
        fleet_demand = sum(admitted)
        groups = self._group_workers(capacities, fleet_demand)
        utilization = fleet_demand / sum(groups.zone_capacities) if sum(groups.zone_capacities) > 0 else 0.0
        slack = SLACK_PER_CROSS_ZONE_COST * state.parameters.cross_zone_cost
        fill_ratio = utilization * (1.0 + CAPACITY_SLACK + slack)
        latencies = self.link_latencies.min_latencies()
        limits = [total * fill_ratio for total in groups.zone_capacities]
        flow = min_cost_flow(admitted, limits, self._link_costs(latencies, groups))
        for zone in state.zones:
            overflow_group = self._overflow_group(zone, groups, latencies[zone])
            flow[zone][overflow_group] += max(0.0, admitted[zone] - sum(flow[zone]))
            weights = self._zone_weights(flow[zone], overflow_group, fleet_demand, groups)
            self._tables.update_desired_weights(zone, weights, groups.warm_capacities)
        own_shares = demand.own_flow_shares(flow)
        self._limit_concentration(fleet_demand, groups, own_shares)
        groups.record_plan(flow, is_new_interval)
        has_measured_capacity = any(worker.capacity_samples for worker in state.workers.by_index.values())
        return FlowPlan(utilization if has_measured_capacity else 0.0, own_shares)

    def _limit_concentration(self, fleet_demand: float, groups: ZoneGroups, own_shares: list[float]) -> None:
        """Limits what the tables give to warming-up workers.

        The requests/s for each unit of capacity are those that the fleet serves now, or that it served before
        if these were more.  They count for all usable workers, or, under overload, for as much more than the
        given capacity as the overload signal shows.
        """
        overloaded_capacity = self._overload.value * sum(groups.capacities.values())
        capacity = max(MIN_NOMINAL_CAPACITY, self._capacity.nominal_total, overloaded_capacity)
        self._proven_rate = max(fleet_demand / capacity, PROVEN_RATE_KEEP_RATIO * self._proven_rate)
        workers = self._state.workers.by_index
        collapse_rates = {
            index: collapse_capacity * self._proven_rate * own_shares[workers[index].zone]
            for index, collapse_capacity in self._capacity.collapse_capacities.items()
        }
        self._concentration.limit_tables(collapse_rates, self._shedding.admission_ratio)

    def _group_workers(self, capacities: dict[int, float], fleet_demand: float) -> ZoneGroups:
        workers = self._state.workers.by_index
        warming_up = {index for index in capacities if is_warming_up(self._state, workers[index])}
        free = self._free_capacities(capacities, fleet_demand)
        return ZoneGroups(workers, self._state.zones, free, warming_up)

    def _free_capacities(self, capacities: dict[int, float], fleet_demand: float) -> dict[int, float]:
        """Returns the workers' capacities less the load of their held connections."""
        workers = self._state.workers.by_index
        connection_loads = {index: workers[index].connection_load for index in capacities}
        if not sum(connection_loads.values()):
            return capacities
        # The connections' requests/s are converted to the unit of the capacities, which may be relative, as
        # if all requests and connections together used exactly the fleet's capacity.
        capacity_per_rate = sum(capacities.values()) / (fleet_demand + sum(connection_loads.values()))
        return {
            index: max(
                MIN_FREE_CAPACITY_RATIO * capacity, capacity - capacity_per_rate * connection_loads[index]
            )
            for index, capacity in capacities.items()
        }

    def _link_costs(self, latencies: list[list[float]], groups: ZoneGroups) -> list[list[float | None]]:
        """Returns costs by proxy zone and group; None means that a link is too slow or leads to no worker."""
        median_s = median_or_zero(latency for row in latencies for latency in row if latency < math.inf)
        max_latency_s = MAX_LINK_LATENCY_RATIO * median_s
        zones = self._state.zones
        return [
            [self._link_cost(zone, group, groups, latencies[zone][group], max_latency_s) for group in zones]
            for zone in zones
        ]

    def _link_cost(
        self, zone: int, group: int, groups: ZoneGroups, latency_s: float, max_latency_s: float
    ) -> float | None:
        """Returns the cost of one link, or None if it is not used.

        A slow link within a zone is used: its workers, not the network, make it slow.
        """
        is_slow = max_latency_s <= latency_s < math.inf
        if not groups.workers[group] or (is_slow and zone != group):
            return None
        return CROSS_ZONE_COST * (zone != group)

    def _overflow_group(self, zone: int, groups: ZoneGroups, latencies: list[float]) -> int:
        """Returns the group for the demand that the flow could not assign.

        Candidates are the groups with warm workers, or all groups if there are none.  The own group is
        preferred, then the one with the lowest latency.
        """
        candidates = [group for group in self._state.zones if groups.has_warm_worker(group)]
        return min(candidates or self._state.zones, key=lambda group: (group != zone, latencies[group]))

    def _zone_weights(
        self, flow: list[float], overflow_group: int, fleet_demand: float, groups: ZoneGroups
    ) -> dict[int, float]:
        """Returns the weights of workers that a zone's tables together should have.

        Each group's share of the zone's flow is divided among its workers by capacity, and small shares are
        left out.  If no warm worker would get a weight, the weights are the shares of all warm workers by
        capacity.  The weights of warming-up workers are limited.
        """
        zone_flow = sum(flow)
        if zone_flow > 0:
            shares = [group_flow / zone_flow for group_flow in flow]
        else:
            shares = [float(group == overflow_group) for group in range(len(flow))]
        weights: dict[int, float] = {}
        for group, share in enumerate(shares):
            if share >= MIN_FLOW_SHARE:
                weights |= groups.split_by_capacity(group, share)
        if groups.warm_capacities and not any(index in groups.warm_capacities for index in weights):
            weights = groups.warm_capacity_shares()
        scaled_capacity = max(self._capacity.nominal_total * zone_flow, MIN_NOMINAL_CAPACITY)
        limit = weight_limit(self._overload, fleet_demand, scaled_capacity)
        return {
            index: weight
            if index in groups.warm_capacities
            else min(weight, limit * groups.capacities[index])
            for index, weight in weights.items()
        }
