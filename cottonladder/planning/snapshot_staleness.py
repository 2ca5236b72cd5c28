"""What an earlier incarnation's figures are worth when they are restored from a snapshot.

Pure: no clock, no I/O.  Each figure ages by its kind, and what is not known to be fresh is taken as old: a
clock that went back tells no age.  Suspicions never outlive `MAX_SUSPICION_AGE`; drains stand until discovery
says otherwise; a worker that has started since is another one, which the routing controller sees by its
start.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import replace

from ..model.inputs import RestoredState, WorkerHistory
from ..policy.outlier_ejection import MAX_EJECTED_RATIO as MAX_EJECTED_RATIO

# s that a suspicion may be old: an ejected worker is tried again after 5 s anyway.
MAX_SUSPICION_AGE = 20.0
# s in which a latency factor loses half of what it is away from 1.
LATENCY_FACTOR_HALF_LIFE = 30.0
# s that a base latency holds: machines are moved about by the week.
MAX_BASE_LATENCY_AGE = 7 * 86_400.0
# s that a proxy's usual rate holds: an hour's change is what a day is made of.
MAX_PROXY_RATE_AGE = 3_600.0
# s in which an advisor's credit loses half of what it is away from a new advisor's.
CREDIT_HALF_LIFE = 86_400.0
# s that a forwarder's tables hold: workers that left meanwhile are told by the list.
MAX_TABLE_AGE = 3_600.0
# s that a file may be ahead of the clock: two readings of one clock, not a step.
MAX_CLOCK_LEAD = 5.0


def snapshot_age(written_at: float, now: float) -> float:
    """Seconds since `written_at`; infinite where the clock went back past what two readings may differ by."""
    age = now - written_at
    return math.inf if age < -MAX_CLOCK_LEAD else max(0.0, age)


def discounted_latency_factor(value: float, age: float) -> float:
    """The factor, at most 1, after `age` seconds: it fades to 1."""
    return 1.0 + (min(1.0, max(0.0, value)) - 1.0) * float(2.0 ** (-age / LATENCY_FACTOR_HALF_LIFE))


def discounted_credit(value: float, start: float, age: float) -> float:
    """The credit after `age` seconds: it fades to `start`, what a new advisor has."""
    return start + (value - start) * float(2.0 ** (-age / CREDIT_HALF_LIFE))


def valid_suspicions(histories: Iterable[WorkerHistory], age_s: float) -> set[int]:
    """Indices of the workers that may still be suspected.

    None past `MAX_SUSPICION_AGE`, and none where more are than may be ejected at a time: the file of a
    manager that was cut off may suspect them all.
    """
    histories = list(histories)
    suspected = [past.worker_index for past in histories if past.was_ejected and not past.was_draining]
    staying = sum(not past.was_draining for past in histories)
    if age_s > MAX_SUSPICION_AGE or len(suspected) > MAX_EJECTED_RATIO * staying:
        return set()
    return set(suspected)


def discount(restored: RestoredState, age_s: float) -> RestoredState:
    """The earlier incarnation's knowledge as it may be given to the routing controller now."""
    suspected = valid_suspicions(restored.workers, age_s)
    histories = tuple(
        replace(
            past,
            base_latency_s=_valid_base_latency(past.base_latency_s, age_s),
            latency_factor=discounted_latency_factor(past.latency_factor, age_s),
            was_ejected=past.worker_index in suspected,
        )
        for past in restored.workers
    )
    rates = tuple(
        (proxy, rate)
        for proxy, rate in restored.proxy_rates
        if age_s <= MAX_PROXY_RATE_AGE and math.isfinite(rate) and rate >= 0
    )
    return RestoredState(restored.last_checkpoint, histories, rates)


def _valid_base_latency(base_latency_s: float, age_s: float) -> float:
    """The base latency, or 0 (unknown) where it is too old or none."""
    is_valid = age_s <= MAX_BASE_LATENCY_AGE and math.isfinite(base_latency_s) and base_latency_s > 0
    return base_latency_s if is_valid else 0.0
