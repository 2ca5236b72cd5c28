"""Discounts by their age the figures of an earlier incarnation that are restored from a snapshot.

Pure: no clock, no I/O.  Each kind of figure has its own limit of age or half-life.  If the clock went back,
the age is unknown and counts as infinite.  An ejection is restored up to `MAX_EJECTION_AGE_S`.  A drain
stands until discovery reports the worker as ready.  A worker that was started since is a new one, which the
routing controller recognizes by its start time.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import replace

from ..model.inputs import RestoredState, WorkerHistory
from ..policy.outlier_ejection import MAX_EJECTED_RATIO as MAX_EJECTED_RATIO

# Age up to which an ejection, or a forwarder's avoidance of a worker, is restored; most of them end sooner.
MAX_EJECTION_AGE_S = 20.0
# Time in which a latency factor's distance from 1 halves.
LATENCY_FACTOR_HALVING_TIME_S = 30.0
# Age up to which a base latency is restored: a week, in which machines may be replaced.
MAX_BASE_LATENCY_AGE_S = 7 * 86_400.0
# Age up to which a proxy's request rate is restored; rates follow the time of day.
MAX_PROXY_RATE_AGE_S = 3_600.0
# Time in which the distance of an advisor's credit from that of a new advisor halves.
CREDIT_HALVING_TIME_S = 86_400.0
# Age up to which a forwarder restores its routing tables; the endpoint list removes workers that left since.
MAX_TABLE_AGE_S = 3_600.0
# How far a snapshot's time may lie ahead of the clock; a larger lead means that the clock was set back.
MAX_CLOCK_LEAD_S = 5.0


def snapshot_age(written_at: float, now: float) -> float:
    """Seconds since `written_at`; infinite if the clock was set back since."""
    age_s = now - written_at
    return math.inf if age_s < -MAX_CLOCK_LEAD_S else max(0.0, age_s)


def discounted_latency_factor(value: float, age_s: float) -> float:
    """The factor, at most 1, at this age: it fades to 1."""
    return 1.0 + (min(1.0, max(0.0, value)) - 1.0) * float(2.0 ** (-age_s / LATENCY_FACTOR_HALVING_TIME_S))


def discounted_credit(value: float, initial: float, age_s: float) -> float:
    """The credit at this age: it fades to `initial`, that of a new advisor."""
    return initial + (value - initial) * float(2.0 ** (-age_s / CREDIT_HALVING_TIME_S))


def restorable_ejections(histories: Iterable[WorkerHistory], age_s: float) -> set[int]:
    """Indices of the workers whose ejection is restored.

    There are none past `MAX_EJECTION_AGE_S`, and none if more than `MAX_EJECTED_RATIO` of the workers that
    stay were ejected (the policy applies the same ratio to weights): a manager that lost its network may have
    ejected all workers.
    """
    histories = list(histories)
    ejected = [
        history.worker_index for history in histories if history.was_ejected and not history.was_draining
    ]
    staying = sum(not history.was_draining for history in histories)
    if age_s > MAX_EJECTION_AGE_S or len(ejected) > MAX_EJECTED_RATIO * staying:
        return set()
    return set(ejected)


def discount_restored_state(restored: RestoredState, age_s: float) -> RestoredState:
    """Discounts an earlier incarnation's state by its age, for the routing controller."""
    ejected = restorable_ejections(restored.workers, age_s)
    histories = tuple(
        replace(
            history,
            base_latency_s=_valid_base_latency(history.base_latency_s, age_s),
            latency_factor=discounted_latency_factor(history.latency_factor, age_s),
            was_ejected=history.worker_index in ejected,
        )
        for history in restored.workers
    )
    rates = tuple(
        (proxy, rate)
        for proxy, rate in restored.proxy_rates
        if age_s <= MAX_PROXY_RATE_AGE_S and math.isfinite(rate) and rate >= 0
    )
    return RestoredState(restored.last_checkpoint, histories, rates)


def _valid_base_latency(base_latency_s: float, age_s: float) -> float:
    """The base latency, or 0 (unknown) if it is too old or not a valid duration."""
    is_valid = age_s <= MAX_BASE_LATENCY_AGE_S and math.isfinite(base_latency_s) and base_latency_s > 0
    return base_latency_s if is_valid else 0.0
