"""Load of HTTP requests over persistent connections, with one request at a time on each."""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Sequence

import aiohttp
import msgspec

from cottonladder.config.fields import MS_PER_S

HTTP_OK = 200


class LoadMetrics(msgspec.Struct, frozen=True):
    """Throughput and latency of a load of requests."""

    requests_per_s: float
    p50_ms: float
    p99_ms: float

    def rounded(self) -> LoadMetrics:
        """Returns the metrics rounded to two decimal places."""
        return LoadMetrics(round(self.requests_per_s, 2), round(self.p50_ms, 2), round(self.p99_ms, 2))


def median_load(rounds: Sequence[LoadMetrics]) -> LoadMetrics:
    """Returns the median of each metric over the rounds."""
    return LoadMetrics(
        statistics.median(metrics.requests_per_s for metrics in rounds),
        statistics.median(metrics.p50_ms for metrics in rounds),
        statistics.median(metrics.p99_ms for metrics in rounds),
    )


async def http_load(url: str, request_count: int, concurrency: int) -> LoadMetrics:
    """Sends `request_count` requests over `concurrency` connections, and returns the metrics of the load."""
    durations_s: list[float] = []
    remaining = iter(range(request_count))
    connector = aiohttp.TCPConnector(limit=concurrency)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def client() -> None:
            """Sends requests one after another until none remain."""
            for _ in remaining:
                started_at = time.perf_counter()
                async with session.get(url) as response:
                    await response.read()
                    assert response.status == HTTP_OK
                durations_s.append(time.perf_counter() - started_at)

        started_at = time.perf_counter()
        await asyncio.gather(*(client() for _ in range(concurrency)))
        total_s = time.perf_counter() - started_at
    percentiles = statistics.quantiles(durations_s, n=100)
    return LoadMetrics(
        requests_per_s=request_count / total_s,
        p50_ms=percentiles[49] * MS_PER_S,
        p99_ms=percentiles[98] * MS_PER_S,
    )
