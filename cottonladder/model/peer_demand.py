"""The demand of other managers' proxies, from gossip: counts and requests/s by zone."""

from __future__ import annotations

from dataclasses import dataclass

from .gossip_text import ZoneDemand
from .proxies import ProxyDemand


@dataclass(slots=True)
class _PeerReport:
    """The last values of one manager: proxy count and requests/s, alternating, of each zone."""

    received_at: float
    counts_and_rates: list[float]


class PeerDemand:
    """The last proxy counts and requests/s that each other manager sent.

    Zones that a datagram leaves out keep their previous values.
    """

    def __init__(self, zone_count: int) -> None:
        self._zone_count = zone_count
        self._by_sender: dict[int, _PeerReport] = {}

    def update(self, sender: int, now: float, received: ZoneDemand) -> None:
        """Replaces the sender's values for the zones that the gossip covers."""
        if sender not in self._by_sender:
            self._by_sender[sender] = _PeerReport(now, [0.0] * 2 * self._zone_count)
        peer = self._by_sender[sender]
        start = 2 * received.first_zone
        peer.counts_and_rates[start : start + len(received.counts_and_rates)] = received.counts_and_rates
        peer.received_at = now

    def recent_demands(self, now: float, ttl_s: float) -> list[ProxyDemand]:
        """Returns the values of each sender whose last gossip arrived less than `ttl_s` seconds ago."""
        return [
            ProxyDemand(request_rates=peer.counts_and_rates[1::2], proxy_counts=peer.counts_and_rates[0::2])
            for peer in self._by_sender.values()
            if now - peer.received_at < ttl_s
        ]
