"""The text of gossip datagrams: proxies and demand by zone.

3 21.5 1 7.0            three proxies with 21.5 requests/s in zone 0, one with 7.0 in zone 1
@18 2 9.0 0 0.0         the same from zone 18 on, where one datagram cannot contain all zones
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ZoneDemand:
    """Proxy count and requests/s, alternating, of each zone from `first_zone` on."""

    first_zone: int
    counts_and_rates: list[float]


def encode_zone_demand(counts: list[int], demand: list[float], max_zones: int) -> Iterator[str]:
    """Yields texts of at most `max_zones` zones each; `demand` is requests/s by zone."""
    values = [f"{count} {rate:.1f}" for count, rate in zip(counts, demand, strict=True)]
    for first in range(0, len(values), max_zones):
        prefix = [f"@{first}"] if len(values) > max_zones else []
        yield " ".join(prefix + values[first : first + max_zones])


def decode_zone_demand(text: str, zone_count: int, max_zones: int) -> ZoneDemand | None:
    """Returns the demand in a text, or None if the text does not have two numbers for each of its zones."""
    first_zone = "0"
    rest = text
    if text[:1] == "@":
        first_zone, _, rest = text[1:].partition(" ")
    values = [float(value) for value in rest.split() if value.replace(".", "", 1).isdecimal()]
    if not first_zone.isdecimal() or len(values) != 2 * min(max_zones, zone_count - int(first_zone)):
        return None
    return ZoneDemand(int(first_zone), values)
