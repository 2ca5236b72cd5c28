"""Plausibility checks of the values in reports.

Reports, health checks and proxies state counts, latencies and rates, and each is compared on arrival with a
reference. A load report or an arrival report that covers too long a time or too many requests is dropped,
and a latency far over the latency objective is not counted. Other values are reduced to the highest plausible
one. This protects against corrupted reports, whose values would affect estimates for minutes.
"""

MAX_REPORT_RATIO = 8.0  # highest plausible ratio of a reported value to its reference
MAX_REPORT_INTERVAL_S = 120.0
MAX_UTILIZATION = MAX_REPORT_RATIO  # utilization of a worker, where 1 is full load
MAX_REQUEST_RATE = 1e5  # requests/s of one proxy or worker


def is_plausible_request_count(count: int, interval_s: float, reference_rate: float) -> bool:
    """Returns whether a report of `count` requests in `interval_s` seconds is plausible.

    `reference_rate` is the initial requests/s of the proxy that the report is on.  For a report on a worker,
    it is the highest total of the connected proxies' initial requests/s so far.
    """
    max_count = MAX_REPORT_RATIO * (1.0 + reference_rate) * (1.0 + interval_s)
    return interval_s <= MAX_REPORT_INTERVAL_S and count <= max_count


def is_plausible_latency(latency_s: float, tightest_objective_s: float) -> bool:
    """Returns whether a latency is positive and not far over the tightest latency objective."""
    return 0 < latency_s < MAX_REPORT_RATIO * tightest_objective_s


def max_in_flight(reference_rate: float) -> float:
    """Returns the highest plausible number of requests in flight, at a reference rate in requests/s."""
    return MAX_REPORT_RATIO * (1.0 + reference_rate)


def capped_request_rate(requests_per_s: float) -> float:
    """Returns a reported request rate, reduced to at most MAX_REQUEST_RATE."""
    return min(requests_per_s, MAX_REQUEST_RATE)
