"""Statistics of what may be empty."""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median


def median_or_zero(values: Iterable[float]) -> float:
    """The median; 0 where there is none."""
    return median([*values] or [0.0])
