"""Selection of a worker for an upgraded connection, within its connection limit and admission rate."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from .connection_registry import ConnectionRegistry
from .request_services import RequestServices
from .tunnel import Tunnel


@dataclass(frozen=True, slots=True)
class SlotSelection:
    """The selected worker, or None and the delay until a worker may accept a connection.

    `retry_delay_s` is infinite if no candidate is limited by its admission rate alone.
    """

    worker_id: str | None
    retry_delay_s: float = 0.0


class WorkerSlots:
    """Selector of workers that may accept another upgraded connection."""

    def __init__(self, services: RequestServices, registry: ConnectionRegistry[Tunnel]) -> None:
        self._services = services
        self._registry = registry

    def select(
        self, request_class: str, attempted: Collection[str], preferred: Mapping[str, float] | None = None
    ) -> SlotSelection:
        """Selects a worker with a reserved slot if there is one, else a worker by weight.

        Workers in `attempted` are not selected.  `preferred` replaces the weights of the routing table.
        """
        now = self._services.now()
        candidates = self._services.router.candidates(request_class, preferred)
        reserved = self._use_reservation(now, candidates, attempted)
        if reserved is not None:
            return SlotSelection(reserved)
        return self._select_by_weight(now, request_class, candidates, attempted, preferred)

    def _is_full(self, worker_id: str) -> bool:
        return self._registry.count(worker_id) >= self._services.limits.connections_per_worker

    def _use_reservation(
        self, now: float, candidates: Mapping[str, float], attempted: Collection[str]
    ) -> str | None:
        pacer = self._services.pacer
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
    ) -> SlotSelection:
        pacer = self._services.pacer
        mean_weight = sum(candidates.values()) / len(candidates) if candidates else 0.0
        excluded = [*attempted, *(worker_id for worker_id in candidates if self._is_full(worker_id))]
        shortest_wait_s = math.inf
        while True:
            worker_id = self._services.router.select_worker(now, request_class, excluded, preferred)
            if worker_id is None or worker_id in excluded:
                return SlotSelection(None, shortest_wait_s)
            rate = pacer.worker_rate(candidates[worker_id], mean_weight)
            wait_s = pacer.acquire(now, worker_id, rate)
            if wait_s <= 0:
                return SlotSelection(worker_id)
            shortest_wait_s = min(shortest_wait_s, wait_s)
            excluded.append(worker_id)
