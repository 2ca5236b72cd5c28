"""Value of the Retry-After header, which asks a rejected client to wait before its next request."""

from __future__ import annotations

import math

MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30


def retry_after(delay_s: float, jitter: float) -> int:
    """Returns the value of a Retry-After header in whole seconds.

    The value is at least `delay_s` and `MIN_RETRY_AFTER_S`, but never over `MAX_RETRY_AFTER_S`.  `jitter`, a
    random number from 0 to 1, increases the delay by up to 100 %, so that clients that were rejected together
    do not return together.
    """
    base_s = max(float(MIN_RETRY_AFTER_S), min(delay_s, float(MAX_RETRY_AFTER_S)))
    return min(MAX_RETRY_AFTER_S, math.ceil(base_s * (1.0 + jitter)))
