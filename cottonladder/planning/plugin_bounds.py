"""What a plug-in's answer may change, and when a plug-in is left alone.

Pure: no clock, no I/O.  Answers can't break a rule: they choose among workers that the orders allow, they can
forbid a further try and never ask for one, and where they would leave nobody to pick, operators have said
whether the req falls back to the whole table or is refused at once.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

PREFER = 4.0  # times its weight that a preferred worker gets: most reqs, and the rest keep it honest
FACTOR_MOST = 2.0  # that a plug-in may lift or lower a worker's estimate by
VETO_UNTIL = 0.5  # part of the grace that must be left for a veto: the other half is enough to drain in
FAULTS_MOST, FAULT_SPAN = 5, 10.0  # faults within so many s open a breaker
OPEN_LEAST, OPEN_MOST = 2.0, 120.0  # s that it stays open, doubled each time it opens again
PART_MOST = 0.1  # of a second that all plug-ins together may take in a second
CLOSED, OPEN, TRYING = "closed", "open", "trying"


@dataclass(frozen=True, slots=True)
class RoutePreference:
    """A plug-in's answer, as far as routing is concerned."""

    need: tuple[str, ...] = ()
    prefer: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Choice:
    """The lines to pick from; `let`: the part of the reqs that may go there, the others are refused."""

    lines: dict[str, float]
    clipped: bool = False
    let: float = 1.0


LIGHT = 0.5  # of the table's heaviest line, under which a worker is taken for one that must not get more


def narrowed(
    lines: Mapping[str, float], labels: Mapping[str, Collection[str]], wish: RoutePreference, fall_back: bool
) -> Choice:
    """`lines`: what the orders let a proxy pick from, so nobody that drains is among them.

    A forwarder isn't told who is cold; a cold worker's line is small beside the others'.  So a light line
    keeps the share that it has of the whole table, whatever else is left out: what that leaves goes to the
    heavy among the chosen, and if there are none, to the whole table or to nobody."""
    chosen = {be: w for be, w in lines.items() if all(label in labels.get(be, ()) for label in wish.need)}
    whole = sum(lines.values())
    if whole <= 0 or (not chosen and fall_back):
        return Choice(dict(lines), clipped=bool(lines))
    if not chosen:
        return Choice({}, clipped=True, let=0.0)
    least = LIGHT * max(lines.values())
    shares = {be: w / whole for be, w in chosen.items()}
    heavy = {be: share for be, share in shares.items() if chosen[be] >= least}
    light = {be: share for be, share in shares.items() if be not in heavy}
    for be in heavy:
        if any(label in labels.get(be, ()) for label in wish.prefer):
            heavy[be] *= PREFER
    spare = 1.0 - sum(light.values())
    if heavy:
        scale = spare / sum(heavy.values())
        return Choice({be: share * scale for be, share in heavy.items()} | light, clipped=bool(light))
    if not fall_back:
        return Choice(light, clipped=True, let=1.0 - spare)
    others = {be: w for be, w in lines.items() if be not in light}
    scale = spare / sum(others.values()) if others else 0.0
    return Choice(light | {be: w * scale for be, w in others.items()}, clipped=True)


def factor_of(value: float | None) -> float:
    """A worker's factor as it may be: none is 1, nothing takes a worker out or lifts it past what advice
    may."""
    return 1.0 if value is None else min(FACTOR_MOST, max(1.0 / FACTOR_MOST, value))


def may_veto(left: float, grace: float) -> bool:
    """Whether a move may still be put off; near the end of the grace drains come first."""
    return left > VETO_UNTIL * grace


@dataclass(slots=True)
class Breaker:
    """Leaves a plug-in alone that keeps failing."""

    state: str = CLOSED
    faults: list[float] = field(default_factory=list)
    until: float = 0.0
    wait: float = OPEN_LEAST
    opened: int = 0

    def lets(self, now: float) -> bool:
        """Whether it may be called now; one call tries whether it is sound again."""
        if self.state == OPEN and now >= self.until:
            self.state = TRYING
            return True
        return self.state == CLOSED

    def good(self, now: float) -> None:
        if self.state == TRYING:
            self.state, self.faults = CLOSED, []
        elif not self.faults and now > self.until + OPEN_MOST:
            self.wait = OPEN_LEAST

    def bad(self, now: float) -> bool:
        """True where this fault opens it."""
        self.faults = [at for at in self.faults if now - at < FAULT_SPAN] + [now]
        if self.state == TRYING or len(self.faults) >= FAULTS_MOST:
            if self.state == TRYING:
                self.wait = min(OPEN_MOST, 2.0 * self.wait)
            self.state, self.until, self.faults = OPEN, now + self.wait, []
            self.opened += 1
            return True
        return False


@dataclass(slots=True)
class CpuBudget:
    """Time that all plug-ins together may take, as a bucket of one second's part."""

    left: float = PART_MOST
    at: float = 0.0

    def lets(self, now: float) -> bool:
        self.left = min(PART_MOST, self.left + (now - self.at) * PART_MOST)
        self.at = now
        return self.left > 0

    def took(self, seconds: float) -> None:
        self.left -= seconds
