"""Tables: a zone's workers dealt over them, and the deltas that bring what was sent to what is wanted."""

import math
from collections.abc import Collection

from ..model import IN_SERVICE, Fleet, RoutingTable, WorkerState, arcs, cut, orders
from .channel_budget import BIND_LIMIT, DELTA_LIMIT, RULE_LIMIT, ChannelBudget

MIN_WEIGHT_CHANGE = 0.1  # part of a weight or share: smaller changes aren't sent (design page)
BIND_TIME_RATIO = 0.5  # of the drains' grace, within which all proxies could be bound
MIN_TABLE_LINES = 8  # a table is not cut shorter
GOLDEN_RATIO = 0.618034  # of a turn from one worker to the next: neighbours on the ring differ
ACK_TIMEOUT = 3.0  # s; then a table's next delta goes without answers (design page)
MAX_WARM_UP_SHARE = 1.2  # times its part that a warming-up or ejected worker may be sent
RETRY = orders.RetryPolicy.IF_NOT_STARTED  # the first attempt may go on running: nothing else was any gain


class TablePlanner:
    """Deals a zone's workers over its tables, and writes deltas."""

    def __init__(self, fleet: Fleet, budget: ChannelBudget) -> None:
        self.fleet = fleet
        self.budget = budget
        self.class_admission: dict[int, tuple[float, float]] = {}  # share, and as proxies take it

    def plan(self, zone: int, weights: dict[int, float], warm: Collection[int]) -> None:
        """Several tables, where binding all proxies to whole ones would outlast the drains' grace.

        Workers lie on a ring by weight; a table is cut out of it from where its readers' requests begin to
        where the next one's end, or nearer: together they lay all.  Harms where a table's few fail together.
        """
        max_lines = self._max_lines()
        in_zone = sum(self.fleet.workers[i].zone == zone for i in weights)
        tables = self._partition(zone, in_zone or len(weights), max_lines)
        rates = self.fleet.update_rates(tables)
        mean = max(1e-9, sum(rates)) / len(tables)
        loads = [max(rate, mean / 2) for rate in rates]  # half: for who is yet to be bound
        overlap = min(1.0, max(0.0, max_lines * len(tables) / max(1, len(weights)) - 1.0))
        ring = dict(sorted(weights.items(), key=lambda line: line[0] * GOLDEN_RATIO % 1.0))
        for table, (start, end) in zip(tables, arcs(loads, overlap), strict=True):
            table.wanted = cut(ring, start, end, MIN_WEIGHT_CHANGE) if len(tables) > 2 else weights
            if warm and not any(i in warm for i in table.wanted):
                table.wanted = cut({i: ring[i] for i in ring if i in warm}, start, end, MIN_WEIGHT_CHANGE)

    def _max_lines(self) -> int:
        parameters = self.fleet.parameters
        bind_s = BIND_TIME_RATIO * parameters.drain_grace_s
        lines_each = bind_s * parameters.channel_lines_per_s / max(1, parameters.proxy_count)
        return max(MIN_TABLE_LINES, int(lines_each) - parameters.message_header_lines - 2)

    def _partition(self, zone: int, lines: int, max_lines: int) -> list[RoutingTable]:
        """Dealt anew only if there are far too few, or nobody is bound."""
        count = 1 if lines <= max_lines else math.ceil(2 * lines / max_lines)
        tables = [table for table in self.fleet.tables if table.zone == zone]
        is_read = any(table.readers for table in tables)
        if count > 2 * len(tables) or (count != len(tables) and not is_read):
            return self.fleet.replace_tables(zone, count)
        return tables

    def overweight(self) -> set[int]:
        """Warming-up or ejected workers that all tables together bring more than they should."""
        known = self.fleet.in_state(WorkerState.EJECTED, *IN_SERVICE).items()
        guarded = {i for i, w in known if w.state == WorkerState.EJECTED or self.fleet.is_warming_up(w)}
        sent, wanted = self.fleet.weigh_lines(guarded)
        return {index for index in guarded if sent[index] > MAX_WARM_UP_SHARE * wanted[index]}

    def send_delta(self, table: RoutingTable, urgent: list[int], is_for_removed: bool) -> None:
        """In pieces, largest changes first.  Urgent workers and bare tables wait for no answers."""
        if self.fleet.now - table.written_at > ACK_TIMEOUT:
            table.awaits_acknowledgement = False
        urgent = [i for i in urgent if not self.fleet.workers[i].is_excluded]
        warm = {i for i in table.wanted if not self.fleet.is_warming_up(self.fleet.workers[i])}
        lasting = warm or table.wanted.keys()
        stays = any(i in lasting and i not in urgent for i in table.sent)  # else new lines come before old go
        must_wait = is_for_removed or (table.awaits_acknowledgement and stays)
        if not table.readers or not table.wanted or (not urgent and must_wait):
            return
        limit = BIND_LIMIT if urgent else DELTA_LIMIT
        if is_for_removed or not stays:
            limit = RULE_LIMIT
        max_orders = max(0, self.budget.available_lines(table.readers, limit) // len(table.readers))
        if urgent and stays:  # what is left takes the part of what goes: its changes come along
            with_rest = self.budget.available_lines(table.readers, DELTA_LIMIT) // len(table.readers)
            max_orders = min(max_orders, max(len(urgent), with_rest))
        before = table.copy_sent()
        changes = self.changes(table, MIN_WEIGHT_CHANGE, max_orders, urgent if stays else [])
        if not self.budget.reserve(changes, self.budget.delta_cost(changes, table.readers), limit):
            table.restore_sent(before)

    def changes(
        self, table: RoutingTable, threshold: float, most: int, first: list[int]
    ) -> list[orders.Order]:
        """At most so many orders that turn what was sent into what is wanted, which then count as sent."""
        changes = table.take_admission(self.class_admission, threshold, RETRY)
        moves = table.weight_changes(threshold)
        is_bare = not any(i in table.wanted for i in table.sent)

        def rank(index: int) -> tuple[bool, bool, float]:
            size = -abs(moves[index]) * (not self.fleet.workers[index].is_excluded)
            return index not in first, is_bare and moves[index] < 0, size

        ranked = sorted(moves, key=rank)[: max(0, most - len(changes))]
        return changes + [table.take_weight(index) for index in ranked]
