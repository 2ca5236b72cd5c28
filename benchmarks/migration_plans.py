"""The duration of computing a migration plan, for a given size of the fleet."""

from __future__ import annotations

import random
import statistics
import time
from collections import Counter

from cottonladder.config.fields import MS_PER_S
from cottonladder.model.connection_counts import ConnectionCounts
from cottonladder.model.views import WorkerCapacityView
from cottonladder.planning import connection_migration as migration
from cottonladder.planning import migration_orders

PLAN_COUNT = 10
PLAN_SEED = 7  # fixed, so that every run measures the same fleet
PLAN_ZONES = 4


def fleet_planner(connections: int, forwarders: int, workers: int) -> migration.MigrationPlanner:
    """Returns a planner for forwarders whose connections are to workers chosen at random."""
    rng = random.Random(PLAN_SEED)
    parameters = migration_orders.MigrationParameters(PLAN_ZONES, 30.0, 8000, 50.0, 0.05, 3000.0, 10)
    planner = migration.MigrationPlanner(parameters)
    for forwarder in range(forwarders):
        planner.add_forwarder(forwarder, forwarder % PLAN_ZONES)
        counts = Counter(rng.randrange(workers) for _ in range(round(connections / forwarders)))
        counts_by_worker = {worker: ConnectionCounts(count) for worker, count in counts.items()}
        planner.update_connections(forwarder, True, counts_by_worker)
    return planner


def capacity_views(workers: int) -> dict[int, WorkerCapacityView]:
    """Returns capacity views of workers of which a tenth are draining."""
    draining_count = max(1, workers // 10)
    views = {}
    for worker in range(workers):
        zone = worker % PLAN_ZONES
        if worker < draining_count:
            views[worker] = WorkerCapacityView(zone, 0.0, False, 0.0)
        else:
            views[worker] = WorkerCapacityView(zone, 1.0, False, -1.0)
    return views


def plan_duration_ms(connections: int, forwarders: int, workers: int) -> float:
    """Returns the median duration of PLAN_COUNT plans, in ms, while a tenth of the workers drain."""
    planner = fleet_planner(connections, forwarders, workers)
    views = capacity_views(workers)
    durations_ms = []
    for number in range(PLAN_COUNT):
        started_at = time.perf_counter()
        orders = planner.plan(number * migration_orders.PLAN_INTERVAL_S, views)
        durations_ms.append((time.perf_counter() - started_at) * MS_PER_S)
        for order in orders:
            if isinstance(order, migration_orders.MigrateConnections):
                planner.complete_migration(order.forwarder, order.number)
    return statistics.median(durations_ms)
