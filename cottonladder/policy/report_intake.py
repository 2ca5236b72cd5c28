"""Application of reports to the records of workers and proxies.

Load reports, arrival reports, health check results, held connections, advised factors, and connections and
disconnections of proxies are applied to the records as they arrive, and lead to no order for a proxy until
later. Reports on an unknown worker or proxy are dropped, which protects the estimates from late reports on
forgotten workers. `report_plausibility` decides which values are accepted, which protects them from corrupted
reports.
"""

from ..model import ControllerState, LinkLatencies, inputs
from . import report_plausibility
from .capacity import MAX_ADVISED_FACTOR
from .outlier_ejection import return_after_health_check
from .zone_reachability import ZoneReachability

DEMAND_WINDOW_S = 4.0  # the longest time that a proxy's request counts cover


class ReportIntake:
    """Receiver of reports, which applies them to the records of workers and proxies."""

    def __init__(
        self, state: ControllerState, link_latencies: LinkLatencies, reachability: ZoneReachability
    ) -> None:
        self._state = state
        self._link_latencies = link_latencies
        self._reachability = reachability

    def connect_proxy(self, connected: inputs.ProxyConnected) -> None:
        """Adds a proxy with its request rate from the snapshot, or else with the rate that it reports."""
        proxies = self._state.proxies
        rate = proxies.restored_rates.pop(connected.proxy, connected.requests_per_s)
        initial_rate = report_plausibility.capped_request_rate(rate)
        proxies.connect(connected.proxy, connected.zone, initial_rate, self._state.now)
        self._reachability.record_proxy(connected.zone)

    def disconnect_proxy(self, disconnected: inputs.ProxyDisconnected) -> None:
        """Removes a proxy."""
        self._state.proxies.disconnect(disconnected.proxy)

    def add_load_report(self, report: inputs.LoadReport) -> None:
        """Adds the attempts at a worker if their count is plausible, and their latency if that is too."""
        state = self._state
        worker = state.workers.by_index.get(report.worker_index)
        if worker is None or report.attempts <= 0:
            return
        reference_rate = state.proxies.max_total_initial_rate
        if not report_plausibility.is_plausible_request_count(
            report.attempts, report.interval_s, reference_rate
        ):
            return
        worker.add_load_report(report, report_plausibility.MAX_UTILIZATION)
        is_plausible = report_plausibility.is_plausible_latency(report.duration_s, state.tightest_objective_s)
        if report.attempts > report.failed and is_plausible:
            worker.latency_histogram.add(report.duration_s, report.attempts - report.failed)
            self._link_latencies.add(report.zone, worker.zone, report.duration_s)
            self._reachability.record_worker_answer(worker.zone)

    def add_arrivals(self, report: inputs.ArrivalReport) -> None:
        """Adds the requests that arrived at a proxy, if their count is plausible."""
        proxy = self._state.proxies.by_number.get(report.proxy)
        if proxy is None:
            return
        if report_plausibility.is_plausible_request_count(
            report.requests, report.interval_s, proxy.initial_rate
        ):
            proxy.add_arrivals(report, DEMAND_WINDOW_S)

    def add_health_check(self, result: inputs.HealthCheckResult) -> None:
        """Adds a health check result, after which an ejected worker may return."""
        worker = self._state.workers.by_index.get(result.worker_index)
        if worker is None:
            return
        reference_rate = self._state.proxies.max_total_initial_rate
        worker.add_health_check(result, report_plausibility.max_in_flight(reference_rate))
        return_after_health_check(self._state, worker, result)

    def set_connection_load(self, load: inputs.ConnectionLoad) -> None:
        """Records the load of a worker's held connections, in requests/s."""
        worker = self._state.workers.by_index.get(load.worker_index)
        if worker is not None:
            worker.connection_load = report_plausibility.capped_request_rate(load.requests_per_s)

    def set_advised_factor(self, advised: inputs.AdvisedFactor) -> None:
        """Records the factor that one source advises for a worker."""
        worker = self._state.workers.by_index.get(advised.worker_index)
        if worker is not None:
            worker.set_advised_factor(advised.source, advised.factor, MAX_ADVISED_FACTOR)
