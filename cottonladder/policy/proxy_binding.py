"""The order in which proxies are bound to tables, and the table that each one is bound to.

At each tick the proxies that read no table are bound, as many as the channel budget allows: first those that
have waited longer than OVERDUE_GRACE_RATIO of the drain grace, then the busiest. Each is bound to the table
of its zone that names no departed workers and has the lowest demand. The order keeps most requests off
outdated tables of other managers, and keeps a quiet proxy from waiting indefinitely.
"""

from ..model import ControllerState, ProxyRecord, RoutingTable, orders
from .channel_budget import CRITICAL_LIMIT, URGENT_LIMIT, ChannelBudget
from .table_deltas import TableDeltas
from .worker_removal import removed_workers

ALL_CLASSES = 0  # class mask of a bind


class ProxyBinding:
    """Binder of the proxies that read no table yet."""

    def __init__(self, state: ControllerState, budget: ChannelBudget, deltas: TableDeltas) -> None:
        self._state = state
        self._budget = budget
        self._deltas = deltas

    def bind_proxies(self, overdue_before: float) -> None:
        """Binds unbound proxies: first those that connected by `overdue_before`, then the busiest."""
        unbound = {n: proxy for n, proxy in self._state.proxies.by_number.items() if proxy.table is None}
        ranks = {
            number: (proxy.connected_at > overdue_before, -proxy.initial_rate, number)
            for number, proxy in unbound.items()
        }
        for number in sorted(unbound, key=ranks.__getitem__):
            if not self._try_bind(number, unbound[number], overdue_before):
                break

    def _try_bind(self, number: int, proxy: ProxyRecord, overdue_before: float) -> bool:
        """Binds a proxy if its lines fit, and returns False only if no lines are left at all.

        Before the bind, departed workers are removed from the table, and a table without readers is updated.
        """
        limit = URGENT_LIMIT if proxy.connected_at > overdue_before else CRITICAL_LIMIT
        if self._budget.available_lines([number], limit) <= 0:
            return False
        table = self._select_table(proxy.zone)
        # Otherwise the new reader would be sent the departed workers' lines, and then their removal.
        self._deltas.send_removals(table, removed_workers(self._state, table))
        if not table.readers:
            # Without readers these orders cost no lines.
            self._budget.add_reservation(self._deltas.draft_all_changes(table), {})
        excluded = {i for i in table.sent_weights if self._state.workers.by_index[i].is_excluded}
        cost = self._budget.bind_cost(number, table, excluded)
        bind = orders.BindProxy(number, table.number, ALL_CLASSES)
        if table.sent_weights and self._budget.reserve([bind], cost, limit) is None:
            self._state.tables.bind(number, table, self._state.proxies)
        return True

    def _select_table(self, zone: int) -> RoutingTable:
        """Returns the table of the zone with no departed workers, if there is one, and the lowest demand."""
        return min(
            self._state.tables.in_zone(zone),
            key=lambda table: (
                bool(removed_workers(self._state, table)),
                table.request_rate,
                table.number,
            ),
        )
