"""Loads a plug-in as a forwarder would and calls it on recorded or made-up requests."""

from __future__ import annotations

import json
import statistics
import time
from pathlib import Path
from typing import Any

import click

from ..config.operator_file import read_operator_config
from ..plugins.chain import request_record
from ..plugins.host import Plugin, PluginError, PluginFault
from .errors import CommandError

MAX_REQUESTS = 100_000  # recorded requests replayed at once
HEADER_COUNT = 12  # of the request that is measured, as a browser's has
HEADER_VALUE = "v" * 20
MICROSECONDS_PER_S = 1e6


def load_plugin(path: str, grants: tuple[str, ...]) -> Plugin:
    """Loads a plug-in; what it logs goes to standard error."""
    try:
        return Plugin("plug-in", path, frozenset(grants), 0, lambda name, words: click.echo(words, err=True))
    except PluginError as exc:
        raise CommandError(str(exc)) from exc


def replay(plugin: Plugin, requests_path: str) -> list[dict[str, Any]]:
    """Each recorded request (method, path, kind, headers) with what the plug-in answers to it."""
    hook = "route" if "route" in plugin.hooks else plugin.hooks[0]
    rows = []
    for number, line in enumerate(Path(requests_path).read_text().splitlines()[:MAX_REQUESTS], start=1):
        try:
            request = json.loads(line)
            record = _route_record(request)
        except (ValueError, KeyError, TypeError) as exc:
            raise CommandError(f"{requests_path}: line {number}: {type(exc).__name__}: {exc}") from exc
        name = f"{request['method']} {request['path']}"
        rows.append({"req": name, "fault": "", **_answer(plugin, hook, record)})
    return rows


def _route_record(request: dict[str, Any]) -> bytes:
    return request_record(
        "route",
        str(request["method"]),
        str(request["path"]),
        str(request.get("kind", "")),
        dict(request["headers"]),
    )


def _answer(plugin: Plugin, hook: str, record: bytes) -> dict[str, Any]:
    try:
        answer = plugin.call(hook, record)
    except PluginFault as exc:
        return {"fault": f"{exc.kind}: {exc}"}
    return {name: getattr(answer, name) for name in answer.__slots__}


def measure_calls(plugin: Plugin, call_count: int) -> dict[str, float]:
    """Times and fuel of calls on one made-up request."""
    headers = {f"x-{number}": HEADER_VALUE for number in range(HEADER_COUNT)}
    record = request_record("route", "GET", "/cases/42", "fetch", headers)
    durations_us = []
    faults = 0
    for _ in range(call_count):
        started_at = time.perf_counter()
        try:
            plugin.call(plugin.hooks[0], record)
        except PluginFault:
            faults += 1
        durations_us.append((time.perf_counter() - started_at) * MICROSECONDS_PER_S)
    percentiles = statistics.quantiles(durations_us, n=100)
    return {
        "calls": call_count,
        "faults": faults,
        "p50_us": round(percentiles[49], 1),
        "p99_us": round(percentiles[98], 1),
        "fuel_a_call": plugin.counts.fuel // max(1, call_count - faults),
    }


def configured_plugins(operator_path: str) -> list[dict[str, str]]:
    """The forwarder's plug-ins in an operators' file, each loaded; faults are told and listed."""
    operator_config = read_operator_config(operator_path)
    plugins_config = operator_config.forwarder.plugins if operator_config.forwarder else None
    rows = []
    for config in plugins_config.chain if plugins_config else []:
        try:
            hooks = ",".join(load_plugin(config.path, tuple(config.grants)).hooks)
        except CommandError as exc:
            exc.show()
            hooks = "can't be loaded"
        rows.append({"name": config.name, "path": config.path, "hooks": hooks, "fail": config.fail})
    return rows
