"""Removal of departed workers from the tables, and deletion of their records.

A worker departs when the endpoint list has it as not ready or leaves it out. At each tick the tables that
still name it lose its line. Once per solve interval its record is deleted if it departed long enough ago, no
table names it, it has no held connections, and every connected proxy reads a table of this manager. The last
condition protects against a proxy that still sends to the worker through a table of another manager.
"""

import math

from ..model import ControllerState, RoutingTable, WorkerState, orders

REMOVED_TTL_S = 20.0


def removed_workers(state: ControllerState, table: RoutingTable) -> list[int]:
    """Returns the departed workers that a table, as sent, still names."""
    workers = state.workers.by_index
    removed = WorkerState.REMOVED
    return [index for index in table.sent_weights if workers[index].state is removed]


def first_departed(state: ControllerState, table: RoutingTable) -> int | None:
    """Returns the worker that departed first of those that a table still names and that are not excluded."""
    workers = state.workers.by_index
    named = [index for index in removed_workers(state, table) if not workers[index].is_excluded]
    return min(named, key=lambda index: workers[index].departed_at, default=None)


def first_departure_time(state: ControllerState, table: RoutingTable) -> float:
    """Returns when the worker of `first_departed` departed; infinite if there is none."""
    worker_index = first_departed(state, table)
    return math.inf if worker_index is None else state.workers.by_index[worker_index].departed_at


def due_removals(state: ControllerState, table: RoutingTable, overdue_before: float) -> list[int]:
    """Returns all departed workers that a table still names, if the first departed by `overdue_before`."""
    removed = removed_workers(state, table)
    workers = state.workers.by_index
    if removed and min([workers[index].departed_at for index in removed]) > overdue_before:
        return []
    return removed


def forget_departed_workers(state: ControllerState) -> None:
    """Deletes the records of departed workers to which no proxy can send any more."""
    if state.tables.reader_count() != len(state.proxies.by_number):
        return
    named = {index for table in state.tables.all for index in table.sent_weights}
    for index, worker in state.workers.in_state(WorkerState.REMOVED).items():
        is_old = state.now - worker.departed_at > REMOVED_TTL_S
        if is_old and index not in named and not worker.connection_load:
            del state.workers.by_index[index]
            # No table names the worker, so this costs no lines and needs no budget.
            state.pending_orders.add(orders.ExcludeWorker(index, excluded=False))
            state.pending_orders.add(orders.RemoveWorker(index))
