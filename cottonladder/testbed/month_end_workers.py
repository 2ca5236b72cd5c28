"""The workers in the simulation of a month's end, and the requests that they serve."""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict

from .month_end_records import CORES, AttemptSums, FinishedRequest, QueueingWorker

DEADLINE_S = 2.5
SERVICE_TIME_S = 0.16  # of one request on one core of a worker of speed 1
SERVICE_TIME_RATIO = (0.9, 1.1)  # the least and the largest part of that time
COLLAPSE_MULTIPLE = 3.0  # times its capacity: the load under which a warming-up worker collapses
LOAD_WINDOW_S = 2.0  # over which a warming-up worker's load is counted


class WorkerPool:
    """Serves requests, and sums the attempts that have ended, for the load reports."""

    def __init__(self, workers: dict[int, QueueingWorker], chance: random.Random) -> None:
        self.workers = workers
        self.worst_warm_up_load = 0.0  # of any warming-up worker, as a part of the load that collapses it
        self._random = chance
        self._finished: list[FinishedRequest] = []  # a heap
        self._warm_up_arrivals: dict[int, list[float]] = defaultdict(list)

    def capacity(self) -> float:
        """The requests/s that all workers can serve once they are warm."""
        return sum(CORES * worker.speed / SERVICE_TIME_S for worker in self.workers.values())

    def serve(self, arrived_at: float, worker_index: int, zone: int) -> FinishedRequest:
        """Serves a request, which fails if it has not been answered by its deadline."""
        worker = self.workers[worker_index]
        if worker.is_warming_up(arrived_at):
            self._record_warm_up_load(arrived_at, worker_index)
        duration_s = self._occupy_core(worker, arrived_at)
        ended_at = arrived_at + min(duration_s, DEADLINE_S)
        request = FinishedRequest(ended_at, worker_index, zone, duration_s, duration_s <= DEADLINE_S)
        heapq.heappush(self._finished, request)
        return request

    def _occupy_core(self, worker: QueueingWorker, arrived_at: float) -> float:
        """Gives the seconds until a request is answered; infinite if no core is free before its deadline."""
        begins_at = max(arrived_at, worker.cores_free_at[0])
        if begins_at - arrived_at > DEADLINE_S:
            return math.inf
        service_time_s = (
            self._random.uniform(*SERVICE_TIME_RATIO) * SERVICE_TIME_S / worker.speed_at(arrived_at)
        )
        ends_at = begins_at + service_time_s
        heapq.heapreplace(worker.cores_free_at, ends_at)
        return ends_at - arrived_at

    def _record_warm_up_load(self, arrived_at: float, worker_index: int) -> None:
        worker = self.workers[worker_index]
        arrivals = [
            earlier
            for earlier in self._warm_up_arrivals[worker_index]
            if earlier > arrived_at - LOAD_WINDOW_S
        ]
        arrivals.append(arrived_at)
        self._warm_up_arrivals[worker_index] = arrivals
        if arrived_at - worker.started_at <= LOAD_WINDOW_S:
            return
        capacity = CORES * worker.speed_at(arrived_at) * LOAD_WINDOW_S
        load = len(arrivals) * SERVICE_TIME_S / (COLLAPSE_MULTIPLE * capacity)
        self.worst_warm_up_load = max(self.worst_warm_up_load, load)

    def take_finished(self, now: float) -> dict[tuple[int, int], AttemptSums]:
        """Takes the attempts that have ended by now; gives their sums by worker index and zone."""
        sums: dict[tuple[int, int], AttemptSums] = defaultdict(AttemptSums)
        while self._finished and self._finished[0].ended_at <= now:
            request = heapq.heappop(self._finished)
            sums[request.worker_index, request.zone].add(request)
        return sums
