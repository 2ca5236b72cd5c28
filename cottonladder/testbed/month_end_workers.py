"""The workers of the month-end simulation, which serve requests from a queue."""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict

from .month_end_records import CORES_PER_WORKER, AttemptSums, FinishedRequest, QueueingWorker

REQUEST_DEADLINE_S = 2.5
SERVICE_TIME_S = 0.16  # mean for one request on one core of a worker with speed 1
SERVICE_TIME_FACTOR_RANGE = (0.9, 1.1)  # random factor of SERVICE_TIME_S
COLLAPSE_LOAD_MULTIPLE = 3.0  # load at which a warming-up worker collapses / its capacity
LOAD_WINDOW_S = 2.0  # the load of a warming-up worker is counted over this time


class WorkerPool:
    """Workers that serve requests, and the sums of ended attempts for the load reports.

    `max_warm_up_load` is the largest load of a warming-up worker so far, as a ratio to the load at which it
    collapses.
    """

    def __init__(self, workers: dict[int, QueueingWorker], chance: random.Random) -> None:
        self.workers = workers
        self.max_warm_up_load = 0.0
        self._random = chance
        self._finished: list[FinishedRequest] = []  # a heap
        self._warm_up_arrivals: dict[int, list[float]] = defaultdict(list)

    def capacity(self) -> float:
        """Returns the requests/s that all workers together can serve after their warm-up."""
        return sum(CORES_PER_WORKER * worker.speed / SERVICE_TIME_S for worker in self.workers.values())

    def serve(self, arrived_at: float, worker_index: int, zone: int) -> FinishedRequest:
        """Serves a request, and returns its outcome; it fails if its response is later than its deadline."""
        worker = self.workers[worker_index]
        if worker.is_warming_up(arrived_at):
            self._record_warm_up_load(arrived_at, worker_index)
        duration_s = self._occupy_core(worker, arrived_at)
        ended_at = arrived_at + min(duration_s, REQUEST_DEADLINE_S)
        request = FinishedRequest(ended_at, worker_index, zone, duration_s, duration_s <= REQUEST_DEADLINE_S)
        heapq.heappush(self._finished, request)
        return request

    def _occupy_core(self, worker: QueueingWorker, arrived_at: float) -> float:
        """Returns the seconds until the response; infinite if no core is free before the deadline."""
        begins_at = max(arrived_at, worker.cores_free_at[0])
        if begins_at - arrived_at > REQUEST_DEADLINE_S:
            return math.inf
        service_time_s = (
            self._random.uniform(*SERVICE_TIME_FACTOR_RANGE) * SERVICE_TIME_S / worker.speed_at(arrived_at)
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
        capacity = CORES_PER_WORKER * worker.speed_at(arrived_at) * LOAD_WINDOW_S
        load = len(arrivals) * SERVICE_TIME_S / (COLLAPSE_LOAD_MULTIPLE * capacity)
        self.max_warm_up_load = max(self.max_warm_up_load, load)

    def pop_finished(self, now: float) -> dict[tuple[int, int], AttemptSums]:
        """Removes the attempts that have ended by now; returns their sums by worker index and zone."""
        sums: dict[tuple[int, int], AttemptSums] = defaultdict(AttemptSums)
        while self._finished and self._finished[0].ended_at <= now:
            request = heapq.heappop(self._finished)
            sums[request.worker_index, request.zone].add(request)
        return sums
