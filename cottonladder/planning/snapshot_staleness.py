"""What an earlier life's figures are worth when they are read back.

Pure: no clock, no I/O.  Each figure ages by its kind, and what is not known to be fresh is taken as old:
a clock that went back tells no age.  Suspicions never outlive `SUSPECT_MOST`; drains stand until discovery
says otherwise; a worker that has started since is another one, which the module sees by its start.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import replace

from ..model.inputs import RestoredState, WorkerHistory
from ..policy.controller import OUT_MOST as OUT_MOST

MAX_SUSPICION_AGE = 20.0  # s that a suspicion may be old: a worker shut out is tried again after 5 s anyway
LATENCY_FACTOR_HALF_LIFE = 30.0  # s in which a slowness loses half of what it is away from none
MAX_BASE_LATENCY_AGE = 7 * 86_400.0  # s that a calm time holds: machines are moved about by the week
MAX_PROXY_RATE_AGE = 3_600.0  # s that a proxy's usual rate holds: an hour's change is what a day is made of
CREDIT_HALF_LIFE = 86_400.0  # s in which an advisor's credit loses half of what it is away from a start's
MAX_TABLE_AGE = 3_600.0  # s that a forwarder's tables hold: workers that left meanwhile are told by the list
MAX_CLOCK_LEAD = 5.0  # s that a file may be ahead of the clock: two readings of one clock, not a step


def snapshot_age(written_at: float, now: float) -> float:
    """s since; infinite where the clock went back past what two readings may differ by."""
    age = now - written_at
    return math.inf if age < -MAX_CLOCK_LEAD else max(0.0, age)


def discounted_latency_factor(value: float, age: float) -> float:
    """Fades to none."""
    return 1.0 + (min(1.0, max(0.0, value)) - 1.0) * float(2.0 ** (-age / LATENCY_FACTOR_HALF_LIFE))


def discounted_credit(value: float, start: float, age: float) -> float:
    """Fades to what a new advisor has."""
    return start + (value - start) * float(2.0 ** (-age / CREDIT_HALF_LIFE))


def valid_suspicions(histories: Iterable[WorkerHistory], age_s: float) -> set[int]:
    """Who may still be shut out: none past the span, and never more than may be shut out at a time, as the
    file of a manager that was cut off may suspect them all."""
    suspected = [past.worker_index for past in histories if past.was_ejected and not past.was_draining]
    staying = sum(not past.was_draining for past in histories)
    if age_s > MAX_SUSPICION_AGE or len(suspected) > OUT_MOST * staying:
        return set()
    return set(suspected)


def discount(restored: RestoredState, age_s: float) -> RestoredState:
    """The earlier life's knowledge as it may be given to the module now."""
    out = valid_suspicions(restored.workers, age_s)
    pasts = tuple(
        replace(
            past,
            base_latency_s=past.base_latency_s
            if age_s <= MAX_BASE_LATENCY_AGE
            and math.isfinite(past.base_latency_s)
            and past.base_latency_s > 0
            else 0.0,
            latency_factor=discounted_latency_factor(past.latency_factor, age_s),
            was_ejected=past.worker_index in out,
        )
        for past in restored.workers
    )
    rates = tuple(
        (p, r) for p, r in restored.proxy_rates if age_s <= MAX_PROXY_RATE_AGE and math.isfinite(r) and r >= 0
    )
    return RestoredState(restored.last_checkpoint, pasts, rates)
