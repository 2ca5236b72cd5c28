"""Shared by the benchmarks: arguments, printing of figures, and runs of an older checkout's benchmark."""

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

TREE = Path(__file__).resolve().parents[1]  # this checkout
MICROSECONDS_PER_S = 1e6
BYTES_PER_MB = 2**20


def argument_parser(doc: str | None) -> argparse.ArgumentParser:
    """A parser with the options that every benchmark has; its help is the module's first line."""
    parser = argparse.ArgumentParser(description=(doc or "").split("\n")[0])
    parser.add_argument("--json", action="store_true", help="print JSON in place of lines")
    return parser


def add_baseline_argument(parser: argparse.ArgumentParser) -> None:
    """Adds `--before TREE`, for benchmarks that can measure an older checkout, too."""
    parser.add_argument("--before", metavar="TREE", help="an older checkout, measured by its own benchmark")


def print_figures(figures: msgspec.Struct, as_json: bool) -> None:
    """Prints a record of figures as one JSON object or as aligned lines."""
    if as_json:
        print(msgspec.json.encode(figures).decode())
        return
    lines = list(_figure_lines(msgspec.to_builtins(figures)))
    width = max(len(name) for name, _ in lines)
    for name, value in lines:
        print(f"{name:{width}} {value}")


def _figure_lines(figures: Mapping[str, Any], prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Name and value of each figure; the names of nested figures are joined by dots."""
    for name, value in figures.items():
        if isinstance(value, dict):
            yield from _figure_lines(value, f"{prefix}{name}.")
        else:
            yield f"{prefix}{name}", value


def run_in_tree(tree: str, module: str, *arguments: str, timeout_s: float | None = None) -> Any:
    """Runs a benchmark module of a checkout in a process of its own; gives the JSON that it prints.

    The module is the checkout's own, as the program's names in an older checkout differ from these.
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
    """The value below which this share of all values lies, such as 0.99."""
    ordered = sorted(values)
    return ordered[int(len(ordered) * share)]


async def start_discovery(stack: AsyncExitStack) -> tuple[SimulatedDiscovery, str]:
    """A simulated discovery service, which the stack closes, and its address."""
    discovery = SimulatedDiscovery()
    address = await discovery.start()
    stack.push_async_callback(discovery.close)
    return discovery, address
