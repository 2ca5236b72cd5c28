"""What a plug-in's answer may change, and when a plug-in is left alone.

Pure: no clock, no I/O.  Answers can't break a rule: they choose among workers that the orders allow, they can
forbid a further try and never ask for one, and where they would leave nobody to pick, operators have said
whether the req falls back to the whole table or is refused at once.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

PREFERENCE_MULTIPLIER = (
    4.0  # times its weight that a preferred worker gets: most reqs, and the rest keep it honest
)
MAX_CAPACITY_FACTOR = 2.0  # that a plug-in may lift or lower a worker's estimate by
VETO_GRACE_FRACTION = (
    0.5  # part of the grace that must be left for a veto: the other half is enough to drain in
)
MAX_FAULTS, FAULT_WINDOW = 5, 10.0  # faults within so many s open a breaker
MIN_OPEN_DURATION, MAX_OPEN_DURATION = 2.0, 120.0  # s that it stays open, doubled each time it opens again
MAX_CPU_FRACTION = 0.1  # of a second that all plug-ins together may take in a second
CLOSED, OPEN, TRYING = "closed", "open", "trying"


@dataclass(frozen=True, slots=True)
class RoutePreference:
    """A plug-in's answer, as far as routing is concerned."""

    need: tuple[str, ...] = ()
    prefer: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RoutingChoice:
    """The lines to pick from; `let`: the part of the reqs that may go there, the others are refused."""

    weights: dict[str, float]
    was_limited: bool = False
    admitted_fraction: float = 1.0


LIGHT_WEIGHT_RATIO = (
    0.5  # of the table's heaviest line, under which a worker is taken for one that must not get more
)


def narrow_candidates(
    weights: Mapping[str, float],
    labels: Mapping[str, Collection[str]],
    preference: RoutePreference,
    fall_back: bool,
) -> RoutingChoice:
    """`lines`: what the orders let a proxy pick from, so nobody that drains is among them.

    A forwarder isn't told who is cold; a cold worker's line is small beside the others'.  So a light line
    keeps the share that it has of the whole table, whatever else is left out: what that leaves goes to the
    heavy among the chosen, and if there are none, to the whole table or to nobody."""
    chosen = {
        be: w for be, w in weights.items() if all(label in labels.get(be, ()) for label in preference.need)
    }
    whole = sum(weights.values())
    if whole <= 0 or (not chosen and fall_back):
        return RoutingChoice(dict(weights), was_limited=bool(weights))
    if not chosen:
        return RoutingChoice({}, was_limited=True, admitted_fraction=0.0)
    least = LIGHT_WEIGHT_RATIO * max(weights.values())
    shares = {be: w / whole for be, w in chosen.items()}
    heavy = {be: share for be, share in shares.items() if chosen[be] >= least}
    light = {be: share for be, share in shares.items() if be not in heavy}
    for be in heavy:
        if any(label in labels.get(be, ()) for label in preference.prefer):
            heavy[be] *= PREFERENCE_MULTIPLIER
    spare = 1.0 - sum(light.values())
    if heavy:
        scale = spare / sum(heavy.values())
        return RoutingChoice(
            {be: share * scale for be, share in heavy.items()} | light, was_limited=bool(light)
        )
    if not fall_back:
        return RoutingChoice(light, was_limited=True, admitted_fraction=1.0 - spare)
    others = {be: w for be, w in weights.items() if be not in light}
    scale = spare / sum(others.values()) if others else 0.0
    return RoutingChoice(light | {be: w * scale for be, w in others.items()}, was_limited=True)


def bounded_factor(value: float | None) -> float:
    """A worker's factor as it may be: none is 1, nothing takes a worker out or lifts it past what advice
    may."""
    return 1.0 if value is None else min(MAX_CAPACITY_FACTOR, max(1.0 / MAX_CAPACITY_FACTOR, value))


def may_veto(grace_left_s: float, grace_s: float) -> bool:
    """Whether a move may still be put off; near the end of the grace drains come first."""
    return grace_left_s > VETO_GRACE_FRACTION * grace_s


@dataclass(slots=True)
class CircuitBreaker:
    """Leaves a plug-in alone that keeps failing."""

    state: str = CLOSED
    fault_times: list[float] = field(default_factory=list)
    open_until: float = 0.0
    open_duration: float = MIN_OPEN_DURATION
    open_count: int = 0

    def allows(self, now: float) -> bool:
        """Whether it may be called now; one call tries whether it is sound again."""
        if self.state == OPEN and now >= self.open_until:
            self.state = TRYING
            return True
        return self.state == CLOSED

    def record_success(self, now: float) -> None:
        if self.state == TRYING:
            self.state, self.fault_times = CLOSED, []
        elif not self.fault_times and now > self.open_until + MAX_OPEN_DURATION:
            self.open_duration = MIN_OPEN_DURATION

    def record_fault(self, now: float) -> bool:
        """True where this fault opens it."""
        self.fault_times = [at for at in self.fault_times if now - at < FAULT_WINDOW] + [now]
        if self.state == TRYING or len(self.fault_times) >= MAX_FAULTS:
            if self.state == TRYING:
                self.open_duration = min(MAX_OPEN_DURATION, 2.0 * self.open_duration)
            self.state, self.open_until, self.fault_times = OPEN, now + self.open_duration, []
            self.open_count += 1
            return True
        return False


@dataclass(slots=True)
class CpuBudget:
    """Time that all plug-ins together may take, as a bucket of one second's part."""

    remaining_s: float = MAX_CPU_FRACTION
    refilled_at: float = 0.0

    def allows(self, now: float) -> bool:
        self.remaining_s = min(
            MAX_CPU_FRACTION, self.remaining_s + (now - self.refilled_at) * MAX_CPU_FRACTION
        )
        self.refilled_at = now
        return self.remaining_s > 0

    def consume(self, seconds: float) -> None:
        self.remaining_s -= seconds
