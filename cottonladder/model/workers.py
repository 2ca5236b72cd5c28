"""The records of the known workers."""

from __future__ import annotations

from collections.abc import Iterable

from .state_changes import WorkerState
from .worker_record import WorkerRecord


class Workers:
    """Records of the known workers by worker index."""

    def __init__(self) -> None:
        self.by_index: dict[int, WorkerRecord] = {}

    def in_state(self, *states: WorkerState) -> dict[int, WorkerRecord]:
        """Returns the workers that are in one of the states, by index."""
        return {index: worker for index, worker in self.by_index.items() if worker.state in states}

    def attempt_counts(self, states: Iterable[WorkerState]) -> tuple[float, float]:
        """Returns the number of attempts at the workers in these states, and how many of them failed."""
        workers = self.in_state(*states).values()
        return sum(worker.attempt_count for worker in workers), sum(worker.failed_count for worker in workers)
