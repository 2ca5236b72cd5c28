"""How a worker that departed leaves the tables, and when it is forgotten.

A worker departs when the endpoint list calls it not ready or leaves it out. At each tick the tables that
still name it lose its line; at each interval its record is forgotten once it departed long enough ago, no
table names it, it holds no connections, and every connected proxy reads a table of this manager. The last
condition protects against a proxy that still sends to the worker by a table of another manager.
"""

import math

from ..model import ControllerState, RoutingTable, WorkerState, orders

REMOVED_TTL_S = 20.0


def removed_workers(state: ControllerState, table: RoutingTable) -> list[int]:
    """Returns the departed workers that a table still names, as sent."""
    workers = state.workers.by_index
    removed = WorkerState.REMOVED
    return [index for index in table.sent_weights if workers[index].state is removed]


def first_departure(state: ControllerState, table: RoutingTable) -> float:
    """Returns when the first departed worker that a table still names left; infinite if there is none."""
    workers = state.workers.by_index
    return min([workers[index].departed_at for index in removed_workers(state, table)], default=math.inf)


def due_removals(state: ControllerState, table: RoutingTable, overdue_before: float) -> list[int]:
    """Returns all departed workers that a table still names, if the first left by `overdue_before`."""
    removed = removed_workers(state, table)
    workers = state.workers.by_index
    if removed and min([workers[index].departed_at for index in removed]) > overdue_before:
        return []
    return removed


def forget_departed(state: ControllerState) -> None:
    """Forgets departed workers that nobody can reach any more."""
    if state.tables.reader_count() != len(state.proxies.by_number):
        return
    named = {index for table in state.tables.all for index in table.sent_weights}
    for index, worker in state.workers.in_state(WorkerState.REMOVED).items():
        is_old = state.now - worker.departed_at > REMOVED_TTL_S
        if is_old and index not in named and not worker.connection_load:
            del state.workers.by_index[index]
            # No table names the worker, so this costs no lines and needs no budget.
            state.pending_orders.add(orders.ExcludeWorker(index, False))
            state.pending_orders.add(orders.RemoveWorker(index))
