"""Worker exclusion: when proxies must not send to a departed worker through any of their tables.

Usually a departed worker loses its line in the tables, and no exclusion is needed. While any connected proxy
cannot be given a table, because its zone has none or because slices are deployed, every proxy that may know
the worker is ordered to exclude it, and to readmit it once it is back. Exclusions are checked at each tick.
They prevent requests to a departed worker through a table that the proxy received from another manager.
"""

from ..model import ControllerState, WorkerState, orders
from .channel_budget import CRITICAL_LIMIT, ChannelBudget
from .drain_progress import DrainProgress


def send_exclusions(state: ControllerState, budget: ChannelBudget, progress: DrainProgress) -> None:
    """Orders the exclusions that are due, as far as the channel budget allows."""
    cannot_give_tables = _cannot_give_tables(state)
    for index, worker in state.workers.by_index.items():
        is_departed = worker.state == WorkerState.REMOVED
        if worker.is_excluded == is_departed or (is_departed and not cannot_give_tables):
            continue
        cost = dict.fromkeys(_proxies_that_may_know(state, index), 1)
        exclusion = orders.ExcludeWorker(index, excluded=is_departed)
        refusal = budget.reserve([exclusion], cost, CRITICAL_LIMIT)
        progress.record_exclusion(index, cost, refusal)
        if refusal is None:
            worker.is_excluded = is_departed


def _cannot_give_tables(state: ControllerState) -> bool:
    """Returns whether some connected proxy cannot be given a table."""
    zones_with_tables = {table.zone for table in state.tables.all if table.desired_weights}
    proxies = state.proxies.by_number.values()
    return bool(state.parameters.slice_count) or any(p.zone not in zones_with_tables for p in proxies)


def _proxies_that_may_know(state: ControllerState, worker_index: int) -> list[int]:
    """Returns the proxies that are not bound yet, or whose table names the worker."""
    return [
        number
        for number, proxy in state.proxies.by_number.items()
        if proxy.table is None or worker_index in proxy.table.sent_weights
    ]
