"""Demand by zone."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests a second by zone: of this manager's proxies, and of the others'."""

    own: list[float]
    others: list[float]

    def total(self) -> list[float]:
        """Of both."""
        return [mine + theirs for mine, theirs in zip(self.own, self.others, strict=True)]

    def own_shares(self, flow: list[list[float]]) -> list[float]:
        """This manager's part of what a flow by proxy zone and worker zone brings each worker zone."""
        total = self.total()
        shares = []
        for group in range(len(total)):
            planned = sum(row[group] for row in flow)
            sources = [zone for zone in range(len(total)) if total[zone] > 0]
            mine = sum(flow[zone][group] * self.own[zone] / total[zone] for zone in sources)
            shares.append(mine / planned if planned > 0 else 1.0)
        return shares
