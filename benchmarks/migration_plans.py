"""The duration of a migration plan, by the size of the fleet."""

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
PLAN_SEED = 7  # without unit
PLAN_ZONES = 4


def planner_of_fleet(connections: int, forwarders: int, workers: int) -> migration.MigrationPlanner:
    """A planner that knows forwarders with connections to workers drawn at random."""
    chance = random.Random(PLAN_SEED)
    parameters = migration_orders.MigrationParameters(PLAN_ZONES, 30.0, 8000, 50.0, 0.05, 3000.0, 10)
    planner = migration.MigrationPlanner(parameters)
    for forwarder in range(forwarders):
        planner.add_forwarder(forwarder, forwarder % PLAN_ZONES)
        counts = Counter(chance.randrange(workers) for _ in range(round(connections / forwarders)))
        counts_by_worker = {worker: ConnectionCounts(count) for worker, count in counts.items()}
        planner.update_connections(forwarder, True, counts_by_worker)
    return planner


def capacity_views(workers: int) -> dict[int, WorkerCapacityView]:
    """Views of workers of which a tenth drain."""
    leaving = max(1, workers // 10)
    views = {}
    for worker in range(workers):
        zone = worker % PLAN_ZONES
        if worker < leaving:
            views[worker] = WorkerCapacityView(zone, 0.0, False, 0.0)
        else:
            views[worker] = WorkerCapacityView(zone, 1.0, False, -1.0)
    return views


def plan_duration_ms(connections: int, forwarders: int, workers: int) -> float:
    """The median duration of ten plans, while a tenth of the workers drain."""
    planner = planner_of_fleet(connections, forwarders, workers)
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
