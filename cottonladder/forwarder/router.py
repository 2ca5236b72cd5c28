"""What a forwarder does with one req: its kind, its worker, whether it is let in, whether it is tried again.

Pure: no clock, no I/O; chance comes from the bound method it is given.  It carries out what managers order
(`PROTOCOL`, "Orders on a stream") and decides nothing that the orders decide; where they are silent the
smallest choice stands here with its reason.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

MAX_CONSECUTIVE_FAILURES, AVOIDANCE_TIME = (
    3,
    4.0,
)  # failures in a row after which a worker is kept away from, and for how many s
DEFAULT_TABLE_SIZE = 5  # listed workers of the own zone that stand in until a table is ordered
NEVER, NEVER_RAN, ONCE, TWICE = range(4)  # the ways of trying again
IDEMPOTENT, IDEMPOTENCY_KEY, NOT_IDEMPOTENT = "replayable", "uniqued", "non-replayable"

# (way, does an answer not matter to a repeat) -> (further tries, only on proof that none ran)
RETRY_RULES: dict[tuple[int, bool], tuple[int, bool]] = {
    (NEVER, True): (0, True), (NEVER, False): (0, True),
    (NEVER_RAN, True): (1, True), (NEVER_RAN, False): (1, True),
    (ONCE, True): (1, False), (ONCE, False): (1, True),
    (TWICE, True): (2, False), (TWICE, False): (2, True),
}  # fmt: skip


class OrderRejected(ValueError):
    """An order that can't be carried out; the stream that brought it is reset."""


@dataclass(frozen=True, slots=True)
class MatchRule:
    """What a req must look like to be of a kind; what is empty asks nothing."""

    methods: frozenset[str] = frozenset()
    path: str = ""
    headers: tuple[tuple[str, str], ...] = ()

    def matches(self, method: str, path: str, headers: Mapping[str, str]) -> bool:
        if self.methods and method not in self.methods:
            return False
        prefix = self.path.rstrip("/")
        if self.path and not (path == prefix or path.startswith(prefix + "/")):
            return False
        return all(headers.get(name, "") == value for name, value in self.headers)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request kind: `timeout` is its client timeout in s, 0 where none is stated."""

    name: str
    rules: tuple[MatchRule, ...] = ()
    idempotency: str = NOT_IDEMPOTENT
    timeout: float = 0.0


def classify(
    classes: Iterable[RequestClass], method: str, path: str, headers: Mapping[str, str]
) -> RequestClass | None:
    """The first kind of which a rule fits; one without rules takes what is left."""
    rest = None
    for request_class in classes:
        if any(rule.matches(method, path, headers) for rule in request_class.rules):
            return request_class
        if not request_class.rules and rest is None:
            rest = request_class
    return rest


def should_retry(request_class: RequestClass, policy: int, attempts: int, may_have_run: bool) -> bool:
    """Whether a req that failed `tries` times may be sent to another worker.  `ran`: there is no proof that
    none of the tries ran; then only what is safe to repeat is sent again, whatever is ordered."""
    max_retries, only_if_never_ran = RETRY_RULES[policy, request_class.idempotency != NOT_IDEMPOTENT]
    return attempts <= max_retries and not (may_have_run and only_if_never_ran)


@dataclass(slots=True)
class ClassTable:
    weights: dict[str, float] = field(default_factory=dict)
    admission: float | None = None  # None: all are let in
    retry_policy: int = NEVER_RAN


@dataclass(frozen=True, slots=True)
class ConfigPart:
    """One part of a CONFIG, as read; `kinds` empty: all."""

    classes: tuple[str, ...] = ()
    replace: bool = False
    weights: tuple[tuple[str, float], ...] = ()
    admission: tuple[float, int] | None = None
    exclude: tuple[str, ...] = ()
    readmit: tuple[str, ...] = ()
    checkpoint: int | None = None


class Router:
    """Tables by kind, who is shut out, and who failed here of late."""

    def __init__(
        self, classes: Iterable[RequestClass], admission_mode: str, random: Callable[[], float]
    ) -> None:
        self.classes = {request_class.name: request_class for request_class in classes}
        self.tables = {name: ClassTable() for name in self.classes}
        self.excluded: set[str] = set()  # as managers ordered; kept across streams
        self.leaving: set[str] = set()  # as the list has it: it drains or is gone
        self.has_ordered_table = False
        self._admission_mode, self._random = admission_mode, random
        self._consecutive_failures: dict[str, int] = {}
        self._avoided_until: dict[str, float] = {}
        self._admission_tokens: dict[str, tuple[float, float]] = {}  # by kind: reqs that may come now, when

    def check(self, parts: Iterable[ConfigPart], known: Callable[[str], bool]) -> None:
        """Raises for what can't be carried out, before any of it is."""
        for part in parts:
            for name in part.classes:
                if name not in self.classes:
                    raise OrderRejected(f"CONFIG: unknown class {name[:32]!r}")
            for worker_id in [*(worker_id for worker_id, _ in part.weights), *part.exclude, *part.readmit]:
                if not known(worker_id):
                    raise OrderRejected(f"CONFIG: worker {worker_id[:32]!r} was never listed")

    def apply(self, parts: Iterable[ConfigPart]) -> list[int]:
        """Carries out one message, all its parts together; gives the marks to answer."""
        checkpoints: list[int] = []
        for part in parts:
            for name in part.classes or self.classes:
                table = self.tables[name]
                if part.replace:
                    table.weights, table.admission, table.retry_policy = {}, None, NEVER_RAN
                    self.has_ordered_table = True
                for worker_id, weight in part.weights:
                    if weight > 0:
                        table.weights[worker_id] = weight
                    else:
                        table.weights.pop(worker_id, None)
                if part.admission is not None:
                    table.admission, table.retry_policy = part.admission
            self.excluded |= set(part.exclude)
            self.excluded -= set(part.readmit)
            if part.checkpoint is not None:
                checkpoints.append(part.checkpoint)
        return checkpoints

    def use_default_table(self, listed: Iterable[str]) -> None:
        """Until a table is ordered: a few listed workers of the own zone, evenly."""
        if not self.has_ordered_table:
            for table in self.tables.values():
                table.weights = dict.fromkeys(list(listed)[:DEFAULT_TABLE_SIZE], 1.0)

    def restore(
        self, request_class: str, weights: dict[str, float], admission: float | None, retry_policy: int
    ) -> None:
        """A table that an earlier life was ordered."""
        self.tables[request_class] = ClassTable(
            dict(weights), admission, retry_policy if retry_policy in range(4) else NEVER_RAN
        )
        self.has_ordered_table = True

    def avoided_until(self) -> dict[str, float]:
        """Who is kept away from, until when."""
        return dict(self._avoided_until)

    def avoid(self, now: float, left: Mapping[str, float]) -> None:
        self._avoided_until.update(
            {worker_id: now + min(s, 2.0 * AVOIDANCE_TIME) for worker_id, s in left.items()}
        )

    def forget_unlisted(self, known: set[str]) -> None:
        """What is no longer listed and in no table is known no more."""
        kept = known | {worker_id for table in self.tables.values() for worker_id in table.weights}
        self.excluded &= kept
        self.leaving &= kept
        for by_worker in (self._consecutive_failures, self._avoided_until):
            for worker_id in [worker_id for worker_id in by_worker if worker_id not in kept]:
                del by_worker[worker_id]

    def is_excluded(self, worker_id: str) -> bool:
        return worker_id in self.excluded or worker_id in self.leaving

    def candidates(self, request_class: str) -> dict[str, float]:
        """Who may be picked for a kind, with weights."""
        return {
            worker_id: w
            for worker_id, w in self.tables[request_class].weights.items()
            if not self.is_excluded(worker_id)
        }

    def select_worker(
        self,
        now: float,
        request_class: str,
        attempted: Iterable[str] = (),
        preferred: Mapping[str, float] | None = None,
    ) -> str | None:
        """By weight, of those that have not failed of late; if all have, of all: nobody is left without.
        `among`: lines chosen for this req, of which those count that may still be picked."""
        candidates = self.candidates(request_class)
        if preferred is not None:
            candidates = {worker_id: w for worker_id, w in preferred.items() if worker_id in candidates}
        usable = {worker_id: w for worker_id, w in candidates.items() if worker_id not in attempted} or (
            {} if attempted else candidates
        )
        healthy = {
            worker_id: w for worker_id, w in usable.items() if self._avoided_until.get(worker_id, 0.0) <= now
        } or usable
        point = self._random() * sum(healthy.values())
        for worker_id, weight in healthy.items():
            point -= weight
            if point < 0:
                return worker_id
        return next(reversed(healthy), None)

    def record_result(self, now: float, worker_id: str, succeeded: bool) -> None:
        """The outcome of a try."""
        if succeeded:
            self._consecutive_failures.pop(worker_id, None)
            self._avoided_until.pop(worker_id, None)
            return
        self._consecutive_failures[worker_id] = self._consecutive_failures.get(worker_id, 0) + 1
        if self._consecutive_failures[worker_id] >= MAX_CONSECUTIVE_FAILURES:
            self._consecutive_failures[worker_id] = 0
            self._avoided_until[worker_id] = now + AVOIDANCE_TIME * (0.75 + 0.5 * self._random())

    def admits(self, now: float, request_class: str) -> bool:
        """By the level in force: a share of what comes, or so many reqs a second."""
        admission = self.tables[request_class].admission
        if admission is None or self._admission_mode == "none":
            return True
        if self._admission_mode == "ratio":
            return self._random() < admission
        tokens, point = self._admission_tokens.get(request_class, (max(1.0, admission), now))
        tokens = min(max(1.0, admission), tokens + (now - point) * admission)
        self._admission_tokens[request_class] = (tokens - (tokens >= 1.0), now)
        return tokens >= 1.0
