"""Detection of unreachable zones, in which lost health checks do not count against the workers.

A zone is unresponsive if the median number of consecutive health checks that its workers lost is at least 1.
It then counts as unreachable, unless other zones respond and its proxies were heard from after its workers
last answered: in that case the network works and the workers do not. This is evaluated at each tick. It
protects the workers of a zone from ejection when only the network path from this manager to the zone is
interrupted.
"""

import math

from ..model import ControllerState, WorkerRecord, median_or_zero
from .health_check_schedule import MIN_CHECK_INTERVAL_S


class ZoneReachability:
    """The times when the proxies and the workers of each zone were last heard from."""

    def __init__(self, state: ControllerState) -> None:
        self._state = state
        self._proxy_heard_at = [-math.inf for _ in state.zones]  # connected or acknowledged
        self._worker_answered_at = [0.0 for _ in state.zones]  # answered a request or a health check

    def record_proxy(self, zone: int) -> None:
        """Records that a proxy of the zone connected or acknowledged a checkpoint."""
        self._proxy_heard_at[zone] = self._state.now

    def record_worker_answer(self, zone: int) -> None:
        """Records that a worker of the zone answered a request or a health check."""
        self._worker_answered_at[zone] = self._state.now

    def unreachable_zones(self, checked_workers: list[WorkerRecord]) -> list[bool]:
        """Returns by zone whether it is unreachable, and records an answer of each zone that responds."""
        is_unresponsive = [self._is_unresponsive(zone, checked_workers) for zone in self._state.zones]
        for zone in self._state.zones:
            if not is_unresponsive[zone]:
                self.record_worker_answer(zone)
        if all(is_unresponsive):
            return is_unresponsive
        return [is_unresponsive[zone] and not self._proxies_are_heard(zone) for zone in self._state.zones]

    def _is_unresponsive(self, zone: int, checked_workers: list[WorkerRecord]) -> bool:
        return (
            median_or_zero(worker.lost_check_count for worker in checked_workers if worker.zone == zone) >= 1
        )

    def _proxies_are_heard(self, zone: int) -> bool:
        """Returns whether proxies of a zone were heard from well after its workers last answered."""
        return self._proxy_heard_at[zone] > self._worker_answered_at[zone] + MIN_CHECK_INTERVAL_S
