"""How a zone's workers are divided among its tables.

A zone has one table with all its workers where that is short enough, and otherwise several tables, which
from three on have only a part of the workers each. The number follows from the deployment's channel and
drain grace, so that all proxies can be bound in time; the parts follow from the demand of each table's
readers, at each solution. Short tables protect against a channel that is filled for seconds by binding
proxies, while departed workers wait to be taken out.
"""

import math
from collections.abc import Collection

from ..model import ControllerState, RoutingTable, overlapping_arcs, weights_in_arc

BIND_TIME_RATIO = 0.5  # of the drain grace, within which all proxies could be bound
MIN_TABLE_LINES = 8  # a table is not made shorter
BIND_LINES = 2  # for the bind and the checkpoint, beside the table and the message header
GOLDEN_RATIO = 0.618034  # of a turn between consecutive workers, which spreads them over the ring
UNBOUND_RATE_RATIO = 0.5  # of the mean table's demand, which each table is taken to have at least
MIN_PARTITIONED_TABLES = 3  # fewer tables all have the whole zone's weights
MIN_MEAN_RATE = 1e-9  # requests/s
MIN_ARC_PART = 0.1  # of a worker's weight; a smaller part on a table's arc is left out
TABLES_PER_WORKER = 2  # of a partitioned zone: about so many tables name each worker
MAX_TABLE_GROWTH = 2  # times the present number of tables, up to which tables with readers are kept


class TablePartition:
    """Updates which weights the tables should have."""

    def __init__(self, state: ControllerState) -> None:
        self._state = state

    def update_desired_weights(self, zone: int, weights: dict[int, float], warm: Collection[int]) -> None:
        """Divides a zone's weights among its tables.

        Fewer than MIN_PARTITIONED_TABLES tables all get all weights.  Otherwise each worker takes a part of a
        ring as long as its weight, and each table gets an arc that begins where its readers' part of the
        demand begins and ends no earlier than that part, so that the tables together have all weights.  No
        table has only workers that warm up, if there are `warm` ones.
        """
        max_lines = self._max_lines()
        line_count = self._line_count(zone, weights)
        tables = self._partitioned(zone, line_count, max_lines)
        overlap = min(1.0, max(0.0, max_lines * len(tables) / max(1, len(weights)) - 1.0))
        ring = dict(sorted(weights.items(), key=lambda line: line[0] * GOLDEN_RATIO % 1.0))
        for table, (start, end) in zip(tables, overlapping_arcs(self._loads(tables), overlap), strict=True):
            table.desired_weights = weights
            if len(tables) >= MIN_PARTITIONED_TABLES:
                table.desired_weights = weights_in_arc(ring, start, end, MIN_ARC_PART)
            if warm and not any(index in warm for index in table.desired_weights):
                warm_ring = {index: weight for index, weight in ring.items() if index in warm}
                table.desired_weights = weights_in_arc(warm_ring, start, end, MIN_ARC_PART)

    def _max_lines(self) -> int:
        """Returns how long a table may be, so that binding all proxies takes part of the drain grace."""
        parameters = self._state.parameters
        bind_s = BIND_TIME_RATIO * parameters.drain_grace_s
        lines_each = bind_s * parameters.channel_lines_per_s / max(1, parameters.proxy_count)
        return max(MIN_TABLE_LINES, int(lines_each) - parameters.message_header_lines - BIND_LINES)

    def _line_count(self, zone: int, weights: dict[int, float]) -> int:
        """Returns how many of these workers run in the zone, or the number of all of them if none does."""
        workers = self._state.workers.by_index
        return sum(workers[index].zone == zone for index in weights) or len(weights)

    def _partitioned(self, zone: int, line_count: int, max_lines: int) -> list[RoutingTable]:
        """Returns the zone's tables, replaced if far too few, or if unread and not of the right number."""
        count = 1 if line_count <= max_lines else math.ceil(TABLES_PER_WORKER * line_count / max_lines)
        tables = self._state.tables.in_zone(zone)
        is_read = any(table.readers for table in tables)
        is_far_too_few = count > MAX_TABLE_GROWTH * len(tables)
        if is_far_too_few or (count != len(tables) and not is_read):
            return self._state.tables.replace(zone, count, self._state.proxies)
        return tables

    def _loads(self, tables: list[RoutingTable]) -> list[float]:
        """Updates the demand of the tables' readers, and returns it with a reserve for unbound proxies."""
        for table in tables:
            table.request_rate = self._state.proxies.request_rate(table.readers)
        rates = [table.request_rate for table in tables]
        mean = max(MIN_MEAN_RATE, sum(rates)) / len(tables)
        return [max(rate, mean * UNBOUND_RATE_RATIO) for rate in rates]
