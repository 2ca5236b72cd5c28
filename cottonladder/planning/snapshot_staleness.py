"""Discounts by age on the values that are restored from the snapshot of an earlier incarnation.

Pure: no clock, no I/O.  Each kind of value has its own maximum age or half-life.  If the clock was set back,
the age is unknown and counts as infinite.  An ejection is restored up to an age of `MAX_EJECTION_AGE_S`.  A
drain is restored at any age, and ends when discovery reports the worker as ready.  A worker that was started
after the snapshot counts as new; the routing controller recognizes it by its start time.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import replace

from ..model.inputs import RestoredState, WorkerHistory
from ..policy.outlier_ejection import MAX_EJECTED_RATIO as MAX_EJECTED_RATIO

# Largest age at which an ejection, or a forwarder's avoidance of a worker, is restored; most end sooner.
MAX_EJECTION_AGE_S = 20.0
# Time in which the difference between a latency factor and 1 halves.
LATENCY_FACTOR_HALVING_TIME_S = 30.0
# Largest age at which a base latency is restored: one week, in which machines may be replaced.
MAX_BASE_LATENCY_AGE_S = 7 * 86_400.0
# Largest age at which a proxy's request rate is restored; rates follow the time of day.
MAX_PROXY_RATE_AGE_S = 3_600.0
# Time in which the difference between an advisor's credit and that of a new advisor halves.
CREDIT_HALVING_TIME_S = 86_400.0
# Largest age at which a forwarder restores its routing tables; workers that left since are removed by the
# endpoint list.
MAX_TABLE_AGE_S = 3_600.0
# Largest time by which a snapshot may be ahead of the clock; a larger lead means that the clock was set back.
MAX_CLOCK_LEAD_S = 5.0


def snapshot_age(written_at: float, now: float) -> float:
    """Returns the seconds since `written_at`, or infinity if the clock was set back since."""
    age_s = now - written_at
    return math.inf if age_s < -MAX_CLOCK_LEAD_S else max(0.0, age_s)


def discounted_latency_factor(value: float, age_s: float) -> float:
    """Returns the factor, limited to 0..1, after it has moved towards 1 for `age_s` seconds."""
    return 1.0 + (min(1.0, max(0.0, value)) - 1.0) * float(2.0 ** (-age_s / LATENCY_FACTOR_HALVING_TIME_S))


def discounted_credit(value: float, initial: float, age_s: float) -> float:
    """Returns the credit after it has moved towards `initial`, that of a new advisor, for `age_s` seconds."""
    return initial + (value - initial) * float(2.0 ** (-age_s / CREDIT_HALVING_TIME_S))


def restorable_ejections(histories: Iterable[WorkerHistory], age_s: float) -> set[int]:
    """Returns the indices of the workers whose ejection is restored.

    The result is empty if the snapshot is older than `MAX_EJECTION_AGE_S`, or if more than
    `MAX_EJECTED_RATIO` of the workers that do not drain were ejected, because a manager that lost its network
    may have ejected all workers.  The policy applies the same ratio to weights.
    """
    histories = list(histories)
    ejected = [
        history.worker_index for history in histories if history.was_ejected and not history.was_draining
    ]
    not_draining_count = sum(not history.was_draining for history in histories)
    if age_s > MAX_EJECTION_AGE_S or len(ejected) > MAX_EJECTED_RATIO * not_draining_count:
        return set()
    return set(ejected)


def discount_restored_state(restored: RestoredState, age_s: float) -> RestoredState:
    """Returns the state of an earlier incarnation, discounted by its age, for the routing controller."""
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
    """Returns the base latency, or 0 (unknown) if it is too old or not a valid duration."""
    is_valid = age_s <= MAX_BASE_LATENCY_AGE_S and math.isfinite(base_latency_s) and base_latency_s > 0
    return base_latency_s if is_valid else 0.0
