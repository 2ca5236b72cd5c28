"""Which workers this manager excludes, and the lines that have a proxy exclude the same ones.

A proxy keeps its exclusions when it reconnects, so they are remembered here too.  Where a proxy may exclude a
worker that this manager does not, the worker's next line comes with another one that readmits it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .line_operations import LineOperation, exclusion_line
from .proxy_view import ProxyView
from .worker_registry import WorkerRegistry


class Exclusions:
    """The excluded workers, and a view of each proxy that ever connected.

    Methods that return lines also record in the proxy's view what these lines change.
    """

    def __init__(self, workers: WorkerRegistry, is_only_manager: bool) -> None:
        self._workers = workers
        self._is_only_manager = is_only_manager
        self._excluded: dict[int, None] = {}  # workers, in the order of their exclusion
        self._views: dict[int, ProxyView] = {}  # by proxy, connected or not

    def connect_proxy(self, proxy: int, is_fresh: bool) -> None:
        """Begins a new connection of a proxy.

        `is_fresh`: it holds no manager's table yet, and counts as sent nothing by other managers.
        """
        known = self._views.get(proxy)
        if known is None:
            self._views[proxy] = ProxyView(is_authoritative=is_fresh)
        else:
            was_authoritative = self._is_only_manager and known.is_authoritative
            self._views[proxy] = known.reconnected(is_fresh or was_authoritative)

    def count_readmissions(self, proxy: int, worker_indices: Iterable[int], binds_table: bool) -> int:
        """Returns how many readmission lines the proxy gets beside the lines of these workers.

        `binds_table`: the workers are those of a table that the proxy is about to be bound to.
        """
        view = self._views.get(proxy)
        if view is None:
            return 0
        return view.count_readmissions(worker_indices, self._workers, binds_table)

    def set_excluded(self, worker_index: int, excluded: bool) -> None:
        """Excludes a worker, or readmits it."""
        if excluded:
            self._excluded[worker_index] = None
        else:
            self._excluded.pop(worker_index, None)

    def take_line(self, proxy: int, worker_index: int) -> LineOperation:
        """Returns the line that makes the proxy exclude a worker if this manager does, or else readmit it."""
        excluded = worker_index in self._excluded
        self._views[proxy].exclusions[worker_index] = excluded
        return exclusion_line(worker_index, excluded)

    def take_line_if_needed(self, proxy: int, worker_index: int) -> list[LineOperation]:
        """Returns the same line, or none if the proxy's exclusion of the worker is already this manager's."""
        is_excluded = self._views[proxy].is_excluded(worker_index, self._workers)
        if is_excluded == (worker_index in self._excluded):
            return []
        return [self.take_line(proxy, worker_index)]

    def take_table_lines(self, proxy: int, weights: Mapping[int, float]) -> list[LineOperation]:
        """Returns the lines for the exclusions of a table's workers, which the cost of a bind counts."""
        view = self._views[proxy]
        excluded = self._excluded.keys() & weights.keys()
        # Marked as unknown, so that each excluded worker gets a line: the cost of a bind counts one.
        view.exclusions.update(dict.fromkeys(excluded))
        deferred = view.deferrable_readmissions(weights.keys() - excluded, self._workers)
        lines: list[LineOperation] = []
        for worker_index in weights:
            if worker_index not in deferred:
                lines += self.take_line_if_needed(proxy, worker_index)
        return lines

    def remove_worker(self, worker_index: int) -> None:
        """Frees what is kept of a worker.

        A proxy may exclude it for good; should the worker be listed again, its first line readmits it.
        """
        self._excluded.pop(worker_index, None)
        for view in self._views.values():
            view.exclusions.pop(worker_index, None)
