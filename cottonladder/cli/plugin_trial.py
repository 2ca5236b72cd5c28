"""Trial of a plug-in, loaded as by a forwarder and called with recorded or synthetic requests."""

from __future__ import annotations

import json
import statistics
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from ..config.operator_config import PluginConfig
from ..config.operator_file import read_operator_config
from ..plugins.abi import Answer
from ..plugins.chain import request_record
from ..plugins.errors import PluginFault, PluginLoadError
from ..plugins.host import Plugin
from .errors import CommandError

MAX_REQUESTS = 100_000  # per file; later lines are not replayed
HEADER_COUNT = 12  # headers of the synthetic request; about as many as a browser sends
HEADER_VALUE = "v" * 20
MICROSECONDS_PER_S = 1e6
PERCENTILE_COUNT = 100


@dataclass(frozen=True, slots=True)
class ReplayedRequest:
    """One recorded request, and the plug-in's answer or fault."""

    request: str  # method and path
    answer: Answer | None  # None if the call failed
    fault: str = ""  # empty if the call succeeded

    def outcome(self) -> dict[str, object]:
        """Returns the fault and the fields of the answer, under the names that the command prints."""
        answer_fields = self.answer.interface_fields() if self.answer is not None else {}
        return {"fault": self.fault, **answer_fields}


@dataclass(frozen=True, slots=True)
class CallTimings:
    """The duration and fuel of calls; the field names are the column headers and the keys of the JSON."""

    calls: int
    faults: int
    p50_us: float
    p99_us: float
    fuel_a_call: int


@dataclass(frozen=True, slots=True)
class ConfiguredPlugin:
    """A plug-in of an operators' file; the field names are the column headers and the keys of the JSON."""

    name: str
    path: str
    hooks: str
    fail: str


def load_plugin(path: str, grants: tuple[str, ...]) -> Plugin:
    """Loads a plug-in, whose log lines are printed on standard error; raises CommandError if it can't."""
    try:
        return Plugin("plug-in", path, frozenset(grants), 0, _print_log_line)
    except PluginLoadError as exc:
        raise CommandError(str(exc)) from exc


def _print_log_line(_name: str, line: str) -> None:
    click.echo(line, err=True)


def replay(plugin: Plugin, requests_path: str) -> list[ReplayedRequest]:
    """Calls the plug-in with each request of a file that has one JSON object per line."""
    hook = "route" if "route" in plugin.hooks else plugin.hooks[0]
    replayed = []
    for number, line in enumerate(Path(requests_path).read_text().splitlines()[:MAX_REQUESTS], start=1):
        try:
            request = json.loads(line)
            record = _route_record(request)
        except KeyError as exc:
            raise CommandError(f"{requests_path}: line {number}: field {exc.args[0]} is missing") from exc
        except (ValueError, TypeError) as exc:
            expected = "expected a JSON object with the fields method, path and headers"
            raise CommandError(f"{requests_path}: line {number}: {expected}: {exc}") from exc
        replayed.append(_replay_one(plugin, hook, record, f"{request['method']} {request['path']}"))
    return replayed


def _route_record(request: Any) -> bytes:
    """Encodes a recorded request for the plug-in.

    Raises KeyError if a field is missing, and TypeError or ValueError if the request has another form.
    """
    return request_record(
        "route",
        str(request["method"]),
        str(request["path"]),
        str(request.get("kind", "")),
        dict(request["headers"]),
    )


def _replay_one(plugin: Plugin, hook: str, record: bytes, request: str) -> ReplayedRequest:
    try:
        answer = plugin.call(hook, record)
    except PluginFault as exc:
        return ReplayedRequest(request, None, f"{exc.kind}: {exc}")
    return ReplayedRequest(request, answer)


def measure_calls(plugin: Plugin, call_count: int) -> CallTimings:
    """Measures calls of the plug-in's first hook, all with the same synthetic request."""
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
    percentiles = statistics.quantiles(durations_us, n=PERCENTILE_COUNT)
    return CallTimings(
        calls=call_count,
        faults=faults,
        p50_us=round(percentiles[49], 1),
        p99_us=round(percentiles[98], 1),
        fuel_a_call=plugin.counts.fuel // max(1, call_count - faults),
    )


def configured_plugins(operator_path: str) -> list[ConfiguredPlugin]:
    """Loads each plug-in of the forwarder in an operators' file.

    If a plug-in can't be loaded, the reason is printed on standard error.
    """
    operator_config = read_operator_config(operator_path)
    if operator_config.forwarder is None or operator_config.forwarder.plugins is None:
        return []
    return [_load_configured(config) for config in operator_config.forwarder.plugins.chain]


def _load_configured(config: PluginConfig) -> ConfiguredPlugin:
    try:
        hooks = ",".join(load_plugin(config.path, tuple(config.grants)).hooks)
    except CommandError as exc:
        exc.show()
        hooks = "can't be loaded"
    return ConfiguredPlugin(config.name, config.path, hooks, config.fail)
