"""Admission of requests and selection of their workers, as managers have ordered.

Pure: no clock, no I/O; random numbers come from the function passed to the router.  The router carries out
orders (the protocol's "Orders on a stream").  On its own it only avoids workers that have failed repeatedly,
and spreads requests evenly until a routing table is ordered.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ..model.orders import RetryPolicy
from .errors import UnknownClassError, UnlistedWorkerError
from .request_classes import RequestClass
from .routing_orders import ReceivedConfigPart
from .token_bucket import TokenBucket

MAX_CONSECUTIVE_FAILURES = 3  # consecutive failed attempts after which a worker is avoided
# A worker is avoided for AVOIDANCE_TIME_S, the mean, times a random factor, so that forwarders do not all
# return to it at the same time.  The factor is MIN_AVOIDANCE_FACTOR plus up to AVOIDANCE_JITTER_FACTOR.
AVOIDANCE_TIME_S = 4.0
MIN_AVOIDANCE_FACTOR = 0.75
AVOIDANCE_JITTER_FACTOR = 0.5
MAX_RESTORED_AVOIDANCE_S = 2.0 * AVOIDANCE_TIME_S  # upper limit of an avoidance restored from a snapshot
DEFAULT_TABLE_SIZE = 5  # number of workers in the default table


class AdmissionMode(Enum):
    """The meaning of the number in an admission order; the values are those of the operators' file."""

    NONE = "none"  # admission orders have no effect
    RATIO = "ratio"  # the fraction of requests that are admitted
    RATE = "rate"  # the number of requests a second that are admitted


@dataclass(slots=True)
class ClassTable:
    """The routing table of one request class; if `admission` is None, all requests are admitted."""

    weights: dict[str, float] = field(default_factory=dict)
    admission: float | None = None
    retry_policy: RetryPolicy = RetryPolicy.ONCE_IF_NOT_PROCESSED

    def clear(self) -> None:
        """Resets the table to its state before any order."""
        self.weights = {}
        self.admission = None
        self.retry_policy = RetryPolicy.ONCE_IF_NOT_PROCESSED

    def set_weight(self, worker_id: str, weight: float) -> None:
        """Sets the weight of a worker; 0 removes the worker."""
        if weight > 0:
            self.weights[worker_id] = weight
        else:
            self.weights.pop(worker_id, None)


class Router:
    """The routing tables by class, the excluded workers, and the workers avoided after failures.

    `excluded` contains the workers that managers have excluded, which stay excluded after the stream ends;
    `leaving` contains those that the endpoint list states as draining or gone.  `has_table` states whether a
    routing table has been ordered or restored; until then the default table is used.
    """

    def __init__(
        self, classes: Iterable[RequestClass], admission_mode: AdmissionMode, random: Callable[[], float]
    ) -> None:
        self.classes = {request_class.name: request_class for request_class in classes}
        self.tables = {name: ClassTable() for name in self.classes}
        self.excluded: set[str] = set()
        self.leaving: set[str] = set()
        self.has_table = False
        self._admission_mode = admission_mode
        self._random = random
        self._consecutive_failures: dict[str, int] = {}
        self._avoided_until: dict[str, float] = {}
        self._buckets: dict[str, TokenBucket] = {}

    # Orders.

    def check(self, parts: Iterable[ReceivedConfigPart], is_known: Callable[[str], bool]) -> None:
        """Raises OrderRejectedError if a part of a message can't be carried out; changes nothing."""
        for part in parts:
            for name in part.classes:
                if name not in self.classes:
                    raise UnknownClassError(name)
            for worker_id in part.worker_ids():
                if not is_known(worker_id):
                    raise UnlistedWorkerError("CONFIG", worker_id)

    def apply(self, parts: Iterable[ReceivedConfigPart]) -> list[int]:
        """Carries out the parts of one message, and returns the checkpoints to acknowledge."""
        checkpoints: list[int] = []
        for part in parts:
            for name in part.classes or self.classes:
                self._apply_to_table(self.tables[name], part)
            self.excluded |= set(part.excluded)
            self.excluded -= set(part.readmitted)
            if part.checkpoint is not None:
                checkpoints.append(part.checkpoint)
        return checkpoints

    def _apply_to_table(self, table: ClassTable, part: ReceivedConfigPart) -> None:
        if part.replaces_table:
            table.clear()
            self.has_table = True
        for worker_id, weight in part.weights:
            table.set_weight(worker_id, weight)
        if part.admission is not None:
            table.admission = part.admission.ratio_or_rate
            table.retry_policy = part.admission.retry_policy

    def use_default_table(self, listed: Iterable[str]) -> None:
        """Spreads requests evenly over the first `DEFAULT_TABLE_SIZE` workers of `listed`.

        `listed` contains the workers of the own zone if it has any.  Does nothing once a table has been
        ordered or restored.

        `listed` contains the workers of the own zone if it has any.
        """
        if self.has_table:
            return
        workers = list(listed)[:DEFAULT_TABLE_SIZE]
        for table in self.tables.values():
            table.weights = dict.fromkeys(workers, 1.0)

    def restore(
        self, request_class: str, weights: dict[str, float], admission: float | None, retry_policy: int
    ) -> None:
        """Restores a table from a snapshot; an unknown retry policy is replaced by the default."""
        is_known = retry_policy in tuple(RetryPolicy)
        policy = RetryPolicy(retry_policy) if is_known else RetryPolicy.ONCE_IF_NOT_PROCESSED
        self.tables[request_class] = ClassTable(dict(weights), admission, policy)
        self.has_table = True

    # Workers that have failed.

    def avoided_until(self) -> dict[str, float]:
        """Returns the time until which each worker is avoided; some of the times may have passed."""
        return dict(self._avoided_until)

    def restore_avoidance(self, now: float, seconds_left: Mapping[str, float]) -> None:
        """Avoids the workers of a snapshot for the seconds left, at most `MAX_RESTORED_AVOIDANCE_S`."""
        for worker_id, left_s in seconds_left.items():
            self._avoided_until[worker_id] = now + min(left_s, MAX_RESTORED_AVOIDANCE_S)

    def record_result(self, now: float, worker_id: str, succeeded: bool) -> None:
        """Records the result of an attempt; `MAX_CONSECUTIVE_FAILURES` in a row make the worker avoided."""
        if succeeded:
            self._consecutive_failures.pop(worker_id, None)
            self._avoided_until.pop(worker_id, None)
            return
        failures = self._consecutive_failures.get(worker_id, 0) + 1
        if failures < MAX_CONSECUTIVE_FAILURES:
            self._consecutive_failures[worker_id] = failures
            return
        self._consecutive_failures[worker_id] = 0
        factor = MIN_AVOIDANCE_FACTOR + AVOIDANCE_JITTER_FACTOR * self._random()
        self._avoided_until[worker_id] = now + AVOIDANCE_TIME_S * factor

    def retain_workers(self, known: set[str]) -> None:
        """Deletes the state of the workers that are neither known nor in a table."""
        retained = known | {worker_id for table in self.tables.values() for worker_id in table.weights}
        self.excluded &= retained
        self.leaving &= retained
        for worker_id in set(self._consecutive_failures) - retained:
            del self._consecutive_failures[worker_id]
        for worker_id in set(self._avoided_until) - retained:
            del self._avoided_until[worker_id]

    # Requests.

    def is_excluded(self, worker_id: str) -> bool:
        """Returns whether a manager's order or the endpoint list excludes a worker from requests."""
        return worker_id in self.excluded or worker_id in self.leaving

    def candidates(
        self, request_class: str, preferred: Mapping[str, float] | None = None
    ) -> dict[str, float]:
        """Returns the workers that requests of a class may be sent to, with their weights.

        `preferred` contains the weights chosen for one request, which replace those of the table; workers
        that are excluded or not in the table are ignored.
        """
        table = self.tables[request_class].weights
        candidates = {worker: weight for worker, weight in table.items() if not self.is_excluded(worker)}
        if preferred is None:
            return candidates
        return {worker: weight for worker, weight in preferred.items() if worker in candidates}

    def select_worker(
        self,
        now: float,
        request_class: str,
        attempted: Iterable[str] = (),
        preferred: Mapping[str, float] | None = None,
    ) -> str | None:
        """Selects a worker at random by weight, if possible one that is not avoided; None if there is none.

        `attempted` names the workers that have already failed this request, which are not selected again.
        For `preferred` see `candidates`.
        """
        candidates = self.candidates(request_class, preferred)
        usable = {worker: weight for worker, weight in candidates.items() if worker not in attempted}
        healthy = {
            worker: weight for worker, weight in usable.items() if self._avoided_until.get(worker, 0.0) <= now
        }
        return self._select_by_weight(healthy or usable)

    def _select_by_weight(self, weights: Mapping[str, float]) -> str | None:
        """Returns a worker with a probability proportional to its weight; None if `weights` is empty.

        Rounding may leave `point` at 0 or more after the last worker, which is returned in that case.
        """
        point = self._random() * sum(weights.values())
        for worker_id, weight in weights.items():
            point -= weight
            if point < 0:
                return worker_id
        return next(reversed(list(weights)), None)

    def admits(self, now: float, request_class: str) -> bool:
        """Returns whether a request of a class is admitted, by the ordered admission ratio or rate.

        In mode RATE, an admitted request uses a token of the class's bucket.
        """
        admission = self.tables[request_class].admission
        if admission is None or self._admission_mode is AdmissionMode.NONE:
            return True
        if self._admission_mode is AdmissionMode.RATIO:
            return self._random() < admission
        bucket = self._buckets.setdefault(request_class, TokenBucket.full(now, admission))
        return bucket.try_acquire(now, admission)
