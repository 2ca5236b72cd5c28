"""Rate limits of new upgraded connections to each worker, and slots reserved for reconnecting clients.

Pure: the caller passes the time.  The rate limit protects the remaining workers when one with many
connections fails and all its clients reconnect at the same time.
"""

from __future__ import annotations

from .token_bucket import TokenBucket


class AdmissionPacer:
    """A token bucket and reserved slots for each worker.

    `worker_arrivals_per_s` is the number of new connections a second that an average worker accepts from all
    forwarders, and `arrival_share` the fraction of them that this forwarder may open, 0 to 1.  Reserved slots
    are exempt from the limit: a manager has counted them, or the clients held them before a restart.
    """

    RESERVATION_TTL_S = 15.0  # time after which an unused reservation expires

    def __init__(self, worker_arrivals_per_s: float, arrival_share: float) -> None:
        self.worker_arrivals_per_s = worker_arrivals_per_s
        self.arrival_share = arrival_share
        self._buckets: dict[str, TokenBucket] = {}
        self._reserved_until: dict[str, list[float]] = {}  # expiry times of the reserved slots, by worker

    def reserve(self, now: float, worker_id: str, count: int) -> None:
        """Reserves `count` slots at a worker for clients that reconnect."""
        self._reserved_until.setdefault(worker_id, []).extend([now + self.RESERVATION_TTL_S] * count)

    def cancel_reservations(self, worker_id: str) -> None:
        """Cancels the reservations at a worker that accepts no more connections."""
        self._reserved_until.pop(worker_id, None)

    def reserved_worker(self, now: float) -> str | None:
        """Removes expired reservations; returns the worker with the most remaining ones, or None."""
        for worker_id in list(self._reserved_until):
            self._reserved_until[worker_id] = [
                until for until in self._reserved_until[worker_id] if until > now
            ]
            if not self._reserved_until[worker_id]:
                del self._reserved_until[worker_id]
        return max(
            self._reserved_until, key=lambda worker_id: len(self._reserved_until[worker_id]), default=None
        )

    def use_reservation(self, worker_id: str) -> None:
        """Removes the oldest reservation at a worker, if there is any, as a connection now uses the slot."""
        if slots := self._reserved_until.get(worker_id):
            slots.pop(0)

    def worker_rate(self, weight: float, mean_weight: float) -> float:
        """Returns how many new connections a second this forwarder may open to a worker of this weight.

        A weight below the mean reduces the rate in proportion; a weight above it does not increase the rate.
        """
        relative_weight = weight / mean_weight if mean_weight > 0 else 1.0
        return self.worker_arrivals_per_s * self.arrival_share * min(1.0, relative_weight)

    def acquire(self, now: float, worker_id: str, rate: float) -> float:
        """Counts a new connection and returns 0, or returns the seconds until `rate` allows one."""
        bucket = self._buckets.setdefault(worker_id, TokenBucket.full(now, rate))
        if bucket.try_acquire(now, rate):
            return 0.0
        return bucket.time_to_token_s(rate)

    def retain_workers(self, known: set[str]) -> None:
        """Deletes the token buckets of all workers that are not in `known`."""
        for worker_id in set(self._buckets) - known:
            del self._buckets[worker_id]
