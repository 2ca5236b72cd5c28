"""Arithmetic of shedding: what is left of each class, and a rate that lets in a share of uneven proxies."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def shed_in_order(
    arrivals: Sequence[float], order: Iterable[int], shed: float, min_share: float
) -> dict[int, float]:
    """The share of each class that is let in, where `shed` requests a second are taken from the classes in
    turn, down to `min_share` of each."""
    shares: dict[int, float] = {}
    for class_index in order:
        arriving = arrivals[class_index]
        taken = min(shed, arriving * (1.0 - min_share))
        shares[class_index] = 1.0 - taken / arriving if arriving > 0 else 1.0
        shed -= taken
    return shares


def common_limit(rates: Iterable[float], share: float) -> float | None:
    """The one limit for all proxies that lets in this share of their rates' sum; small rates stay whole.
    None where nothing is to be held back."""
    ordered = sorted(rates)
    left = share * sum(ordered)
    for index, rate in enumerate(ordered):
        remaining = len(ordered) - index
        if share < 1.0 and rate * remaining >= left:
            return left / remaining
        left -= rate
    return None
