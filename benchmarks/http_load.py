"""A closed loop of HTTP requests over kept connections."""

from __future__ import annotations

import asyncio
import statistics
import time

import aiohttp

from benchmarks.harness import MILLISECONDS_PER_S

HTTP_OK = 200


async def http_load(url: str, request_count: int, concurrency: int) -> dict[str, float]:
    """Requests a second, and their times in milliseconds."""
    durations_s: list[float] = []
    remaining = iter(range(request_count))
    connector = aiohttp.TCPConnector(limit=concurrency)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def client() -> None:
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
    return {
        "reqs_per_s": request_count / total_s,
        "p50_ms": percentiles[49] * MILLISECONDS_PER_S,
        "p99_ms": percentiles[98] * MILLISECONDS_PER_S,
    }
