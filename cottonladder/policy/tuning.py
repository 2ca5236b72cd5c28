"""Tuned values that several parts share: how often the policy acts, and how reports are kept."""

from ..model import RecordSettings

SOLVE_INTERVAL = 2.0  # s between solutions of the flow (design page)
TICK_INTERVAL = 0.25  # s between looks at what came in; lists and freed tables act at once
RECORD_SETTINGS = RecordSettings(
    max_ratio=8.0,  # times what is usual: over it a report is spoilt
    max_interval_s=120.0,  # so is one that covers more
    max_request_rate=1e5,  # requests/s; far over any proxy's
    demand_window_s=4.0,  # two intervals
    max_gossip_zones=18,  # that a datagram holds
    max_advised_factor=2.0,  # what advice may do, right or wrong
    capacity_samples=10,  # intervals (design page)
    link_intervals=3,  # design page: 5 s
    min_latency_ratio=1 / 64,  # of the tightest objective: less is as good
    latency_bin_ratio=1.5,  # coarse: a mean is read off them
    latency_bins=16,
)
