"""Demand: how many requests arrive in each zone, at the proxies here and at those of other managers.

Own demand comes from arrival reports. Others' demand comes from gossip, and is estimated for the proxies
that are neither connected here nor in gossip, in the zones that lack proxies. This happens at each
solution. Where more proxies are counted than deployed, the others' demand shrinks in proportion, which
protects against counting a proxy twice that has just changed its manager.
"""

from statistics import fmean

from ..model import ControllerState, Demand
from .gossip_exchange import GossipExchange


def estimate_demand(state: ControllerState, gossip: GossipExchange) -> Demand:
    """Returns the requests/s by zone, own and others'."""
    own = state.proxies.own_demand()
    proxy_counts = own.proxy_counts
    others = [0.0 for _ in state.zones]
    for peer in gossip.recent():
        proxy_counts = _add_by_zone(proxy_counts, peer.proxy_counts)
        others = _add_by_zone(others, peer.request_rates)
    missing_count = state.parameters.proxy_count - sum(proxy_counts)
    if missing_count < 0:
        peer_count = max(1.0, sum(proxy_counts) - len(state.proxies.by_number))
        others = [max(0.0, rate + rate * missing_count / peer_count) for rate in others]
    elif missing_count > 0 and state.parameters.manager_count > 1 and state.proxies.by_number:
        others = _with_missing_proxies(state, others, proxy_counts, missing_count)
    return Demand(own.request_rates, others)


def _with_missing_proxies(
    state: ControllerState, others: list[float], proxy_counts: list[float], missing_count: float
) -> list[float]:
    """Adds the estimated demand of the missing proxies in the zones that have less than an even share."""
    even_count = state.parameters.proxy_count / len(state.zones)
    gaps = [max(0.0, even_count - count) for count in proxy_counts]
    total_gap = sum(gaps)
    if total_gap <= 0:
        return others
    # The mean stands for a missing proxy: few proxies carry most requests, so a median would be too low.
    mean_rate = fmean(proxy.joining_rate for proxy in state.proxies.by_number.values())
    return [
        rate + missing_count * mean_rate * gap / total_gap for rate, gap in zip(others, gaps, strict=True)
    ]


def _add_by_zone(figures: list[float], added: list[float]) -> list[float]:
    return [figure + other for figure, other in zip(figures, added, strict=True)]
