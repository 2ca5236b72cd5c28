"""Demand by zone: of the proxies here, and of those at other managers."""

from statistics import fmean

from ..model import Demand, Fleet
from .tuning import SOLVE_INTERVAL

PEER_DEMAND_TTL = 3 * SOLVE_INTERVAL  # s that a peer's figures count; a lost datagram is a guess again


def estimate_demand(fleet: Fleet) -> Demand:
    """Requests/s by zone, own and others': what they told, and a guess for proxies that are missing."""
    own, proxies = fleet.own_demand()
    others = fleet.peers.add_recent(proxies, fleet.now, PEER_DEMAND_TTL)
    missing = fleet.parameters.proxy_count - sum(proxies)
    if missing < 0:  # a proxy that has come over is still told of as there: nobody counts twice
        told = max(1.0, sum(proxies) - len(fleet.proxies))
        others = [max(0.0, rate + rate * missing / told) for rate in others]
    gaps = [max(0.0, fleet.parameters.proxy_count / len(fleet.zones) - count) for count in proxies]
    if fleet.parameters.manager_count > 1 and missing > 0 and fleet.proxies and sum(gaps) > 0:
        # Few proxies carry most, so a median would be far below the mean.
        mean = fmean(proxy.joining_rate for proxy in fleet.proxies.values())
        others = [rate + missing * mean * gap / sum(gaps) for rate, gap in zip(others, gaps, strict=True)]
    return Demand(own, others)
