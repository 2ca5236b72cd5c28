"""The lines of the next message to each proxy, and the encoding of the messages.

The lines for a proxy can be held: they are kept out of the next messages until they are released.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .config_encoder import ConfigEncoder
from .line_operations import LineOperation, without_superseded


class PendingMessages:
    """The operations that are pending for each proxy, in the order in which they were added."""

    def __init__(self, encoder: ConfigEncoder) -> None:
        self._encoder = encoder
        self._operations: dict[int, list[LineOperation]] = {}  # by proxy
        self._held: dict[int, list[LineOperation]] = {}  # by proxy whose lines are held

    def proxies(self) -> list[int]:
        """Returns the proxies that have pending operations, without those whose lines are held."""
        return list(self._operations)

    def line_counts(self) -> dict[int, int]:
        """Returns the number of pending lines of each proxy that has any, without held lines."""
        return {proxy: len(operations) for proxy, operations in self._operations.items()}

    def add(self, proxy: int, operations: list[LineOperation]) -> None:
        """Adds operations to a proxy's next message; an empty list does not cause a message."""
        if proxy in self._held:
            self._held[proxy].extend(operations)
        elif operations:
            self._operations.setdefault(proxy, []).extend(operations)

    def hold(self, proxy: int) -> None:
        """Holds the operations that are added for a proxy from now on."""
        self._held.setdefault(proxy, [])

    def release(self, proxy: int) -> None:
        """Adds the held operations to the proxy's next message, without those that later ones supersede."""
        held = self._held.pop(proxy, [])
        self.add(proxy, without_superseded(held))

    def add_missing(self, proxy: int, operations: Iterable[LineOperation]) -> None:
        """Adds the operations that are not yet pending to a proxy's next message; the proxy must have one."""
        pending = self._operations[proxy]
        pending += [operation for operation in operations if operation not in pending]

    def discard(self, proxy: int) -> None:
        """Discards the pending and the held operations of a proxy, whose later ones are not held."""
        self._operations.pop(proxy, None)
        self._held.pop(proxy, None)

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
