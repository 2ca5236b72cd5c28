"""Demand: how many requests arrive in each zone, at this manager's proxies and at those of other managers.

This manager's demand comes from arrival reports. The other managers' demand comes from gossip, and is
estimated for the proxies that are neither connected here nor in gossip, in the zones that lack proxies. Both
are computed at each solution. Where more proxies are counted than deployed, the other managers' demand is
scaled down in proportion, because a proxy that has just changed its manager may be counted twice.
"""

from statistics import fmean

from ..model import ControllerState, Demand
from .gossip_exchange import GossipExchange


def estimate_demand(state: ControllerState, gossip: GossipExchange) -> Demand:
    """Returns the requests/s by zone, of this manager's proxies and of the other managers' proxies."""
    own = state.proxies.own_demand()
    proxy_counts = own.proxy_counts
    peer_rates = [0.0 for _ in state.zones]
    for peer in gossip.recent_peer_demands():
        proxy_counts = _add_by_zone(proxy_counts, peer.proxy_counts)
        peer_rates = _add_by_zone(peer_rates, peer.request_rates)
    missing_count = state.parameters.proxy_count - sum(proxy_counts)
    if missing_count < 0:
        peer_count = max(1.0, sum(proxy_counts) - len(state.proxies.by_number))
        peer_rates = [max(0.0, rate + rate * missing_count / peer_count) for rate in peer_rates]
    elif missing_count > 0 and state.parameters.manager_count > 1 and state.proxies.by_number:
        peer_rates = _with_missing_proxies(state, peer_rates, proxy_counts, missing_count)
    return Demand(own.request_rates, peer_rates)


def _with_missing_proxies(
    state: ControllerState, peer_rates: list[float], proxy_counts: list[float], missing_count: float
) -> list[float]:
    """Adds the estimated demand of the missing proxies in the zones that have less than an even share."""
    even_count = state.parameters.proxy_count / len(state.zones)
    gaps = [max(0.0, even_count - count) for count in proxy_counts]
    total_gap = sum(gaps)
    if total_gap <= 0:
        return peer_rates
    # A missing proxy counts with the mean rate: few proxies send most requests, so a median would be too low.
    mean_rate = fmean(proxy.initial_rate for proxy in state.proxies.by_number.values())
    return [
        rate + missing_count * mean_rate * gap / total_gap for rate, gap in zip(peer_rates, gaps, strict=True)
    ]


def _add_by_zone(values: list[float], added: list[float]) -> list[float]:
    return [value + addend for value, addend in zip(values, added, strict=True)]
