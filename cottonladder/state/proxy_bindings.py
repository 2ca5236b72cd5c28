"""The routing table that each connected proxy reads for each request class."""

from __future__ import annotations

from collections.abc import Iterable, Iterator


class ProxyBindings:
    """The connected proxies, and the table that each reads for each request class.

    A table is None if the proxy reads none of this manager's tables for the class.
    """

    def __init__(self, class_count: int) -> None:
        self._class_count = class_count
        self._tables: dict[int, list[int | None]] = {}  # by proxy, then by request class
        self._readers: dict[int, dict[int, None]] = {}  # by table, the proxies that read it for any class

    def __contains__(self, proxy: int) -> bool:
        """Returns whether the proxy is connected."""
        return proxy in self._tables

    def __iter__(self) -> Iterator[int]:
        """Iterates over the connected proxies, in the order in which they connected."""
        return iter(self._tables)

    def connect(self, proxy: int) -> None:
        """Adds a proxy that reads none of this manager's tables yet."""
        self._tables[proxy] = [None] * self._class_count

    def disconnect(self, proxy: int) -> None:
        """Removes a proxy, if it is connected."""
        self._tables.pop(proxy, None)
        for readers in self._readers.values():
            readers.pop(proxy, None)

    def bind(self, proxy: int, table: int, class_indices: Iterable[int]) -> None:
        """Makes a connected proxy read this table for these request classes."""
        tables = self._tables[proxy]
        for class_index in class_indices:
            tables[class_index] = table
        for other_table, readers in self._readers.items():
            if other_table not in tables:
                readers.pop(proxy, None)
        self._readers.setdefault(table, {})[proxy] = None

    def readers(self, table: int) -> Iterable[int]:
        """Returns the proxies that read this table for at least one request class."""
        return self._readers.get(table, ())

    def tables_of(self, proxy: int) -> list[int | None]:
        """Returns a connected proxy's table for each request class, None where it is not this manager's."""
        return self._tables[proxy]

    def class_mask_of_table(self, proxy: int, table: int) -> int:
        """Returns the mask of the request classes for which this proxy reads this table."""
        tables = self._tables[proxy]
        return sum(1 << class_index for class_index, read in enumerate(tables) if read == table)
