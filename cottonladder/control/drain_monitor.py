"""Monitor of drains that proxies are not told of in time: a log line for each, and figures for operators."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import structlog

from ..config.fields import MS_PER_S
from ..model.pending_drains import PendingDrain, WaitReason
from ..policy.controller import RoutingController
from ..state.worker_registry import WorkerRegistry

CHECK_INTERVAL_S = 0.25
# Fraction of the drain grace after which a drain that a proxy does not know of is delayed.
DELAYED_GRACE_RATIO = 0.5
MAX_LOGGED_DRAINS = 8  # of those that become delayed at one check; the rest is counted
MAX_LISTED_DRAINS = 100  # in the status

StatusRow = dict[str, str | int]  # one JSON object


@dataclass(frozen=True, slots=True)
class _DrainKey:
    """Identifies a drain's wait from one check to the next."""

    proxy: int
    reason: WaitReason


class DrainMonitor:
    """Checks the policy's pending drains, and logs when one becomes delayed and when that ends.

    A wait for an acknowledgement is delayed only after the whole drain grace, as the proxy was notified.
    """

    def __init__(self, controller: RoutingController, workers: WorkerRegistry) -> None:
        self._controller = controller
        self._workers = workers
        self._grace_s = controller.state.parameters.drain_grace_s
        self._next_check_at = 0.0
        self._delayed: dict[_DrainKey, PendingDrain] = {}
        self._delayed_total = 0  # since the manager's start
        self._longest_wait_s = 0.0
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def check(self, now: float) -> None:
        """Checks the pending drains, at most once per CHECK_INTERVAL_S; `now` is the controller's clock."""
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        pending = self._controller.drain_progress.pending()
        delayed = {
            _DrainKey(drain.proxy, drain.reason): drain for drain in pending if self._is_delayed(drain, now)
        }
        started = [drain for key, drain in delayed.items() if key not in self._delayed]
        ended = [drain for key, drain in self._delayed.items() if key not in delayed]
        self._delayed = delayed
        self._delayed_total += len(started)
        waits_s = [now - drain.since for drain in delayed.values()]
        self._longest_wait_s = max([self._longest_wait_s, *waits_s])
        self._log_started(started, now)
        self._log_ended(ended, now)

    def drain_rows(self) -> list[StatusRow]:
        """Returns a row for each delayed drain, longest wait first, up to MAX_LISTED_DRAINS."""
        now = self._controller.state.now
        return [self._fields(drain, now) for drain in self._delayed.values()][:MAX_LISTED_DRAINS]

    def metric_rows(self) -> list[StatusRow]:
        """Returns the number of delayed drains by what they wait for, and totals since the start."""
        counts = Counter(drain.reason for drain in self._delayed.values())
        figures = {f"delayed_drains_{reason.value}": counts[reason] for reason in WaitReason}
        figures["delayed_drains_total"] = self._delayed_total
        figures["longest_drain_wait_ms"] = round(self._longest_wait_s * MS_PER_S)
        return [{"metric": name, "value": value} for name, value in figures.items()]

    def _is_delayed(self, drain: PendingDrain, now: float) -> bool:
        is_sent = drain.reason is WaitReason.ACKNOWLEDGEMENT
        ratio = 1.0 if is_sent else DELAYED_GRACE_RATIO
        return now - drain.since > ratio * self._grace_s

    def _log_started(self, drains: list[PendingDrain], now: float) -> None:
        for drain in drains[:MAX_LOGGED_DRAINS]:
            self.log.warning("drain_delayed", **self._fields(drain, now), delayed_count=len(self._delayed))

    def _log_ended(self, drains: list[PendingDrain], now: float) -> None:
        for drain in drains[:MAX_LOGGED_DRAINS]:
            self.log.info("drain_delay_ended", **self._fields(drain, now), delayed_count=len(self._delayed))

    def _fields(self, drain: PendingDrain, now: float) -> StatusRow:
        return {
            "proxy": drain.proxy,
            "proxy_count": drain.proxy_count,
            "worker_id": self._workers.ids.get(drain.worker_index, b"").decode(),
            "waits_for": drain.reason.value,
            "waited_ms": round((now - drain.since) * MS_PER_S),
        }
