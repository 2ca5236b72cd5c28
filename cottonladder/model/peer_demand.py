"""What other managers tell of their proxies: counts and requests a second by zone."""

from __future__ import annotations

from .gossip_text import ZoneFigures


class PeerDemand:
    """The last figures by sender.  A datagram may carry some zones only: the others keep what was told."""

    def __init__(self, zone_count: int) -> None:
        self._zone_count = zone_count
        self._by_sender: dict[int, tuple[float, list[float]]] = {}

    def update(self, sender: int, now: float, told: ZoneFigures) -> None:
        """Puts the figures in place of what the sender told of the same zones."""
        _, figures = self._by_sender.get(sender, (0.0, [0.0] * 2 * self._zone_count))
        start = 2 * told.first_zone
        figures[start : start + len(told.figures)] = told.figures
        self._by_sender[sender] = (now, figures)

    def add_recent(self, proxies: list[float], now: float, ttl: float) -> list[float]:
        """Requests a second by zone, of all senders heard within `ttl` seconds; their proxies are added to
        `proxies`, counts by zone."""
        demand = [0.0 for _ in range(self._zone_count)]
        for told_at, figures in self._by_sender.values():
            if now - told_at < ttl:
                for zone in range(self._zone_count):
                    proxies[zone] += figures[2 * zone]
                    demand[zone] += figures[2 * zone + 1]
        return demand
