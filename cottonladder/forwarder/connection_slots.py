"""Limits on the number of client connections, in total and per client address."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ConnectionSlots:
    """The slots in use.  The caller releases each slot that it has acquired exactly once."""

    max_total: int
    max_per_client: int
    by_client: dict[str, int] = field(default_factory=dict)
    total: int = 0

    def acquire(self, client: str) -> bool:
        """Acquires a slot for a client address; returns False if a limit is reached."""
        if self.total >= self.max_total or self.by_client.get(client, 0) >= self.max_per_client:
            return False
        self.by_client[client] = self.by_client.get(client, 0) + 1
        self.total += 1
        return True

    def release(self, client: str) -> None:
        """Releases a slot of a client address."""
        remaining = self.by_client[client] - 1
        self.total -= 1
        if remaining:
            self.by_client[client] = remaining
        else:
            del self.by_client[client]
