"""Latency records: a coarse histogram for each worker, and the recent minimum for each link."""

from __future__ import annotations

import math


class LatencyHistogram:
    """Counts of requests in bins whose bounds grow by a fixed ratio, from `min_latency_s` on."""

    def __init__(self, min_latency_s: float, bin_ratio: float, bin_count: int) -> None:
        self.min_latency_s = min_latency_s
        self.bin_ratio = bin_ratio
        self.bins = [0.0] * bin_count

    def add(self, latency_s: float, count: float) -> None:
        """Adds requests of one latency; a latency over the last bin is counted in that bin."""
        ratio = max(latency_s / self.min_latency_s, 1.0)
        bin_index = min(int(math.log(ratio, self.bin_ratio)), len(self.bins) - 1)
        self.bins[bin_index] += count

    def mean(self) -> float:
        """Returns the geometric mean in seconds, or 0 if fewer than two requests are counted."""
        total = sum(self.bins)
        mean_bin = sum((index + 0.5) * count for index, count in enumerate(self.bins)) / max(total, 1.0)
        if total < 2.0:
            return 0.0
        return float(self.min_latency_s * self.bin_ratio**mean_bin)

    def decay(self, keep_ratio: float) -> None:
        """Multiplies every count by `keep_ratio`."""
        self.bins = [count * keep_ratio for count in self.bins]


class LinkLatencies:
    """The lowest latency in seconds from each proxy zone to each worker zone, over the last intervals."""

    def __init__(self, zone_count: int, interval_count: int) -> None:
        zones = range(zone_count)
        self._intervals = [[[math.inf] * interval_count for _ in zones] for _ in zones]

    def add(self, proxy_zone: int, worker_zone: int, latency_s: float) -> None:
        """Adds one latency to the present interval."""
        intervals = self._intervals[proxy_zone][worker_zone]
        intervals[0] = min(intervals[0], latency_s)

    def min_latencies(self) -> list[list[float]]:
        """Returns seconds by proxy zone and worker zone; infinite where none was measured."""
        return [[min(intervals) for intervals in row] for row in self._intervals]

    def start_interval(self) -> None:
        """Starts a new interval and drops the oldest one."""
        self._intervals = [[[math.inf, *intervals[:-1]] for intervals in row] for row in self._intervals]
