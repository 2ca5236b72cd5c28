"""Arithmetic of load shedding: shares by class, and one rate limit for proxies of uneven demand."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClassAdmission:
    """What is admitted of one class: the share, and the figure that the order for it carries."""

    admitted_share: float
    ordered_admission: float  # a share, or requests/s of one proxy, by the deployment's admission mode


def admitted_shares(
    arrivals: Sequence[float], order: Iterable[int], shed: float, min_share: float
) -> dict[int, float]:
    """Returns the admitted share of each class.

    `shed` requests/s are taken from the classes in the given order, down to `min_share` of each class.
    """
    shares: dict[int, float] = {}
    for class_index in order:
        arriving = arrivals[class_index]
        class_shed = min(shed, arriving * (1.0 - min_share))
        shares[class_index] = 1.0 - class_shed / arriving if arriving > 0 else 1.0
        shed -= class_shed
    return shares


def common_rate_limit(rates: Iterable[float], share: float) -> float | None:
    """Returns the one limit for all proxies that admits this share of the sum of their rates.

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
