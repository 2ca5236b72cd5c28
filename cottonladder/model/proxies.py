"""The records of the connected proxies, and their demand by zone."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .proxy_record import ProxyRecord


@dataclass(frozen=True, slots=True)
class ProxyDemand:
    """Demand and number of the proxies that are connected to one manager, by zone."""

    request_rates: list[float]  # requests/s
    proxy_counts: list[float]


class Proxies:
    """Records of the connected proxies by proxy number, in the order in which they connected."""

    def __init__(self, zone_count: int, class_count: int) -> None:
        self.by_number: dict[int, ProxyRecord] = {}
        self.restored_rates: dict[int, float] = {}  # requests/s by proxy, from the snapshot
        self.max_total_initial_rate = 0.0  # requests/s; highest total of the connected proxies so far
        self._zones = range(zone_count)
        self._classes = range(class_count)

    def connect(self, number: int, zone: int, initial_rate: float, now: float) -> None:
        """Adds a proxy that connected; an existing record with the same number is replaced."""
        self.disconnect(number)
        self.by_number[number] = ProxyRecord(zone, initial_rate, len(self._classes), now)

    def disconnect(self, number: int) -> None:
        """Removes a proxy, which then reads no table any more."""
        proxy = self.by_number.pop(number, None)
        if proxy is not None and proxy.table is not None:
            proxy.table.readers.pop(number, None)

    def update_total_initial_rate(self) -> float:
        """Returns the sum of the connected proxies' initial requests/s, and updates its maximum."""
        rate = sum(proxy.initial_rate for proxy in self.by_number.values())
        self.max_total_initial_rate = max(self.max_total_initial_rate, rate)
        return rate

    def request_rate(self, numbers: Iterable[int]) -> float:
        """Returns the requests/s of these proxies over all classes."""
        return sum(self.by_number[number].class_rate(k) for number in numbers for k in self._classes)

    def class_rates(self) -> list[float]:
        """Returns the requests/s of all proxies by class."""
        return [sum(proxy.class_rate(k) for proxy in self.by_number.values()) for k in self._classes]

    def own_demand(self) -> ProxyDemand:
        """Returns the demand and the number of the connected proxies by zone."""
        request_rates = [0.0 for _ in self._zones]
        proxy_counts = [0.0 for _ in self._zones]
        for proxy in self.by_number.values():
            request_rates[proxy.zone] += proxy.request_rate()
            proxy_counts[proxy.zone] += 1
        return ProxyDemand(request_rates, proxy_counts)

    def zone_counts(self) -> list[int]:
        """Returns the number of connected proxies by zone."""
        zones = [proxy.zone for proxy in self.by_number.values()]
        return [zones.count(zone) for zone in self._zones]
