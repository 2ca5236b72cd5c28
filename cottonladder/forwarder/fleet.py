"""What the handlers of requests share: the fleet as this forwarder knows it, and the record of attempts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from .load_recorder import LoadRecorder
from .resource_limits import AdmissionPacer, ResourceLimits
from .router import Router


class Fleet:
    """The workers, as far as requests need to know of them."""

    def __init__(
        self,
        router: Router,
        pacer: AdmissionPacer,
        limits: ResourceLimits,
        address_of: Callable[[str], str | None],
        recorder: LoadRecorder,
        rng: random.Random,
    ) -> None:
        self.router = router
        self.pacer = pacer
        self.limits = limits
        self.address_of = address_of
        self.recorder = recorder
        self.rng = rng
        self.now = asyncio.get_running_loop().time

    def record_attempt(self, worker_id: str, succeeded: bool, started_at: float) -> None:
        """Tells the load report and the router how an attempt went."""
        now = self.now()
        self.recorder.record_attempt(worker_id, succeeded, now - started_at)
        self.router.record_result(now, worker_id, succeeded)

    def retry_policy(self, request_class: str) -> int:
        """What managers have ordered for retries of a class."""
        return self.router.tables[request_class].retry_policy
