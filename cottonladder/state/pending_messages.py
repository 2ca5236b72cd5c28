"""The lines of the next message to each proxy, and the encoding of the messages."""

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
        """Returns the proxies that have pending operations."""
        return list(self._operations)

    def line_counts(self) -> dict[int, int]:
        """Returns the number of pending lines of each proxy that has any."""
        return {proxy: len(operations) for proxy, operations in self._operations.items()}

    def add(self, proxy: int, operations: list[LineOperation]) -> None:
        """Adds operations to a proxy's next message; an empty list does not cause a message."""
        if operations:
            self._operations.setdefault(proxy, []).extend(operations)

    def add_missing(self, proxy: int, operations: Iterable[LineOperation]) -> None:
        """Adds the operations that are not yet pending to a proxy's next message; the proxy must have one."""
        pending = self._operations[proxy]
        pending += [operation for operation in operations if operation not in pending]

    def discard(self, proxy: int) -> None:
        """Discards the pending operations of a proxy."""
        self._operations.pop(proxy, None)

    def pop_messages(self) -> Iterator[tuple[int, bytes]]:
        """Removes all pending operations and yields each proxy with its message; encodes equal ones once."""
        all_pending = self._operations
        self._operations = {}
        encoded: dict[tuple[LineOperation, ...], bytes] = {}
        for proxy, operations in all_pending.items():
            key = tuple(operations)
            if key not in encoded:
                encoded[key] = self._encoder.encode(key)
            yield proxy, encoded[key]
