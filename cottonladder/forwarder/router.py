"""What a forwarder does with one req: its kind, its worker, whether it is let in, whether it is tried again.

Pure: no clock, no I/O; chance comes from the bound method it is given.  It carries out what managers order
(`PROTOCOL`, "Orders on a stream") and decides nothing that the orders decide; where they are silent the
smallest choice stands here with its reason.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

STRIKES, AVOID = 3, 4.0  # failures in a row after which a worker is kept away from, and for how many s
FIRST_TABLE = 5  # listed workers of the own zone that stand in until a table is ordered
NEVER, NEVER_RAN, ONCE, TWICE = range(4)  # the ways of trying again
REPLAYABLE, UNIQUED, NON_REPLAYABLE = "replayable", "uniqued", "non-replayable"

# (way, does an answer not matter to a repeat) -> (further tries, only on proof that none ran)
FURTHER: dict[tuple[int, bool], tuple[int, bool]] = {
    (NEVER, True): (0, True), (NEVER, False): (0, True),
    (NEVER_RAN, True): (1, True), (NEVER_RAN, False): (1, True),
    (ONCE, True): (1, False), (ONCE, False): (1, True),
    (TWICE, True): (2, False), (TWICE, False): (2, True),
}  # fmt: skip


class Unusable(ValueError):
    """An order that can't be carried out; the stream that brought it is reset."""


@dataclass(frozen=True, slots=True)
class Rule:
    """What a req must look like to be of a kind; what is empty asks nothing."""

    methods: frozenset[str] = frozenset()
    path: str = ""
    headers: tuple[tuple[str, str], ...] = ()

    def fits(self, method: str, path: str, headers: Mapping[str, str]) -> bool:
        if self.methods and method not in self.methods:
            return False
        whole = self.path.rstrip("/")
        if self.path and not (path == whole or path.startswith(whole + "/")):
            return False
        return all(headers.get(name, "") == value for name, value in self.headers)


@dataclass(frozen=True, slots=True)
class Kind:
    """A request kind: `timeout` is its client timeout in s, 0 where none is stated."""

    name: str
    rules: tuple[Rule, ...] = ()
    replays: str = NON_REPLAYABLE
    timeout: float = 0.0


def kind_of(kinds: Iterable[Kind], method: str, path: str, headers: Mapping[str, str]) -> Kind | None:
    """The first kind of which a rule fits; one without rules takes what is left."""
    rest = None
    for kind in kinds:
        if any(rule.fits(method, path, headers) for rule in kind.rules):
            return kind
        if not kind.rules and rest is None:
            rest = kind
    return rest


def try_again(kind: Kind, way: int, tries: int, ran: bool) -> bool:
    """Whether a req that failed `tries` times may be sent to another worker.  `ran`: there is no proof that
    none of the tries ran; then only what is safe to repeat is sent again, whatever is ordered."""
    most, proof = FURTHER[way, kind.replays != NON_REPLAYABLE]
    return tries <= most and not (ran and proof)


@dataclass(slots=True)
class Table:
    rows: dict[str, float] = field(default_factory=dict)
    gate: float | None = None  # None: all are let in
    again: int = NEVER_RAN


@dataclass(frozen=True, slots=True)
class Part:
    """One part of a CONFIG, as read; `kinds` empty: all."""

    kinds: tuple[str, ...] = ()
    replace: bool = False
    rows: tuple[tuple[str, float], ...] = ()
    gate: tuple[float, int] | None = None
    drop: tuple[str, ...] = ()
    undrop: tuple[str, ...] = ()
    stamp: int | None = None


class Router:
    """Tables by kind, who is shut out, and who failed here of late."""

    def __init__(self, kinds: Iterable[Kind], levels: str, random: Callable[[], float]) -> None:
        self.kinds = {kind.name: kind for kind in kinds}
        self.tables = {name: Table() for name in self.kinds}
        self.out: set[str] = set()  # as managers ordered; kept across streams
        self.leaving: set[str] = set()  # as the list has it: it drains or is gone
        self.ordered = False
        self._levels, self._random = levels, random
        self._strikes: dict[str, int] = {}
        self._avoid: dict[str, float] = {}
        self._came: dict[str, tuple[float, float]] = {}  # by kind: reqs that may come now, when

    def check(self, parts: Iterable[Part], known: Callable[[str], bool]) -> None:
        """Raises for what can't be carried out, before any of it is."""
        for part in parts:
            for name in part.kinds:
                if name not in self.kinds:
                    raise Unusable(f"CONFIG: unknown class {name[:32]!r}")
            for be in [*(be for be, _ in part.rows), *part.drop, *part.undrop]:
                if not known(be):
                    raise Unusable(f"CONFIG: worker {be[:32]!r} was never listed")

    def apply(self, parts: Iterable[Part]) -> list[int]:
        """Carries out one message, all its parts together; gives the marks to answer."""
        marks: list[int] = []
        for part in parts:
            for name in part.kinds or self.kinds:
                table = self.tables[name]
                if part.replace:
                    table.rows, table.gate, table.again = {}, None, NEVER_RAN
                    self.ordered = True
                for be, weight in part.rows:
                    if weight > 0:
                        table.rows[be] = weight
                    else:
                        table.rows.pop(be, None)
                if part.gate is not None:
                    table.gate, table.again = part.gate
            self.out |= set(part.drop)
            self.out -= set(part.undrop)
            if part.stamp is not None:
                marks.append(part.stamp)
        return marks

    def begin(self, listed: Iterable[str]) -> None:
        """Until a table is ordered: a few listed workers of the own zone, evenly."""
        if not self.ordered:
            for table in self.tables.values():
                table.rows = dict.fromkeys(list(listed)[:FIRST_TABLE], 1.0)

    def restore(self, kind: str, rows: dict[str, float], gate: float | None, again: int) -> None:
        """A table that an earlier life was ordered."""
        self.tables[kind] = Table(dict(rows), gate, again if again in range(4) else NEVER_RAN)
        self.ordered = True

    def avoided(self) -> dict[str, float]:
        """Who is kept away from, until when."""
        return dict(self._avoid)

    def avoid(self, now: float, left: Mapping[str, float]) -> None:
        self._avoid.update({be: now + min(s, 2.0 * AVOID) for be, s in left.items()})

    def forget(self, known: set[str]) -> None:
        """What is no longer listed and in no table is known no more."""
        kept = known | {be for table in self.tables.values() for be in table.rows}
        self.out &= kept
        self.leaving &= kept
        for held in (self._strikes, self._avoid):
            for be in [be for be in held if be not in kept]:
                del held[be]

    def shut(self, be: str) -> bool:
        return be in self.out or be in self.leaving

    def lines(self, kind: str) -> dict[str, float]:
        """Who may be picked for a kind, with weights."""
        return {be: w for be, w in self.tables[kind].rows.items() if not self.shut(be)}

    def pick(
        self, now: float, kind: str, without: Iterable[str] = (), among: Mapping[str, float] | None = None
    ) -> str | None:
        """By weight, of those that have not failed of late; if all have, of all: nobody is left without.
        `among`: lines chosen for this req, of which those count that may still be picked."""
        lines = self.lines(kind)
        if among is not None:
            lines = {be: w for be, w in among.items() if be in lines}
        usable = {be: w for be, w in lines.items() if be not in without} or ({} if without else lines)
        good = {be: w for be, w in usable.items() if self._avoid.get(be, 0.0) <= now} or usable
        at = self._random() * sum(good.values())
        for be, weight in good.items():
            at -= weight
            if at < 0:
                return be
        return next(reversed(good), None)

    def met(self, now: float, be: str, good: bool) -> None:
        """The outcome of a try."""
        if good:
            self._strikes.pop(be, None)
            self._avoid.pop(be, None)
            return
        self._strikes[be] = self._strikes.get(be, 0) + 1
        if self._strikes[be] >= STRIKES:
            self._strikes[be] = 0
            self._avoid[be] = now + AVOID * (0.75 + 0.5 * self._random())

    def lets_in(self, now: float, kind: str) -> bool:
        """By the level in force: a share of what comes, or so many reqs a second."""
        gate = self.tables[kind].gate
        if gate is None or self._levels == "none":
            return True
        if self._levels == "ratio":
            return self._random() < gate
        tokens, at = self._came.get(kind, (max(1.0, gate), now))
        tokens = min(max(1.0, gate), tokens + (now - at) * gate)
        self._came[kind] = (tokens - (tokens >= 1.0), now)
        return tokens >= 1.0
