"""What a plug-in's answer may change, and when a plug-in is left alone.

Pure: no clock, no I/O.  Answers can't break a rule: they choose among workers that the orders allow, they can
forbid a retry and never ask for one, and where they would leave nobody to select, operators have said whether
the request falls back to the whole table or is rejected at once.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

# Times its weight that a preferred worker gets: most requests, and the rest keep the preference honest.
PREFERENCE_MULTIPLIER = 4.0
# That a plug-in may lift or lower a worker's estimate by.
MAX_CAPACITY_FACTOR = 2.0
# Part of the grace period that must be left for a veto: the other half is enough to drain in.
VETO_GRACE_FRACTION = 0.5
# Faults within `FAULT_WINDOW` that open a circuit breaker.
MAX_FAULTS = 5
# s that a fault counts for.
FAULT_WINDOW = 10.0
# s that a circuit breaker stays open at first; doubled each time a trial fails.
MIN_OPEN_DURATION = 2.0
# s that it stays open at the most.
MAX_OPEN_DURATION = 120.0
# Part of a second that all plug-ins together may take in a second.
MAX_CPU_FRACTION = 0.1
# Part of the table's heaviest weight, under which a worker is taken for one that must not get more.
LIGHT_WEIGHT_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class RoutePreference:
    """A plug-in's answer, as far as routing is concerned: labels, named as in the interface."""

    need: tuple[str, ...] = ()
    prefer: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RoutingChoice:
    """The weights by worker id to select by.

    `was_limited`: the preference asked for more than may be; `admitted_fraction`: the part of the requests
    that may go there, the others are rejected.
    """

    weights: dict[str, float]
    was_limited: bool = False
    admitted_fraction: float = 1.0


def narrow_candidates(
    weights: Mapping[str, float],
    labels: Mapping[str, Collection[str]],
    preference: RoutePreference,
    fall_back: bool,
) -> RoutingChoice:
    """Applies a preference to `weights`, by worker id: what the orders let a proxy select from.

    Nobody that drains is among them.  A forwarder isn't told which worker warms up; such a worker's weight is
    small beside the others'.  So a light weight keeps the share that it has of the whole table, whatever else
    is left out: what that leaves goes to the heavy among the chosen, and if there are none, to the whole
    table or to nobody.
    """
    chosen = _with_needed_labels(weights, labels, preference)
    weight_sum = sum(weights.values())
    if weight_sum <= 0 or (not chosen and fall_back):
        return RoutingChoice(dict(weights), was_limited=bool(weights))
    if not chosen:
        return RoutingChoice({}, was_limited=True, admitted_fraction=0.0)
    light_below = LIGHT_WEIGHT_RATIO * max(weights.values())
    shares = {worker: weight / weight_sum for worker, weight in chosen.items()}
    heavy = {worker: share for worker, share in shares.items() if chosen[worker] >= light_below}
    light = {worker: share for worker, share in shares.items() if worker not in heavy}
    spare = 1.0 - sum(light.values())
    if heavy:
        _favour_preferred(heavy, labels, preference)
        return RoutingChoice(_scaled_to(spare, heavy) | light, was_limited=bool(light))
    if not fall_back:
        return RoutingChoice(light, was_limited=True, admitted_fraction=1.0 - spare)
    others = {worker: weight for worker, weight in weights.items() if worker not in light}
    return RoutingChoice(light | _scaled_to(spare, others), was_limited=True)


def _with_needed_labels(
    weights: Mapping[str, float], labels: Mapping[str, Collection[str]], preference: RoutePreference
) -> dict[str, float]:
    """The weights of workers that carry every needed label."""
    return {
        worker: weight
        for worker, weight in weights.items()
        if all(label in labels.get(worker, ()) for label in preference.need)
    }


def _scaled_to(total: float, weights: Mapping[str, float]) -> dict[str, float]:
    """The weights in their proportions, so that they add up to `total`."""
    scale = total / sum(weights.values()) if weights else 0.0
    return {worker: weight * scale for worker, weight in weights.items()}


def _favour_preferred(
    shares: dict[str, float], labels: Mapping[str, Collection[str]], preference: RoutePreference
) -> None:
    """Multiplies, in place, the shares of workers that carry a preferred label."""
    for worker in shares:
        if any(label in labels.get(worker, ()) for label in preference.prefer):
            shares[worker] *= PREFERENCE_MULTIPLIER


def bounded_factor(value: float | None) -> float:
    """A worker's capacity factor as it may be: none is 1; nothing takes a worker out or lifts it too far."""
    return 1.0 if value is None else min(MAX_CAPACITY_FACTOR, max(1.0 / MAX_CAPACITY_FACTOR, value))


def may_veto(grace_left_s: float, grace_s: float) -> bool:
    """Whether a migration may still be put off; near the end of the grace period drains come first."""
    return grace_left_s > VETO_GRACE_FRACTION * grace_s


class BreakerState(StrEnum):
    """States of a circuit breaker; the values are what operators are shown."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "trying"


@dataclass(slots=True)
class CircuitBreaker:
    """Leaves a plug-in alone that keeps failing.  Times are in seconds of the caller's clock."""

    state: BreakerState = BreakerState.CLOSED
    fault_times: list[float] = field(default_factory=list)
    open_until: float = 0.0
    open_duration: float = MIN_OPEN_DURATION
    open_count: int = 0

    def allows(self, now: float) -> bool:
        """Whether the plug-in may be called now; when open ends, one call tries whether it is sound again."""
        if self.state == BreakerState.OPEN and now >= self.open_until:
            self.state = BreakerState.HALF_OPEN
            return True
        return self.state == BreakerState.CLOSED

    def record_success(self, now: float) -> None:
        """A call gave an answer."""
        if self.state == BreakerState.HALF_OPEN:
            self.state = BreakerState.CLOSED
            self.fault_times = []
        elif not self.fault_times and now > self.open_until + MAX_OPEN_DURATION:
            self.open_duration = MIN_OPEN_DURATION

    def record_fault(self, now: float) -> bool:
        """A call failed; true where this fault opens the breaker."""
        self.fault_times = [fault_at for fault_at in self.fault_times if now - fault_at < FAULT_WINDOW]
        self.fault_times.append(now)
        was_trial = self.state == BreakerState.HALF_OPEN
        if not was_trial and len(self.fault_times) < MAX_FAULTS:
            return False
        if was_trial:
            self.open_duration = min(MAX_OPEN_DURATION, 2.0 * self.open_duration)
        self.state = BreakerState.OPEN
        self.open_until = now + self.open_duration
        self.fault_times = []
        self.open_count += 1
        return True


@dataclass(slots=True)
class CpuBudget:
    """Time that all plug-ins together may take: a token bucket of one second's part."""

    remaining_s: float = MAX_CPU_FRACTION
    refilled_at: float = 0.0

    def allows(self, now: float) -> bool:
        """Refills the bucket; whether anything is left."""
        refill = (now - self.refilled_at) * MAX_CPU_FRACTION
        self.remaining_s = min(MAX_CPU_FRACTION, self.remaining_s + refill)
        self.refilled_at = now
        return self.remaining_s > 0

    def consume(self, seconds: float) -> None:
        """Takes what a call took."""
        self.remaining_s -= seconds
