"""A token bucket, which limits the rate of events and allows bursts of one second's tokens.

Pure: the caller passes the time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MIN_BURST_TOKENS = 1.0  # with a smaller bucket, a rate below 1 a second would never allow an event


def burst_size(rate: float) -> float:
    """Returns the capacity of a bucket: the tokens that accrue in one second at `rate`, at least 1."""
    return max(MIN_BURST_TOKENS, rate)


@dataclass(slots=True)
class TokenBucket:
    """A bucket that held `tokens` at the time `updated_at`; the rate may differ from call to call."""

    tokens: float
    updated_at: float

    @classmethod
    def full(cls, now: float, rate: float) -> TokenBucket:
        """Returns a full bucket, which allows a burst immediately."""
        return cls(burst_size(rate), now)

    def try_acquire(self, now: float, rate: float) -> bool:
        """Adds the tokens accrued at `rate` a second, then removes one; returns False if there is none."""
        refilled = self.tokens + (now - self.updated_at) * rate
        self.tokens = min(burst_size(rate), refilled)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def time_to_token_s(self, rate: float) -> float:
        """Returns the time in seconds from the last update until the bucket holds a token.

        The time is infinite for a rate of 0.
        """
        return (1.0 - self.tokens) / rate if rate > 0 else math.inf
