"""Which worker may take one more upgraded connection now."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

from .connection_registry import ConnectionRegistry
from .fleet import Fleet
from .tunnel import Tunnel


class WorkerSlots:
    """Selects workers for upgraded connections, within limits and the pace of arrivals."""

    def __init__(self, fleet: Fleet, registry: ConnectionRegistry[Tunnel]) -> None:
        self._fleet = fleet
        self._registry = registry

    def select(
        self, request_class: str, attempted: Collection[str], preferred: Mapping[str, float] | None = None
    ) -> tuple[str | None, float]:
        """A worker and 0, or None and s until one may take a connection.

        First one that an order reserved a slot at, else by weight, where the arrivals' pace and the limit
        allow."""
        now = self._fleet.now()
        candidates = self._fleet.router.candidates(request_class)
        if preferred is not None:
            candidates = {worker: weight for worker, weight in preferred.items() if worker in candidates}
        reserved = self._take_reservation(now, candidates, attempted)
        if reserved is not None:
            return reserved, 0.0
        return self._select_by_weight(now, request_class, candidates, attempted, preferred)

    def _is_full(self, worker_id: str) -> bool:
        return self._registry.count(worker_id) >= self._fleet.limits.connections_per_worker

    def _take_reservation(
        self, now: float, candidates: Mapping[str, float], attempted: Collection[str]
    ) -> str | None:
        pacer = self._fleet.pacer
        reserved = pacer.reserved_worker(now)
        if not reserved:
            return None
        if reserved not in candidates:
            pacer.cancel_reservations(reserved)
            return None
        if reserved in attempted or self._is_full(reserved):
            return None
        pacer.use_reservation(reserved)
        return reserved

    def _select_by_weight(
        self,
        now: float,
        request_class: str,
        candidates: Mapping[str, float],
        attempted: Collection[str],
        preferred: Mapping[str, float] | None,
    ) -> tuple[str | None, float]:
        pacer = self._fleet.pacer
        mean_weight = sum(candidates.values()) / len(candidates) if candidates else 0.0
        excluded = [*attempted, *(worker_id for worker_id in candidates if self._is_full(worker_id))]
        shortest_wait = math.inf
        while True:
            worker_id = self._fleet.router.select_worker(now, request_class, excluded, preferred)
            if worker_id is None or worker_id in excluded:
                return None, shortest_wait
            rate = pacer.worker_rate(candidates[worker_id], mean_weight)
            wait = pacer.acquire(now, worker_id, rate)
            if wait <= 0:
                return worker_id, 0.0
            shortest_wait = min(shortest_wait, wait)
            excluded.append(worker_id)
