"""Soak of a manager whose endpoint list changes all the time, with failures of discovery and restarts.

    python -m benchmarks.endpoint_soak --json --seed 7 --duration 1800 --discovery automatic

The exit status is 1 if the manager crashed, if a worker stayed in a table for too long after its drain, if a
proxy had no worker for too long, or if a worker is not used at the end.
"""

from __future__ import annotations

import asyncio
import sys

import msgspec

from benchmarks.harness import argument_parser, print_metrics
from cottonladder.testbed.endpoint_soak import EndpointSoak

DEFAULT_DURATION_S = 60.0


class SoakMetrics(msgspec.Struct, frozen=True):
    """The metrics that the soak prints; `cottonladder.testbed.endpoint_soak.SoakCounts` explains them."""

    seed: int
    duration_s: float
    replaced_workers: int
    outages: int
    resets: int
    restarts: int
    crashes: int
    late_drains: int
    proxies_without_worker: int
    unused_workers: int
    max_drain_s: float
    measured_on: str = "simulated discovery and proxies on loopback, one machine"


def main() -> int:
    """Runs the soak, prints its metrics, and returns the exit status."""
    parser = argument_parser(__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of the changes and of some settings")
    parser.add_argument("--duration", type=float, default=DEFAULT_DURATION_S, help="seconds of changes")
    parser.add_argument("--discovery", default="automatic", help="the value of the setting Discovery")
    arguments = parser.parse_args()
    soak = EndpointSoak(arguments.seed, arguments.discovery)
    counts = asyncio.run(soak.run(arguments.duration))
    metrics = SoakMetrics(
        seed=arguments.seed,
        duration_s=arguments.duration,
        replaced_workers=counts.replaced_workers,
        outages=counts.outages,
        resets=counts.resets,
        restarts=counts.restarts,
        crashes=counts.crashes,
        late_drains=counts.late_drains,
        proxies_without_worker=counts.proxies_without_worker,
        unused_workers=counts.unused_workers,
        max_drain_s=round(counts.max_drain_s, 2),
    )
    print_metrics(metrics, arguments.json)
    return int(counts.has_failed)


if __name__ == "__main__":
    sys.exit(main())
