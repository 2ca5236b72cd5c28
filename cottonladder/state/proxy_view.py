"""Which workers a proxy excludes, as far as this manager can know."""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass, field

from .worker_registry import WorkerRegistry

MIN_ADMITTED_SHARE = (
    0.25  # of a table's workers; with fewer certain to be admitted, all are readmitted at once
)


@dataclass(slots=True)
class ProxyView:
    """Exclusions that one proxy was sent, over all its connections: a proxy keeps them when it reconnects.

    The value for a worker is None while it is unknown whether the last line about it arrived.
    `is_authoritative`: no other manager has sent this proxy anything.
    """

    is_authoritative: bool
    exclusions: dict[int, bool | None] = field(default_factory=dict)

    def reconnected(self, is_authoritative: bool) -> ProxyView:
        """The view after a new connection: any line about an exclusion may have been lost with the last."""
        return ProxyView(is_authoritative, dict.fromkeys(self.exclusions))

    def is_excluded(self, worker_index: int, workers: WorkerRegistry) -> bool | None:
        """Whether the proxy excludes this worker; None where it may."""
        if worker_index in self.exclusions:
            return self.exclusions[worker_index]
        if workers.was_removed_before(worker_index):
            return None
        if not self.is_authoritative and workers.has_listed_start(worker_index):
            return None
        return False

    def deferrable_readmissions(self, worker_indices: Set[int], workers: WorkerRegistry) -> set[int]:
        """Workers of a table to bind to that need not be readmitted at once.

        Only another manager may have excluded them, under the same ids before they restarted, and enough
        others are left to select from.  Their next line that changes readmits them.  It halves the cost of a
        bind; the drawback is that where such a worker was excluded, its share goes to the table's others
        until then.
        """
        if self.is_authoritative:
            return set()
        deferrable = {
            index
            for index in worker_indices
            if index not in self.exclusions
            and not workers.was_removed_before(index)
            and workers.has_listed_start(index)
        }
        admitted = sum(self.is_excluded(index, workers) is False for index in worker_indices)
        if admitted >= max(1.0, MIN_ADMITTED_SHARE * len(worker_indices)):
            return deferrable
        return set()

    def count_readmissions(
        self, worker_indices: Iterable[int], workers: WorkerRegistry, binds_table: bool
    ) -> int:
        """Returns how many readmission lines the proxy gets beside the lines of these workers.

        This manager excludes none of them.  `binds_table`: they are the workers of a table that the proxy is
        about to be bound to.
        """
        affected = set(worker_indices)
        if binds_table:
            affected -= self.deferrable_readmissions(affected, workers)
        return sum(self.is_excluded(index, workers) is not False for index in affected)
