"""How many migrated connections each worker may be given in one slice.

A worker is filled to its share of all held connections by capacity, with some slack, and no faster than a
token bucket of arrivals allows.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from ..model.connection_counts import ConnectionCounts
from ..model.views import WorkerCapacityView
from .migration_orders import PLAN_INTERVAL_S, MigrationParameters

# Part over its share that a worker may be filled to; the last connections of a drain need it to find a place.
CAPACITY_SLACK_RATIO = 0.1
# Arrivals that a worker may take at once, as seconds of its arrival rate: those of one slice.
ARRIVAL_BURST_S = PLAN_INTERVAL_S
# Capacity that counts as average if no worker has any.
DEFAULT_AVERAGE_CAPACITY = 1.0  # in the unit of the capacity estimates


class ConnectionIntake:
    """The token buckets of the workers; a token is a connection that a worker may be given now."""

    def __init__(self, parameters: MigrationParameters) -> None:
        self._parameters = parameters
        self._tokens: dict[int, float] = {}
        self._refilled_at = -math.inf

    def acceptable_connections(
        self,
        now: float,
        live: Mapping[int, WorkerCapacityView],
        connections: Mapping[int, ConnectionCounts],
        incoming: Mapping[int, int],
    ) -> dict[int, int]:
        """Refills the buckets and gives the connections that each live worker may be given.

        `incoming` counts the connections that pending orders send to a worker.  Workers that may be given
        none are left out.
        """
        self._refill(now, live)
        capacity_sum = sum(view.capacity for view in live.values())
        open_sum = sum(counts.open for counts in connections.values())
        connections_per_capacity = open_sum / capacity_sum if capacity_sum > 0 else 0.0
        acceptable: dict[int, int] = {}
        for worker, view in live.items():
            fill_limit = (1.0 + CAPACITY_SLACK_RATIO) * connections_per_capacity * view.capacity
            if not view.is_warming_up:
                fill_limit += 1
            fill_limit = min(float(self._parameters.max_connections), fill_limit)
            open_count = connections[worker].open if worker in connections else 0
            spare = fill_limit - incoming.get(worker, 0) - open_count
            count = int(min(spare, self._tokens[worker]))
            if count > 0:
                acceptable[worker] = count
        return acceptable

    def take(self, destinations: Mapping[int, int]) -> None:
        """Takes the tokens of ordered connections, by worker."""
        for worker, count in destinations.items():
            self._tokens[worker] = self._tokens.get(worker, 0.0) - count

    def _refill(self, now: float, live: Mapping[int, WorkerCapacityView]) -> None:
        """Adds the tokens of the time since the last refill; a new worker starts with those of one slice."""
        elapsed = min(ARRIVAL_BURST_S, max(0.0, now - self._refilled_at))
        self._refilled_at = now
        average = _average_capacity(live)
        tokens: dict[int, float] = {}
        for worker, view in live.items():
            rate = self._parameters.arrivals_per_s * min(1.0, view.capacity / average)
            bucket_size = max(1.0, rate * ARRIVAL_BURST_S)
            present = self._tokens.get(worker, rate * PLAN_INTERVAL_S)
            tokens[worker] = min(bucket_size, present + rate * elapsed)
        self._tokens = tokens


def _average_capacity(live: Mapping[int, WorkerCapacityView]) -> float:
    """The mean capacity of the workers that are not warming up, or of all workers if all of them are."""
    capacities = [view.capacity for view in live.values() if not view.is_warming_up]
    if not capacities:
        capacities = [view.capacity for view in live.values()]
    if not capacities:
        return DEFAULT_AVERAGE_CAPACITY
    return sum(capacities) / len(capacities)
