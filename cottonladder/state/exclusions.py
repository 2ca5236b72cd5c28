"""The workers that this manager excludes, and the lines that make each proxy exclude the same workers.

A proxy keeps its exclusions when it reconnects, so they are also kept here.  Where a proxy may exclude a
worker that this manager does not exclude, a line that readmits the worker is sent with its next line.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .line_operations import LineOperation, exclusion_line
from .proxy_view import ProxyView
from .worker_registry import WorkerRegistry


class Exclusions:
    """The excluded workers, and a view of each proxy that has ever connected.

    The `sync_` methods record in the proxy's view that the lines they return are sent.
    """

    def __init__(self, workers: WorkerRegistry, is_only_manager: bool) -> None:
        self._workers = workers
        self._is_only_manager = is_only_manager
        self._excluded: dict[int, None] = {}  # workers, in the order of their exclusion
        self._views: dict[int, ProxyView] = {}  # by proxy, connected or not

    def connect_proxy(self, proxy: int, has_no_table: bool) -> None:
        """Starts a new connection of a proxy.

        `has_no_table`: the proxy has no table of any manager yet; it is assumed that no other manager has
        sent it anything.
        """
        known = self._views.get(proxy)
        if known is None:
            self._views[proxy] = ProxyView(is_authoritative=has_no_table)
        else:
            was_authoritative = self._is_only_manager and known.is_authoritative
            self._views[proxy] = known.after_reconnection(has_no_table or was_authoritative)

    def count_readmissions(self, proxy: int, worker_indices: Iterable[int], binds_table: bool) -> int:
        """Returns how many readmission lines the proxy gets in addition to the lines of these workers.

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

    def sync_worker(self, proxy: int, worker_index: int) -> LineOperation:
        """Returns the line that makes the proxy exclude a worker if this manager does, or else readmit it."""
        excluded = worker_index in self._excluded
        self._views[proxy].exclusions[worker_index] = excluded
        return exclusion_line(worker_index, excluded)

    def sync_worker_if_needed(self, proxy: int, worker_index: int) -> list[LineOperation]:
        """Returns the line of `sync_worker`, or none if the proxy is known to agree with this manager."""
        is_excluded = self._views[proxy].is_excluded(worker_index, self._workers)
        if is_excluded == (worker_index in self._excluded):
            return []
        return [self.sync_worker(proxy, worker_index)]

    def sync_table(self, proxy: int, weights: Mapping[int, float]) -> list[LineOperation]:
        """Returns the exclusion and readmission lines for the workers of a table to bind to."""
        view = self._views[proxy]
        excluded = self._excluded.keys() & weights.keys()
        # Marked as unknown so that each excluded worker gets a line: the cost of a bind includes it.
        view.exclusions.update(dict.fromkeys(excluded))
        deferred = view.deferrable_readmissions(weights.keys() - excluded, self._workers)
        lines: list[LineOperation] = []
        for worker_index in weights:
            if worker_index not in deferred:
                lines += self.sync_worker_if_needed(proxy, worker_index)
        return lines

    def remove_worker(self, worker_index: int) -> None:
        """Frees the state of a removed worker.

        A proxy may still exclude it; if it is listed again, its first line is sent with a readmission.
        """
        self._excluded.pop(worker_index, None)
        for view in self._views.values():
            view.exclusions.pop(worker_index, None)
