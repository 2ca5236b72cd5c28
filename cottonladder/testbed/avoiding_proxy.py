"""A simulated proxy that avoids a worker for some time after consecutive failures there."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from .simulated_proxy import SimulatedProxy, message_fields


@dataclass
class AvoidingProxy(SimulatedProxy):
    """A proxy with an admission ratio for all classes, and the workers that it avoids."""

    number: int = 0
    zone: int = 0
    failure_count: int = 3  # consecutive failures after which it avoids a worker; 0 for never
    avoidance_range_s: tuple[float, float] = (0.0, 0.0)
    admission_ratio: float = 1.0
    avoided_until: dict[bytes, float] = field(default_factory=dict)
    _failures: Counter[bytes] = field(default_factory=Counter)

    def apply(self, message: bytes) -> int | None:
        """Applies a message; returns the number of its checkpoint, None without one."""
        for fields in message_fields(message):
            if b"gate" in fields:
                self.admission_ratio = float(fields[b"gate"])
        return super().apply(message)

    def avoided(self, now: float) -> set[bytes]:
        """Returns the workers of its table that it avoids."""
        return {worker_id for worker_id in self.weights if self.avoided_until.get(worker_id, 0.0) > now}

    def pick_worker(self, now: float, tried: bytes | None, chance: random.Random) -> bytes | None:
        """Returns a worker by weight that it does not avoid, or any if it avoids all; never `tried`."""
        weights = {worker_id: w for worker_id, w in self.usable_weights().items() if worker_id != tried}
        avoided = self.avoided(now)
        weights = {worker_id: w for worker_id, w in weights.items() if worker_id not in avoided} or weights
        if not weights:
            return None
        return chance.choices(list(weights), list(weights.values()))[0]

    def record_outcome(
        self, worker_id: bytes, has_succeeded: bool, now: float, chance: random.Random
    ) -> None:
        """Counts consecutive failures, and begins to avoid the worker after as many as `failure_count`."""
        self._failures[worker_id] = 0 if has_succeeded else self._failures[worker_id] + 1
        if self.failure_count and self._failures[worker_id] >= self.failure_count:
            self._failures[worker_id] = 0
            self.avoided_until[worker_id] = now + chance.uniform(*self.avoidance_range_s)
