"""Collects the lines of the next message to each proxy, and encodes the messages."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .config_encoder import ConfigEncoder
from .line_operations import LineOperation


class PendingMessages:
    """The operations that are pending for each proxy, in the order in which they were added."""

    def __init__(self, encoder: ConfigEncoder) -> None:
        self._encoder = encoder
        self._operations: dict[int, list[LineOperation]] = {}  # by proxy

    def proxies(self) -> list[int]:
        """The proxies that have pending operations."""
        return list(self._operations)

    def line_counts(self) -> dict[int, int]:
        """Lines pending for each proxy."""
        return {proxy: len(operations) for proxy, operations in self._operations.items()}

    def add(self, proxy: int, operations: list[LineOperation]) -> None:
        """Adds operations to a proxy's next message; without any there is no message."""
        if operations:
            self._operations.setdefault(proxy, []).extend(operations)

    def add_missing(self, proxy: int, operations: Iterable[LineOperation]) -> None:
        """Adds those operations to a proxy's message that are not pending yet."""
        pending = self._operations[proxy]
        pending += [operation for operation in operations if operation not in pending]

    def drop(self, proxy: int) -> None:
        """Drops what is pending for a proxy."""
        self._operations.pop(proxy, None)

    def take(self) -> Iterator[tuple[int, bytes]]:
        """Yields each proxy and its message; equal ones are encoded once.  None are pending afterwards."""
        all_pending = self._operations
        self._operations = {}
        encoded: dict[tuple[LineOperation, ...], bytes] = {}
        for proxy, operations in all_pending.items():
            key = tuple(operations)
            if key not in encoded:
                encoded[key] = self._encoder.encode(key)
            yield proxy, encoded[key]
