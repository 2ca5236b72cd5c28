"""The division of a zone's workers among its tables.

A zone has one table with all its workers if that is short enough, and otherwise several tables, which from
three on contain only some of the workers each. The number of tables follows from the deployment's channel
rate and drain grace, so that all proxies can be bound in time. The division follows the demand of each
table's readers, and is updated at each solution. Short tables keep the binding of proxies from filling the
channel for seconds, while departed workers wait to be removed.
"""

import math
from collections.abc import Collection

from ..model import ControllerState, RoutingTable, overlapping_arcs, weights_in_arc

BIND_TIME_RATIO = 0.5  # fraction of the drain grace within which all proxies can be bound
MIN_TABLE_LINES = 8  # the limit on a table's length is never lower
BIND_OVERHEAD_LINES = 2  # bind and checkpoint lines, in addition to the table and the message header
GOLDEN_RATIO = 0.618034  # fraction of the ring between consecutive worker indices, which spreads them evenly
UNBOUND_RATE_RATIO = 0.5  # lowest demand that a table is assumed to have, as a fraction of the mean table's
MIN_PARTITIONED_TABLES = 3  # fewer tables contain all of the zone's workers each
MIN_MEAN_RATE = 1e-9  # requests/s; lowest total demand of a zone's tables, which is a divisor
MIN_ARC_WEIGHT_RATIO = 0.1  # a smaller fraction of a worker's weight on a table's arc is left out
TABLES_PER_WORKER = 2  # average number of tables with the same worker, in a partitioned zone
# A zone that needs over this multiple of its tables gets new ones, even if they have readers.
MAX_TABLE_GROWTH = 2


class TablePartition:
    """The division of each zone's weights among its tables, which sets their desired weights."""

    def __init__(self, state: ControllerState) -> None:
        self._state = state

    def update_desired_weights(self, zone: int, weights: dict[int, float], warm: Collection[int]) -> None:
        """Divides a zone's weights among its tables.

        Fewer than MIN_PARTITIONED_TABLES tables all get all weights.  Otherwise each worker occupies a
        segment of a ring in proportion to its weight, and each table gets an arc.  The arc begins where its
        readers' segment of the demand begins and ends no earlier than that segment, so that the tables
        together have all weights.  No table has only warming-up workers if there are `warm` ones.
        """
        max_lines = self._max_lines()
        worker_count = self._worker_count(zone, weights)
        tables = self._resize_tables(zone, worker_count, max_lines)
        overlap = min(1.0, max(0.0, max_lines * len(tables) / max(1, len(weights)) - 1.0))
        ring = dict(sorted(weights.items(), key=lambda line: line[0] * GOLDEN_RATIO % 1.0))
        arcs = overlapping_arcs(self._update_request_rates(tables), overlap)
        for table, (start, end) in zip(tables, arcs, strict=True):
            table.desired_weights = weights
            if len(tables) >= MIN_PARTITIONED_TABLES:
                table.desired_weights = weights_in_arc(ring, start, end, MIN_ARC_WEIGHT_RATIO)
            if warm and not any(index in warm for index in table.desired_weights):
                warm_ring = {index: weight for index, weight in ring.items() if index in warm}
                table.desired_weights = weights_in_arc(warm_ring, start, end, MIN_ARC_WEIGHT_RATIO)

    def _max_lines(self) -> int:
        """Returns how many lines a table may have, so that all proxies can be bound in time."""
        parameters = self._state.parameters
        bind_s = BIND_TIME_RATIO * parameters.drain_grace_s
        lines_each = bind_s * parameters.channel_lines_per_s / max(1, parameters.proxy_count)
        return max(MIN_TABLE_LINES, int(lines_each) - parameters.message_header_lines - BIND_OVERHEAD_LINES)

    def _worker_count(self, zone: int, weights: dict[int, float]) -> int:
        """Returns how many of these workers run in the zone, or the number of all of them if none does."""
        workers = self._state.workers.by_index
        return sum(workers[index].zone == zone for index in weights) or len(weights)

    def _resize_tables(self, zone: int, worker_count: int, max_lines: int) -> list[RoutingTable]:
        """Returns the zone's tables, which may be replaced by new ones.

        They are replaced if there are far too few, or if their number is wrong and they have no readers.
        """
        count = 1 if worker_count <= max_lines else math.ceil(TABLES_PER_WORKER * worker_count / max_lines)
        tables = self._state.tables.in_zone(zone)
        is_read = any(table.readers for table in tables)
        is_far_too_few = count > MAX_TABLE_GROWTH * len(tables)
        if is_far_too_few or (count != len(tables) and not is_read):
            return self._state.tables.replace(zone, count, self._state.proxies)
        return tables

    def _update_request_rates(self, tables: list[RoutingTable]) -> list[float]:
        """Updates each table's request rate, and returns the rates with a reserve for unbound proxies.

        With the reserve, no rate is under UNBOUND_RATE_RATIO of the tables' mean rate.
        """
        for table in tables:
            table.request_rate = self._state.proxies.request_rate(table.readers)
        rates = [table.request_rate for table in tables]
        mean = max(MIN_MEAN_RATE, sum(rates)) / len(tables)
        return [max(rate, mean * UNBOUND_RATE_RATIO) for rate in rates]
