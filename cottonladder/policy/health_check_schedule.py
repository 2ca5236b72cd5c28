"""Schedule of the workers' health checks.

All workers that are in service or ejected are checked together, at intervals that follow from the price of
a health check and from the present request rate. A worker that lost one check is checked again at the next
tick. Health checks detect an unresponsive worker or a long queue before load reports do; the price limit
keeps their cost small compared to that of the requests.
"""

import math

from ..model import IN_SERVICE_STATES, ControllerState, WorkerState, orders
from .outlier_ejection import LOST_CHECKS_TO_EJECT

MIN_CHECK_INTERVAL_S = 1.0
CHECK_JITTER = (-0.1, 0.1)  # fractions of MIN_CHECK_INTERVAL_S; managers then do not check simultaneously
# Cost of health checks over the number of requests in the same time.
MAX_CHECK_PRICE_RATIO = 0.003


class HealthCheckSchedule:
    """Schedule of the health checks, which are ordered when they are due."""

    def __init__(self, state: ControllerState) -> None:
        self._state = state
        self._interval_began_at = -math.inf

    def order_due_checks(self, total_initial_rate: float) -> None:
        """Orders the checks that are due; `total_initial_rate` sums the initial requests/s of all proxies."""
        state = self._state
        checked_workers = state.workers.in_state(WorkerState.EJECTED, *IN_SERVICE_STATES)
        cost = len(checked_workers) * state.parameters.health_check_cost
        request_rate = state.proxies.request_rate(state.proxies.by_number)
        cost_per_request_rate = cost / max(1.0, total_initial_rate, request_rate)
        interval_s = max(MIN_CHECK_INTERVAL_S, cost_per_request_rate / MAX_CHECK_PRICE_RATIO)
        is_due = state.now >= self._interval_began_at + interval_s
        if is_due:
            jitter_s = MIN_CHECK_INTERVAL_S * state.random.uniform(*CHECK_JITTER)
            self._interval_began_at = state.now + jitter_s
        for index, worker in checked_workers.items():
            if is_due or 0 < worker.lost_check_count < LOST_CHECKS_TO_EJECT:
                state.pending_orders.add(orders.HealthCheck(index))
