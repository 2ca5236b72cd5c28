"""Arithmetic of load shedding: shares by class, and one rate limit for proxies of uneven demand."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClassAdmission:
    """The admission of one class: the admitted share, and the value of the order for it."""

    admitted_share: float
    ordered_admission: float  # a share, or requests/s per proxy, depending on the admission mode


def admitted_shares(
    arrivals: Sequence[float], class_order: Iterable[int], shed_rate: float, min_share: float
) -> dict[int, float]:
    """Returns the admitted share of each class; `arrivals` is in requests/s by class.

    `shed_rate` requests/s are shed from the classes in `class_order`, down to `min_share` of each class.
    """
    shares: dict[int, float] = {}
    for class_index in class_order:
        arriving = arrivals[class_index]
        class_shed_rate = min(shed_rate, arriving * (1.0 - min_share))
        shares[class_index] = 1.0 - class_shed_rate / arriving if arriving > 0 else 1.0
        shed_rate -= class_shed_rate
    return shares


def common_rate_limit(rates: Iterable[float], share: float) -> float | None:
    """Returns the limit in requests/s per proxy that admits this share of the sum of the rates.

    Proxies whose rate is under the limit are admitted completely.  None means that no limit is needed.
    """
    ordered = sorted(rates)
    remaining_rate = share * sum(ordered)
    for index, rate in enumerate(ordered):
        remaining_count = len(ordered) - index
        if share < 1.0 and rate * remaining_count >= remaining_rate:
            return remaining_rate / remaining_count
        remaining_rate -= rate
    return None
