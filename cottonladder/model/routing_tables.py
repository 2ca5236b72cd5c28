"""The routing tables of all zones, and the binding of proxies to them."""

from __future__ import annotations

from .orders import ALL_TABLES
from .proxies import Proxies
from .routing_table import RoutingTable


class RoutingTables:
    """All tables; each zone has one or more."""

    def __init__(self, zone_count: int) -> None:
        self.all = [RoutingTable(zone, zone) for zone in range(zone_count)]
        self._next_number = zone_count

    def in_zone(self, zone: int) -> list[RoutingTable]:
        """Returns the tables of one zone."""
        return [table for table in self.all if table.zone == zone]

    def reader_count(self) -> int:
        """Returns how many proxies are bound to any table."""
        return sum(len(table.readers) for table in self.all)

    def replace(self, zone: int, count: int, proxies: Proxies) -> list[RoutingTable]:
        """Replaces a zone's tables by `count` new, empty ones, and unbinds their readers.

        The new tables get numbers that were not used recently.
        """
        for table in self.in_zone(zone):
            for number in table.readers:
                proxies.by_number[number].table = None
        first = self._next_number
        tables = [RoutingTable((first + offset) % ALL_TABLES, zone) for offset in range(count)]
        self._next_number += count
        self.all = [table for table in self.all if table.zone != zone] + tables
        return tables

    def bind(self, number: int, table: RoutingTable, proxies: Proxies) -> None:
        """Records that a proxy is bound to a table."""
        proxy = proxies.by_number[number]
        proxy.table = table
        table.readers[number] = None
        table.request_rate += proxy.initial_rate

    def mark_written(self, checkpoint: int, now: float, lines_by_proxy: dict[int, int]) -> None:
        """Records which tables wait for their readers to acknowledge a checkpoint."""
        for table in self.all:
            awaited = sum(number in lines_by_proxy for number in table.readers)
            if awaited:
                table.mark_written(checkpoint, now, awaited)
