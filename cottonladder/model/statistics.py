"""Statistics of collections that may be empty."""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median


def median_or_zero(values: Iterable[float]) -> float:
    """Returns the median, or 0 if there are no values."""
    return median([*values] or [0.0])
