"""Cleanup of workers some time after their removal from the endpoint list."""

from __future__ import annotations

from .admission_pacer import AdmissionPacer
from .connection_registry import ConnectionRegistry
from .router import Router
from .tunnel import Tunnel
from .worker_list import WorkerList

REMOVED_WORKER_TTL_S = 600.0


class WorkerRemoval:
    """Cleanup of removed workers that have no connection and are in no routing table.

    The worker list, the router and the pacer forget them.
    """

    def __init__(
        self,
        workers: WorkerList,
        router: Router,
        pacer: AdmissionPacer,
        registry: ConnectionRegistry[Tunnel],
    ) -> None:
        self._workers = workers
        self._router = router
        self._pacer = pacer
        self._registry = registry

    def forget_expired(self, now: float) -> None:
        """Forgets the unused workers that were removed more than `REMOVED_WORKER_TTL_S` ago."""
        in_use = self._workers_in_use()
        for worker_id in self._workers.removed_before(now - REMOVED_WORKER_TTL_S):
            if worker_id not in in_use:
                self._workers.forget(worker_id)
        known = self._workers.known_ids()
        self._router.retain_workers(known)
        self._pacer.retain_workers(known)

    def _workers_in_use(self) -> set[str]:
        in_use = self._registry.workers()
        for table in self._router.tables.values():
            in_use |= set(table.weights)
        return in_use
