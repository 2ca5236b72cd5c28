"""Limits on the migrated connections that each worker receives in one slice.

A worker may hold connections in proportion to its capacity, with some slack and up to a configured maximum,
and receives them no faster than a token bucket allows.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from ..model.connection_counts import ConnectionCounts
from ..model.views import WorkerCapacityView
from .migration_orders import PLAN_INTERVAL_S, MigrationParameters

# Fraction by which a worker may exceed its share of all held connections; without it, the last connections
# of a drain would find no worker with spare capacity.
CAPACITY_SLACK_RATIO = 0.1
# Size of a token bucket, as the time in which it refills at the worker's arrival rate: one slice.
ARRIVAL_BURST_S = PLAN_INTERVAL_S
# Average capacity, in the unit of the capacity estimates, that is assumed if there are no live workers.
DEFAULT_AVERAGE_CAPACITY = 1.0


class MigrationCapacity:
    """The number of connections that each worker may receive, limited by its spare capacity and its tokens.

    Each worker has a token bucket, and receives one connection per token.
    """

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
        """Refills the buckets and returns how many connections each live worker may receive.

        `incoming` counts the connections that pending orders move to a worker.  Workers that may receive no
        connections are left out of the result.
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
            fill_limit = min(float(self._parameters.max_connections_per_worker), fill_limit)
            open_count = connections[worker].open if worker in connections else 0
            spare = fill_limit - incoming.get(worker, 0) - open_count
            count = int(min(spare, self._tokens[worker]))
            if count > 0:
                acceptable[worker] = count
        return acceptable

    def consume_tokens(self, destinations: Mapping[int, int]) -> None:
        """Removes one token per ordered connection; `destinations` counts connections by worker index."""
        for worker, count in destinations.items():
            self._tokens[worker] = self._tokens.get(worker, 0.0) - count

    def _refill(self, now: float, live: Mapping[int, WorkerCapacityView]) -> None:
        """Adds the tokens for the time since the last refill; a new worker gets the tokens of one slice.

        A worker of at least average capacity gets `arrivals_per_s` tokens per second, a smaller one
        proportionally fewer.
        """
        elapsed = min(ARRIVAL_BURST_S, max(0.0, now - self._refilled_at))
        self._refilled_at = now
        average = _average_capacity(live)
        tokens: dict[int, float] = {}
        for worker, view in live.items():
            rate = self._parameters.arrivals_per_s * min(1.0, view.capacity / average)
            bucket_size = max(1.0, rate * ARRIVAL_BURST_S)
            available = self._tokens.get(worker, rate * PLAN_INTERVAL_S)
            tokens[worker] = min(bucket_size, available + rate * elapsed)
        self._tokens = tokens


def _average_capacity(live: Mapping[int, WorkerCapacityView]) -> float:
    """Returns the mean capacity of the workers that are not warming up, or of all if there are none."""
    capacities = [view.capacity for view in live.values() if not view.is_warming_up]
    if not capacities:
        capacities = [view.capacity for view in live.values()]
    if not capacities:
        return DEFAULT_AVERAGE_CAPACITY
    return sum(capacities) / len(capacities)
