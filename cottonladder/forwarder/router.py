"""Where a request goes and whether it is admitted, as managers have ordered.

Pure: no clock, no I/O; chance comes from the bound method it is given.  The router carries out what managers
order (the protocol's "Orders on a stream") and decides nothing that the orders decide; where they are silent
the smallest choice stands here with its reason.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from .errors import OrderRejectedError
from .request_classes import RequestClass
from .retries import RetryPolicy

MAX_CONSECUTIVE_FAILURES = 3  # attempts failed in a row, after which a worker is avoided
AVOIDANCE_TIME_S = 4.0  # s that a worker is avoided on the average
MIN_AVOIDANCE_FACTOR = 0.75  # of AVOIDANCE_TIME_S, so that a fleet does not come back at one time
AVOIDANCE_JITTER_FACTOR = 0.5  # of AVOIDANCE_TIME_S, dealt by chance over the least
MAX_RESTORED_AVOIDANCE_S = 2.0 * AVOIDANCE_TIME_S  # s that a snapshot may keep a worker avoided
DEFAULT_TABLE_SIZE = 5  # listed workers of the own zone that stand in until a table is ordered
MAX_NAME_IN_ERROR = 32  # characters of a name that was not known

ADMIT_ALL = "none"  # mode of admission: nothing is shed
ADMIT_RATIO = "ratio"  # mode of admission: a share of what comes; else requests a second


@dataclass(slots=True)
class ClassTable:
    """What managers have ordered for one class; `admission` None: all requests are admitted."""

    weights: dict[str, float] = field(default_factory=dict)
    admission: float | None = None
    retry_policy: int = RetryPolicy.ONCE_IF_NOT_RUN

    def clear(self) -> None:
        """Back to what holds before any order."""
        self.weights = {}
        self.admission = None
        self.retry_policy = RetryPolicy.ONCE_IF_NOT_RUN

    def set_weight(self, worker_id: str, weight: float) -> None:
        """A weight of 0 takes the worker out."""
        if weight > 0:
            self.weights[worker_id] = weight
        else:
            self.weights.pop(worker_id, None)


@dataclass(frozen=True, slots=True)
class ConfigPart:
    """One part of a CONFIG, as read; `classes` empty: all.  `admission`: value and retry policy."""

    classes: tuple[str, ...] = ()
    replace: bool = False
    weights: tuple[tuple[str, float], ...] = ()
    admission: tuple[float, int] | None = None
    exclude: tuple[str, ...] = ()
    readmit: tuple[str, ...] = ()
    checkpoint: int | None = None

    def worker_ids(self) -> list[str]:
        """All workers that it names."""
        weighted = [worker_id for worker_id, _ in self.weights]
        return [*weighted, *self.exclude, *self.readmit]


@dataclass(slots=True)
class TokenBucket:
    """Requests of a class that may come now, where admission is a rate."""

    tokens: float
    updated_at: float

    def take(self, now: float, rate: float) -> bool:
        """Refills at `rate` a second, up to one second's worth and never less than 1; takes one."""
        refilled = self.tokens + (now - self.updated_at) * rate
        self.tokens = min(max(1.0, rate), refilled)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Router:
    """Tables by class, which workers are excluded, and which have failed here of late."""

    def __init__(
        self, classes: Iterable[RequestClass], admission_mode: str, random: Callable[[], float]
    ) -> None:
        self.classes = {request_class.name: request_class for request_class in classes}
        self.tables = {name: ClassTable() for name in self.classes}
        self.excluded: set[str] = set()  # as managers ordered; kept across streams
        self.leaving: set[str] = set()  # as the list has it: it drains or is gone
        self.has_ordered_table = False
        self._admission_mode = admission_mode
        self._random = random
        self._consecutive_failures: dict[str, int] = {}
        self._avoided_until: dict[str, float] = {}
        self._buckets: dict[str, TokenBucket] = {}

    # orders

    def check(self, parts: Iterable[ConfigPart], known: Callable[[str], bool]) -> None:
        """Raises OrderRejectedError for what can't be carried out, before any of it is."""
        for part in parts:
            for name in part.classes:
                if name not in self.classes:
                    raise OrderRejectedError(f"CONFIG: unknown class {name[:MAX_NAME_IN_ERROR]!r}")
            for worker_id in part.worker_ids():
                if not known(worker_id):
                    raise OrderRejectedError(
                        f"CONFIG: worker {worker_id[:MAX_NAME_IN_ERROR]!r} was never listed"
                    )

    def apply(self, parts: Iterable[ConfigPart]) -> list[int]:
        """Carries out one message, all its parts together; gives the checkpoints to acknowledge."""
        checkpoints: list[int] = []
        for part in parts:
            for name in part.classes or self.classes:
                self._apply_to_table(self.tables[name], part)
            self.excluded |= set(part.exclude)
            self.excluded -= set(part.readmit)
            if part.checkpoint is not None:
                checkpoints.append(part.checkpoint)
        return checkpoints

    def _apply_to_table(self, table: ClassTable, part: ConfigPart) -> None:
        if part.replace:
            table.clear()
            self.has_ordered_table = True
        for worker_id, weight in part.weights:
            table.set_weight(worker_id, weight)
        if part.admission is not None:
            table.admission, table.retry_policy = part.admission

    def use_default_table(self, listed: Iterable[str]) -> None:
        """Until a table is ordered: a few listed workers of the own zone, evenly."""
        if self.has_ordered_table:
            return
        workers = list(listed)[:DEFAULT_TABLE_SIZE]
        for table in self.tables.values():
            table.weights = dict.fromkeys(workers, 1.0)

    def restore(
        self, request_class: str, weights: dict[str, float], admission: float | None, retry_policy: int
    ) -> None:
        """A table that this forwarder was ordered before it was restarted."""
        is_known = retry_policy in tuple(RetryPolicy)
        policy = retry_policy if is_known else RetryPolicy.ONCE_IF_NOT_RUN
        self.tables[request_class] = ClassTable(dict(weights), admission, policy)
        self.has_ordered_table = True

    # workers that fail

    def avoided_until(self) -> dict[str, float]:
        """Which workers are avoided, until when."""
        return dict(self._avoided_until)

    def avoid(self, now: float, seconds_left: Mapping[str, float]) -> None:
        """Workers that a snapshot has as avoided."""
        for worker_id, left in seconds_left.items():
            self._avoided_until[worker_id] = now + min(left, MAX_RESTORED_AVOIDANCE_S)

    def record_result(self, now: float, worker_id: str, succeeded: bool) -> None:
        """The result of an attempt."""
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
        """Workers that are no longer listed and in no table are forgotten."""
        kept = known | {worker_id for table in self.tables.values() for worker_id in table.weights}
        self.excluded &= kept
        self.leaving &= kept
        for worker_id in set(self._consecutive_failures) - kept:
            del self._consecutive_failures[worker_id]
        for worker_id in set(self._avoided_until) - kept:
            del self._avoided_until[worker_id]

    # requests

    def is_excluded(self, worker_id: str) -> bool:
        """By a manager's order or because the list has it as leaving."""
        return worker_id in self.excluded or worker_id in self.leaving

    def candidates(self, request_class: str) -> dict[str, float]:
        """The workers that requests of a class may go to, with their weights."""
        weights = self.tables[request_class].weights
        return {worker_id: weight for worker_id, weight in weights.items() if not self.is_excluded(worker_id)}

    def select_worker(
        self,
        now: float,
        request_class: str,
        attempted: Iterable[str] = (),
        preferred: Mapping[str, float] | None = None,
    ) -> str | None:
        """By weight, of those that have not failed of late; if all have, of all: nobody is left without.

        `attempted`: workers that have failed this request.  `preferred`: workers with weights that were
        chosen for this request, of which those count that are still candidates.
        """
        candidates = self.candidates(request_class)
        if preferred is not None:
            candidates = {worker: weight for worker, weight in preferred.items() if worker in candidates}
        usable = {worker: weight for worker, weight in candidates.items() if worker not in attempted}
        healthy = {
            worker: weight for worker, weight in usable.items() if self._avoided_until.get(worker, 0.0) <= now
        }
        return self._select_by_weight(healthy or usable)

    def _select_by_weight(self, weights: Mapping[str, float]) -> str | None:
        point = self._random() * sum(weights.values())
        for worker_id, weight in weights.items():
            point -= weight
            if point < 0:
                return worker_id
        return next(reversed(list(weights)), None)

    def admits(self, now: float, request_class: str) -> bool:
        """By the admission in force: a share of what comes, or so many requests a second."""
        admission = self.tables[request_class].admission
        if admission is None or self._admission_mode == ADMIT_ALL:
            return True
        if self._admission_mode == ADMIT_RATIO:
            return self._random() < admission
        bucket = self._buckets.setdefault(request_class, TokenBucket(max(1.0, admission), now))
        return bucket.take(now, admission)
