"""Lines of orders that were written and have yet to be acknowledged."""

from __future__ import annotations


class InFlightLines:
    """Lines by checkpoint and proxy.  Checkpoints are kept in the order they were written."""

    def __init__(self) -> None:
        self.by_checkpoint: dict[int, dict[int, int]] = {}
        self.total = 0.0

    def add(self, checkpoint: int, lines: dict[int, int], max_checkpoints: int) -> None:
        """Past `max_checkpoints` the oldest counts as never to be acknowledged, and is forgotten."""
        self.total += sum(lines.values())
        self.by_checkpoint[checkpoint] = lines
        if len(self.by_checkpoint) > max_checkpoints:
            self._drop_oldest()

    def acknowledge(self, checkpoint: int, proxy: int) -> None:
        """Older checkpoints left before this one, so nothing of them is in flight any more."""
        while checkpoint in self.by_checkpoint and next(iter(self.by_checkpoint)) != checkpoint:
            self._drop_oldest()
        self.total -= self.by_checkpoint.get(checkpoint, {}).pop(proxy, 0)

    def replace(self, checkpoint: int, lines: dict[int, int]) -> int:
        """Puts what was written in place of what was reserved; gives how much more it is."""
        reserved = self.by_checkpoint.pop(checkpoint, {})
        self.by_checkpoint[checkpoint] = lines
        more = sum(lines.values()) - sum(reserved.values())
        self.total += more
        return more

    def _drop_oldest(self) -> None:
        self.total -= sum(self.by_checkpoint.pop(next(iter(self.by_checkpoint))).values())
