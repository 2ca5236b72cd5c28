"""`plugin check`, `run`, `bench` and `list`: a plug-in by hand, without a forwarder."""

from __future__ import annotations

import json
import statistics
import time
from pathlib import Path
from typing import Any

import click

from ..config.operator_config import read_operator_config
from ..plugins.chain import request_record
from ..plugins.host import Plugin, PluginError, PluginFault
from .memory import table

REQS_MOST = 100_000  # recorded reqs replayed at once


def _load(path: str, grants: tuple[str, ...]) -> Plugin | None:
    try:
        return Plugin("plug-in", path, frozenset(grants), 0, lambda name, words: click.echo(words, err=True))
    except PluginError as exc:
        click.echo(str(exc), err=True)
        return None


def check(path: str, grants: tuple[str, ...]) -> int:
    plugin = _load(path, grants)
    if plugin is None:
        return 1
    click.echo(f"{path}: interface 1, hooks {', '.join(plugin.hooks)}")
    return 0


def run(path: str, reqs: str, grants: tuple[str, ...], as_json: bool) -> int:
    """Each recorded req, a line of JSON (method, path, kind, headers), with what the plug-in would change."""
    plugin = _load(path, grants)
    if plugin is None:
        return 1
    rows: list[dict[str, Any]] = []
    for n, line in enumerate(Path(reqs).read_text().splitlines()[:REQS_MOST]):
        try:
            req = json.loads(line)
            data = request_record(
                "route", str(req["method"]), str(req["path"]), str(req.get("kind", "")), dict(req["headers"])
            )
        except (ValueError, KeyError, TypeError) as exc:
            click.echo(f"{reqs}: line {n + 1}: {type(exc).__name__}: {exc}", err=True)
            return 1
        row: dict[str, Any] = {"req": f"{req['method']} {req['path']}", "fault": ""}
        try:
            answer = plugin.call("route" if "route" in plugin.hooks else plugin.hooks[0], data)
            row |= {name: getattr(answer, name) for name in answer.__slots__}
        except PluginFault as exc:
            row["fault"] = f"{exc.kind}: {exc}"
        rows.append(row)
    if as_json:
        click.echo(json.dumps(rows))
        return 0
    changed = [("req", "would change")]
    for row in rows:
        said = {k: v for k, v in row.items() if k != "req" and v}
        changed.append((row["req"], ", ".join(f"{k}={v}" for k, v in said.items()) or "nothing"))
    table(changed)
    return 0


def bench(path: str, calls: int, grants: tuple[str, ...], as_json: bool) -> int:
    plugin = _load(path, grants)
    if plugin is None:
        return 1
    headers = {f"x-{n}": "v" * 20 for n in range(12)}
    data, took, faults = request_record("route", "GET", "/cases/42", "fetch", headers), list[float](), 0
    for _ in range(calls):
        begun = time.perf_counter()
        try:
            plugin.call(plugin.hooks[0], data)
        except PluginFault:
            faults += 1
        took.append((time.perf_counter() - begun) * 1e6)
    cuts = statistics.quantiles(took, n=100)
    out = {"calls": calls, "faults": faults, "p50_us": round(cuts[49], 1), "p99_us": round(cuts[98], 1),
           "fuel_a_call": plugin.counts.fuel // max(1, calls - faults)}  # fmt: skip
    if as_json:
        click.echo(json.dumps(out))
    else:
        table([list(out), list(out.values())])
    return 0


def listed(path: str, as_json: bool) -> int:
    """The plug-ins that an operators' file names, each loaded as a forwarder would."""
    operator = read_operator_config(path)
    part = operator.forwarder.plugins if operator.forwarder else None
    rows = []
    for p in part.chain if part else []:
        plugin = _load(p.path, tuple(p.grants))
        hooks = ",".join(plugin.hooks) if plugin else "can't be loaded"
        rows.append({"name": p.name, "path": p.path, "hooks": hooks, "fail": p.fail})
    if as_json:
        click.echo(json.dumps(rows))
    else:
        heads = ("name", "path", "hooks", "fail")
        table([heads, *([row[head] for head in heads] for row in rows)])
    return 0
