"""Lines of orders that were written but are not acknowledged yet."""

from __future__ import annotations


class InFlightLines:
    """Line counts by checkpoint and proxy; checkpoints are in the sequence in which they were written."""

    def __init__(self) -> None:
        self.by_checkpoint: dict[int, dict[int, int]] = {}
        self.total = 0.0

    def add(self, checkpoint: int, lines: dict[int, int], max_checkpoints: int) -> None:
        """Adds the lines of a checkpoint; if there are over `max_checkpoints`, the oldest counts as lost."""
        self.total += sum(lines.values())
        self.by_checkpoint[checkpoint] = lines
        if len(self.by_checkpoint) > max_checkpoints:
            self._drop_oldest()

    def acknowledge(self, checkpoint: int, proxy: int) -> None:
        """Records an acknowledgement; the lines of all older checkpoints no longer count."""
        while checkpoint in self.by_checkpoint and next(iter(self.by_checkpoint)) != checkpoint:
            self._drop_oldest()
        self.total -= self.by_checkpoint.get(checkpoint, {}).pop(proxy, 0)

    def replace(self, checkpoint: int, lines: dict[int, int]) -> int:
        """Replaces a checkpoint's reserved lines by the written ones, and returns the increase."""
        reserved = self.by_checkpoint.pop(checkpoint, {})
        self.by_checkpoint[checkpoint] = lines
        increase = sum(lines.values()) - sum(reserved.values())
        self.total += increase
        return increase

    def _drop_oldest(self) -> None:
        self.total -= sum(self.by_checkpoint.pop(next(iter(self.by_checkpoint))).values())
