"""The record of one connected proxy; times are seconds of the controller's clock."""

from __future__ import annotations

from .inputs import ArrivalReport
from .routing_table import RoutingTable


class ProxyRecord:
    """A connected proxy, with its request counts by class and the seconds that they cover.

    `initial_rate` is the requests/s from the snapshot, or else those that the proxy reported on connecting.
    """

    def __init__(self, zone: int, initial_rate: float, class_count: int, connected_at: float) -> None:
        self.table: RoutingTable | None = None
        self.connected_at = connected_at
        self.zone = zone
        self.initial_rate = initial_rate
        self.request_counts = [initial_rate / class_count] * class_count
        self.count_spans_s = [1.0] * class_count

    def class_rate(self, class_index: int) -> float:
        """Returns the requests/s of one class."""
        return self.request_counts[class_index] / self.count_spans_s[class_index]

    def request_rate(self) -> float:
        """Returns the requests/s of all classes."""
        return sum(self.class_rate(k) for k in range(len(self.request_counts)))

    def add_arrivals(self, report: ArrivalReport, window_s: float) -> None:
        """Adds a report, and scales earlier counts down so that all together cover at most `window_s`."""
        k = report.class_index
        keep_ratio = min(1.0, max(0.0, window_s - report.interval_s) / self.count_spans_s[k])
        self.request_counts[k] = self.request_counts[k] * keep_ratio + report.requests
        self.count_spans_s[k] = self.count_spans_s[k] * keep_ratio + report.interval_s
