"""How long a rejected client is asked to wait before its next request."""

from __future__ import annotations

import math

MIN_RETRY_AFTER_S = 1  # the smallest value of a Retry-After header
MAX_RETRY_AFTER_S = 30  # the largest value of a Retry-After header


def retry_after(delay_s: float, jitter: float) -> int:
    """The value of a Retry-After header in whole seconds.

    It is at least `delay_s`, but from `MIN_RETRY_AFTER_S` to `MAX_RETRY_AFTER_S`.
    `jitter`, a random number from 0 to 1, adds up to the same time again, so that clients that were rejected
    together do not return together.
    """
    base_s = max(float(MIN_RETRY_AFTER_S), min(delay_s, float(MAX_RETRY_AFTER_S)))
    return min(MAX_RETRY_AFTER_S, math.ceil(base_s * (1.0 + jitter)))
