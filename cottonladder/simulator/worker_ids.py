"""Worker ids of the simulator by the worker indices that the policy uses."""

from __future__ import annotations


class WorkerIds:
    """The indices of one simulated manager's worker ids, in the order in which the ids occur."""

    def __init__(self) -> None:
        self._ids: list[int] = []
        self._indices: dict[int, int] = {}

    def index_of(self, worker_id: int) -> int:
        """Returns the index of a worker id; a new id gets the next index."""
        index = self._indices.get(worker_id)
        if index is None:
            index = len(self._ids)
            self._indices[worker_id] = index
            self._ids.append(worker_id)
        return index

    def id_of(self, worker_index: int) -> int:
        """Returns the worker id of an index."""
        return self._ids[worker_index]
