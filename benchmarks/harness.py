"""Shared code of the benchmarks: arguments, printing of metrics, runs of an older checkout's benchmark."""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
from collections.abc import Iterator, Mapping, Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import msgspec

from cottonladder.testbed.discovery import SimulatedDiscovery

TREE = Path(__file__).resolve().parents[1]  # root of this checkout
MICROSECONDS_PER_S = 1e6
BYTES_PER_MB = 2**20


def argument_parser(doc: str | None) -> argparse.ArgumentParser:
    """Returns a parser with the options of every benchmark; its description is the first line of `doc`."""
    parser = argparse.ArgumentParser(description=(doc or "").split("\n")[0])
    parser.add_argument("--json", action="store_true", help="print JSON instead of text")
    return parser


def add_baseline_argument(parser: argparse.ArgumentParser) -> None:
    """Adds `--before TREE`, for benchmarks that can also measure an older checkout."""
    parser.add_argument(
        "--before", metavar="TREE", help="also measure this older checkout, by its own benchmark"
    )


def print_metrics(metrics: msgspec.Struct, as_json: bool) -> None:
    """Prints metrics as a JSON object or as one aligned line each."""
    if as_json:
        print(msgspec.json.encode(metrics).decode())
        return
    lines = list(_metric_lines(msgspec.to_builtins(metrics)))
    width = max(len(name) for name, _ in lines)
    for name, value in lines:
        print(f"{name:{width}} {value}")


def _metric_lines(metrics: Mapping[str, Any], prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Yields the name and value of each metric; the names of nested metrics are joined by dots."""
    for name, value in metrics.items():
        if isinstance(value, dict):
            yield from _metric_lines(value, f"{prefix}{name}.")
        else:
            yield f"{prefix}{name}", value


def run_in_tree(tree: str, module: str, *arguments: str, timeout_s: float | None = None) -> Any:
    """Runs a benchmark module of a checkout in a separate process; returns the parsed JSON that it prints.

    An older checkout is measured by its own module, because names in its code differ from those in this one.
    Raises subprocess.CalledProcessError if the module fails, and subprocess.TimeoutExpired after `timeout_s`.
    """
    command = [sys.executable, "-B", "-m", module, *arguments]
    environment = {**os.environ, "PYTHONPATH": tree}
    completed = subprocess.run(
        command,
        cwd=tree,
        env=environment,
        stdout=subprocess.PIPE,
        text=True,
        check=True,
        timeout=timeout_s,
    )
    return json.loads(completed.stdout)


def percentile(values: Sequence[float], share: float) -> float:
    """Returns the value below which a share of all values lies, for example 0.99."""
    ordered = sorted(values)
    return ordered[int(len(ordered) * share)]


async def start_discovery(stack: AsyncExitStack) -> tuple[SimulatedDiscovery, str]:
    """Starts a simulated discovery service, which the exit stack closes; returns it and its address."""
    discovery = SimulatedDiscovery()
    address = await discovery.start()
    stack.push_async_callback(discovery.close)
    return discovery, address
