"""The workers that a proxy excludes, as far as this manager can know."""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass, field

from .worker_registry import WorkerRegistry

# Minimum share of a table's workers that the proxy is certain to admit; below it, no readmission is deferred.
MIN_ADMITTED_SHARE = 0.25


@dataclass(slots=True)
class ProxyView:
    """Exclusions sent to one proxy over all its connections, because a proxy keeps them when it reconnects.

    `exclusions` is by worker index; None while it is unknown whether the worker's last line arrived.
    `is_authoritative`: no other manager has sent this proxy anything.
    """

    is_authoritative: bool
    exclusions: dict[int, bool | None] = field(default_factory=dict)

    def after_reconnection(self, is_authoritative: bool) -> ProxyView:
        """Returns the view for a new connection; lines sent over the last connection may have been lost."""
        return ProxyView(is_authoritative, dict.fromkeys(self.exclusions))

    def is_excluded(self, worker_index: int, workers: WorkerRegistry) -> bool | None:
        """Returns whether the proxy excludes this worker; None if that is unknown."""
        if worker_index in self.exclusions:
            return self.exclusions[worker_index]
        if workers.was_removed_before(worker_index):
            return None
        if not self.is_authoritative and workers.has_listed_start(worker_index):
            return None
        return False

    def deferrable_readmissions(self, worker_indices: Set[int], workers: WorkerRegistry) -> set[int]:
        """Returns the workers of a table to bind whose readmission lines can be sent later.

        Only another manager may have excluded them, under the same ids before they restarted, and enough
        other workers are left to select from.  They are readmitted together with their next changed line.
        This halves the cost of a bind; the drawback is that the load share of a worker that was excluded goes
        to the other workers of the table until then.
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
        """Returns how many readmission lines the proxy gets in addition to the lines of these workers.

        This manager excludes none of the workers.  `binds_table`: they are the workers of a table that the
        proxy is about to be bound to.
        """
        affected = set(worker_indices)
        if binds_table:
            affected -= self.deferrable_readmissions(affected, workers)
        return sum(self.is_excluded(index, workers) is not False for index in affected)
