"""The demand of other managers' proxies, as gossip has it: counts and requests/s by zone."""

from __future__ import annotations

from .gossip_text import ZoneFigures


class PeerDemand:
    """The last figures by sender.  Zones that a datagram leaves out keep their former figures."""

    def __init__(self, zone_count: int) -> None:
        self._zone_count = zone_count
        self._by_sender: dict[int, tuple[float, list[float]]] = {}

    def update(self, sender: int, now: float, received: ZoneFigures) -> None:
        """Replaces the sender's figures for the zones that the gossip covers."""
        _, figures = self._by_sender.get(sender, (0.0, [0.0] * 2 * self._zone_count))
        start = 2 * received.first_zone
        figures[start : start + len(received.figures)] = received.figures
        self._by_sender[sender] = (now, figures)

    def add_recent(self, proxy_counts: list[float], now: float, ttl_s: float) -> list[float]:
        """Returns the requests/s by zone of all senders heard within the time to live.

        Their proxies are added to `proxy_counts`, which is by zone.
        """
        demand = [0.0 for _ in range(self._zone_count)]
        for received_at, figures in self._by_sender.values():
            if now - received_at < ttl_s:
                for zone in range(self._zone_count):
                    proxy_counts[zone] += figures[2 * zone]
                    demand[zone] += figures[2 * zone + 1]
        return demand
