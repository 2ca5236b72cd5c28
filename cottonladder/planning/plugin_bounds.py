"""Bounds on what a plug-in's answer may change, and the circuit breaker of plug-ins that fail.

Pure: no clock, no I/O.  An answer selects among the workers that the manager's orders allow, and it can
forbid a retry but never demand one.  If it leaves no worker to select, the operators' file says whether the
request falls back to the whole routing table or is rejected.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

# Multiple of its weight that a preferred worker gets; the others still get some requests.
PREFERENCE_MULTIPLIER = 4.0
# Largest factor by which a plug-in may raise or lower a worker's capacity estimate.
MAX_CAPACITY_FACTOR = 2.0
# Part of the grace period that must remain for a veto, so that the drain still ends in time.
VETO_GRACE_FRACTION = 0.5
# Faults within `FAULT_WINDOW_S` that open a circuit breaker.
MAX_FAULTS = 5
# Time for which a fault counts.
FAULT_WINDOW_S = 10.0
# Time that a circuit breaker first stays open; it doubles each time a call fails while half-open.
MIN_OPEN_DURATION_S = 2.0
# Longest time that a circuit breaker stays open.
MAX_OPEN_DURATION_S = 120.0
# CPU time that all plug-ins together may take in a second.
MAX_CPU_FRACTION = 0.1
# Part of the table's heaviest weight below which a worker may be warming up, and gets no larger share.
LIGHT_WEIGHT_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class RoutePreference:
    """Labels that a request's worker must have, and labels that it should have."""

    required_labels: tuple[str, ...] = ()
    preferred_labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RoutingChoice:
    """The weights, by worker id, that a request's worker is selected by.

    `was_limited` tells whether the preference could not be followed in full.  Requests beyond
    `admitted_fraction` are rejected.
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
    """Applies a preference to the weights, by worker id, that the manager's orders let a proxy select from.

    A forwarder doesn't know which workers are warming up, but their weights are small beside the others.  A
    light weight therefore keeps its share of the whole table, whichever workers are left out.  The remaining
    share goes to the heavy ones among the chosen workers, or, if there are none, to the whole table or to no
    worker.
    """
    chosen = _with_required_labels(weights, labels, preference)
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


def _with_required_labels(
    weights: Mapping[str, float], labels: Mapping[str, Collection[str]], preference: RoutePreference
) -> dict[str, float]:
    """The weights of the workers that have every required label."""
    return {
        worker: weight
        for worker, weight in weights.items()
        if all(label in labels.get(worker, ()) for label in preference.required_labels)
    }


def _scaled_to(total: float, weights: Mapping[str, float]) -> dict[str, float]:
    """The weights in proportion, scaled to add up to `total`."""
    scale = total / sum(weights.values()) if weights else 0.0
    return {worker: weight * scale for worker, weight in weights.items()}


def _favour_preferred(
    shares: dict[str, float], labels: Mapping[str, Collection[str]], preference: RoutePreference
) -> None:
    """Multiplies the shares of workers that have a preferred label, in place."""
    for worker in shares:
        if any(label in labels.get(worker, ()) for label in preference.preferred_labels):
            shares[worker] *= PREFERENCE_MULTIPLIER


def clamp_capacity_factor(value: float | None) -> float:
    """A worker's capacity factor within its bounds; no answer counts as 1."""
    if value is None:
        return 1.0
    return min(MAX_CAPACITY_FACTOR, max(1.0 / MAX_CAPACITY_FACTOR, value))


def may_veto_migration(grace_left_s: float, grace_s: float) -> bool:
    """Whether a migration may still be postponed, rather than endanger the end of the drain."""
    return grace_left_s > VETO_GRACE_FRACTION * grace_s


class BreakerState(StrEnum):
    """States of a circuit breaker; the values appear in status output and logs."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "trying"


@dataclass(slots=True)
class CircuitBreaker:
    """Stops the calls of a plug-in that keeps failing; times are in seconds of the caller's clock."""

    state: BreakerState = BreakerState.CLOSED
    fault_times: list[float] = field(default_factory=list)
    open_until: float = 0.0
    open_duration_s: float = MIN_OPEN_DURATION_S
    open_count: int = 0

    def allow_call(self, now: float) -> bool:
        """Returns whether the plug-in may be called now; after the open time, allows one call."""
        if self.state == BreakerState.OPEN and now >= self.open_until:
            self.state = BreakerState.HALF_OPEN
            return True
        return self.state == BreakerState.CLOSED

    def record_success(self, now: float) -> None:
        """Records a call that succeeded.

        It closes a half-open breaker, or resets the open duration after a long time without a fault.
        """
        if self.state == BreakerState.HALF_OPEN:
            self.state = BreakerState.CLOSED
            self.fault_times = []
        elif not self.fault_times and now > self.open_until + MAX_OPEN_DURATION_S:
            self.open_duration_s = MIN_OPEN_DURATION_S

    def record_fault(self, now: float) -> bool:
        """Records a call that failed; tells whether that opened the breaker."""
        self.fault_times = [fault_at for fault_at in self.fault_times if now - fault_at < FAULT_WINDOW_S]
        self.fault_times.append(now)
        was_half_open = self.state == BreakerState.HALF_OPEN
        if not was_half_open and len(self.fault_times) < MAX_FAULTS:
            return False
        if was_half_open:
            self.open_duration_s = min(MAX_OPEN_DURATION_S, 2.0 * self.open_duration_s)
        self.state = BreakerState.OPEN
        self.open_until = now + self.open_duration_s
        self.fault_times = []
        self.open_count += 1
        return True


@dataclass(slots=True)
class CpuBudget:
    """A token bucket of the CPU time that all plug-ins together may take."""

    remaining_s: float = MAX_CPU_FRACTION
    refilled_at: float = 0.0

    def has_time_left(self, now: float) -> bool:
        """Refills the bucket; tells whether any time is left."""
        refill = (now - self.refilled_at) * MAX_CPU_FRACTION
        self.remaining_s = min(MAX_CPU_FRACTION, self.remaining_s + refill)
        self.refilled_at = now
        return self.remaining_s > 0

    def consume(self, seconds: float) -> None:
        """Takes the duration of a call off the budget."""
        self.remaining_s -= seconds
