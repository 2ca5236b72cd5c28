"""The demand of other managers' proxies, as gossip has it: counts and requests/s by zone."""

from __future__ import annotations

from .gossip_text import ZoneFigures
from .proxies import ProxyDemand


class PeerDemand:
    """The last figures by sender.  Zones that a datagram leaves out keep their former figures."""

    def __init__(self, zone_count: int) -> None:
        self._zone_count = zone_count
        self._by_sender: dict[
            int, tuple[float, list[float]]
        ] = {}  # time, and count and requests/s of each zone

    def update(self, sender: int, now: float, received: ZoneFigures) -> None:
        """Replaces the sender's figures for the zones that the gossip covers."""
        _, figures = self._by_sender.get(sender, (0.0, [0.0] * 2 * self._zone_count))
        start = 2 * received.first_zone
        figures[start : start + len(received.figures)] = received.figures
        self._by_sender[sender] = (now, figures)

    def recent(self, now: float, ttl_s: float) -> list[ProxyDemand]:
        """Returns the figures of each sender heard within the time to live."""
        return [
            ProxyDemand(request_rates=figures[1::2], proxy_counts=figures[0::2])
            for received_at, figures in self._by_sender.values()
            if now - received_at < ttl_s
        ]
