"""Bounds on what a plug-in's answer may change, and the circuit breaker of plug-ins that fail.

Pure: no clock, no I/O.  An answer selects among the workers that the manager's orders allow, and it can
forbid a retry but never demand one.  If it leaves no worker to select, the operators' file decides whether
the request falls back to the whole routing table or is rejected.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

# Factor by which the weight of a preferred worker is multiplied; the other workers still get some requests.
PREFERENCE_MULTIPLIER = 4.0
# Largest factor by which a plug-in may raise or lower a worker's capacity estimate.
MAX_CAPACITY_FACTOR = 2.0
# Fraction of the grace period that must remain for a veto to count, so that the drain still ends in time.
VETO_GRACE_FRACTION = 0.5
# Number of faults within `FAULT_WINDOW_S` that opens a circuit breaker.
MAX_FAULTS = 5
# Time for which a fault is counted.
FAULT_WINDOW_S = 10.0
# Time for which a circuit breaker first stays open; it doubles each time a call fails while half-open.
MIN_OPEN_DURATION_S = 2.0
# Longest time for which a circuit breaker stays open.
MAX_OPEN_DURATION_S = 120.0
# Limit for the elapsed time of all calls of plug-ins together, in seconds per second.
MAX_CALL_TIME_FRACTION = 0.1
# Fraction of the table's largest weight below which a worker may be warming up, and gets no larger share.
LIGHT_WEIGHT_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class RoutePreference:
    """Labels that the worker of a request must have, and labels that it should have."""

    required_labels: tuple[str, ...] = ()
    preferred_labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RoutingChoice:
    """The weights, by worker id, from which the worker of a request is selected.

    `was_limited` is true if the preference could not be followed in full.  Of the requests with this
    preference, only the fraction `admitted_fraction` is admitted; the others are rejected.
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
    """Applies a preference to the weights of the manager's orders, by worker id.

    A forwarder does not know which workers are warming up, but their weights are small compared with those
    of the other workers.  A light worker (`LIGHT_WEIGHT_RATIO`) therefore gets the same share of requests as
    in the whole table, even if other workers are left out.  The remaining share goes to the heavy workers
    that have the required labels.  If there are none, it goes to the rest of the table if `fall_back` is
    true, and otherwise these requests are not admitted.
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
    remaining_share = 1.0 - sum(light.values())
    if heavy:
        _multiply_preferred(heavy, labels, preference)
        return RoutingChoice(_scale_to_sum(remaining_share, heavy) | light, was_limited=bool(light))
    if not fall_back:
        return RoutingChoice(light, was_limited=True, admitted_fraction=1.0 - remaining_share)
    rest_of_table = {worker: weight for worker, weight in weights.items() if worker not in light}
    return RoutingChoice(light | _scale_to_sum(remaining_share, rest_of_table), was_limited=True)


def _with_required_labels(
    weights: Mapping[str, float], labels: Mapping[str, Collection[str]], preference: RoutePreference
) -> dict[str, float]:
    """Returns the weights of the workers that have every required label."""
    return {
        worker: weight
        for worker, weight in weights.items()
        if all(label in labels.get(worker, ()) for label in preference.required_labels)
    }


def _scale_to_sum(total: float, weights: Mapping[str, float]) -> dict[str, float]:
    """Returns the weights multiplied by a common factor, so that they add up to `total`."""
    scale = total / sum(weights.values()) if weights else 0.0
    return {worker: weight * scale for worker, weight in weights.items()}


def _multiply_preferred(
    shares: dict[str, float], labels: Mapping[str, Collection[str]], preference: RoutePreference
) -> None:
    """Multiplies the shares of the workers that have a preferred label, in place."""
    for worker in shares:
        if any(label in labels.get(worker, ()) for label in preference.preferred_labels):
            shares[worker] *= PREFERENCE_MULTIPLIER


def clamp_capacity_factor(value: float | None) -> float:
    """Returns a worker's capacity factor, limited to its bounds; None counts as 1."""
    if value is None:
        return 1.0
    return min(MAX_CAPACITY_FACTOR, max(1.0 / MAX_CAPACITY_FACTOR, value))


def may_veto_migration(grace_left_s: float, grace_s: float) -> bool:
    """Returns whether enough of the grace period is left to postpone a migration."""
    return grace_left_s > VETO_GRACE_FRACTION * grace_s


class BreakerState(StrEnum):
    """States of a circuit breaker; the values appear in status output and logs."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "trying"


@dataclass(slots=True)
class CircuitBreaker:
    """Circuit breaker that stops the calls of a plug-in that keeps failing.

    Times are in seconds of the caller's clock.
    """

    state: BreakerState = BreakerState.CLOSED
    fault_times: list[float] = field(default_factory=list)
    open_until: float = 0.0
    open_duration_s: float = MIN_OPEN_DURATION_S
    open_count: int = 0

    def allow_call(self, now: float) -> bool:
        """Returns whether the plug-in may be called now; after the open duration, one call is allowed."""
        if self.state == BreakerState.OPEN and now >= self.open_until:
            self.state = BreakerState.HALF_OPEN
            return True
        return self.state == BreakerState.CLOSED

    def record_success(self, now: float) -> None:
        """Records a call that succeeded.

        It closes a half-open breaker.  It resets the open duration if the breaker was last open more than
        `MAX_OPEN_DURATION_S` ago and no fault was recorded since.
        """
        if self.state == BreakerState.HALF_OPEN:
            self.state = BreakerState.CLOSED
            self.fault_times = []
        elif not self.fault_times and now > self.open_until + MAX_OPEN_DURATION_S:
            self.open_duration_s = MIN_OPEN_DURATION_S

    def record_fault(self, now: float) -> bool:
        """Records a call that failed; returns whether that opened the breaker."""
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
class CallTimeBudget:
    """Token bucket of the elapsed time of all plug-in calls; it holds at most one second's refill.

    Times are in seconds; `now` and `refilled_at` are of the caller's clock.
    """

    remaining_s: float = MAX_CALL_TIME_FRACTION
    refilled_at: float = 0.0

    def has_time_left(self, now: float) -> bool:
        """Refills the bucket; returns whether any time is left."""
        refill = (now - self.refilled_at) * MAX_CALL_TIME_FRACTION
        self.remaining_s = min(MAX_CALL_TIME_FRACTION, self.remaining_s + refill)
        self.refilled_at = now
        return self.remaining_s > 0

    def consume(self, seconds: float) -> None:
        """Subtracts the duration of a call from the budget."""
        self.remaining_s -= seconds
