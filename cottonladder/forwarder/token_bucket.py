"""A token bucket, which limits the rate of events and allows a burst of as many as accrue in a second.

Pure: the caller passes the time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MIN_BURST_TOKENS = 1.0  # so that a rate below 1 a second still lets an event happen now and then


def burst_size(rate: float) -> float:
    """How many tokens a bucket holds at most: those that accrue in one second at `rate`."""
    return max(MIN_BURST_TOKENS, rate)


@dataclass(slots=True)
class TokenBucket:
    """The tokens left at the time `updated_at`; the rate may differ from call to call."""

    tokens: float
    updated_at: float

    @classmethod
    def full(cls, now: float, rate: float) -> TokenBucket:
        """A bucket that allows a burst at once."""
        return cls(burst_size(rate), now)

    def try_acquire(self, now: float, rate: float) -> bool:
        """Adds the tokens that have accrued at `rate` a second, then takes one; False if there is none."""
        refilled = self.tokens + (now - self.updated_at) * rate
        self.tokens = min(burst_size(rate), refilled)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def time_to_token_s(self, rate: float) -> float:
        """The time in seconds from the last update until the bucket holds a token."""
        return (1.0 - self.tokens) / rate if rate > 0 else math.inf
