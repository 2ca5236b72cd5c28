"""Demand by zone."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests/s by zone, of this manager's proxies and of the other managers' proxies."""

    own_rates: list[float]
    peer_rates: list[float]

    def total(self) -> list[float]:
        """Returns the requests/s of all proxies by zone."""
        return [own + peer for own, peer in zip(self.own_rates, self.peer_rates, strict=True)]

    def own_flow_shares(self, flow: list[list[float]]) -> list[float]:
        """Returns this manager's share of the flow to each worker zone; 1 where there is no flow.

        `flow` is in requests/s by proxy zone and worker zone.
        """
        total = self.total()
        shares = []
        for group in range(len(total)):
            planned = sum(row[group] for row in flow)
            sources = [zone for zone in range(len(total)) if total[zone] > 0]
            own = sum(flow[zone][group] * self.own_rates[zone] / total[zone] for zone in sources)
            shares.append(own / planned if planned > 0 else 1.0)
        return shares
