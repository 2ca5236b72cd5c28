"""The services that the handlers of plain requests, upgrades and plug-in verdicts share."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ..config.operator_config import LimitsConfig
from ..model.orders import RetryPolicy
from .admission_pacer import AdmissionPacer
from .load_recorder import LoadRecorder
from .router import Router

FIRST_SERVER_ERROR_STATUS = 500  # this and higher statuses count as failures of the worker


class RequestServices:
    """The routing state, the limits, the workers' addresses, and the record of attempts.

    `address_of` returns a worker's host:port, or None for an unknown worker.  `now` returns the time of the
    event loop's clock in seconds.
    """

    def __init__(
        self,
        router: Router,
        pacer: AdmissionPacer,
        limits: LimitsConfig,
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
        self.now: Callable[[], float] = asyncio.get_running_loop().time

    def record_attempt(self, worker_id: str, succeeded: bool, started_at: float) -> None:
        """Records the result of an attempt in the load recorder and in the router."""
        now = self.now()
        self.recorder.record_attempt(worker_id, succeeded, now - started_at)
        self.router.record_result(now, worker_id, succeeded)

    def retry_policy(self, request_class: str) -> RetryPolicy:
        """Returns the retry policy of a class, as managers have ordered it."""
        return self.router.tables[request_class].retry_policy
