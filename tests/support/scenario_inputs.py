"""Parsers of the inputs in scenario lines; `tests/policy/test_scenarios.py` documents the grammar."""

from __future__ import annotations

from collections.abc import Callable

from cottonladder.model.inputs import (
    ArrivalReport,
    Endpoint,
    EndpointList,
    EndpointState,
    GossipReceived,
    HealthCheckResult,
    Input,
    ListUpdateKind,
    LoadReport,
    ProxyConnected,
    ProxyDisconnected,
    SliceAssigned,
    StoredWeight,
    TimerFired,
)

REPORT_INTERVAL_S = 1.0


def _metrics(args: list[str]) -> dict[str, float]:
    pairs = [arg.split("=") for arg in args if "=" in arg]
    return {name: float(value) for name, value in pairs}


def parse_connections(args: list[str]) -> list[ProxyConnected]:
    """Returns one input for each proxy of a `join` line."""
    proxy_range, zone = args[0][1:].split("@")
    first, _, last = proxy_range.partition("-p")
    proxies = range(int(first), int(last or first) + 1)
    return [ProxyConnected(proxy, int(zone), float(args[1]), "has_table" not in args) for proxy in proxies]


def _endpoint_list(args: list[str]) -> EndpointList:
    return EndpointList(ListUpdateKind[args[0].upper()], tuple(_endpoint(arg) for arg in args[1:]))


def _endpoint(text: str) -> Endpoint:
    text, _, started_at = text.partition("^")
    text, _, state_name = text.partition("/")
    text, _, weight = text.partition("*")
    worker_index, zone = text[1:].split("@")
    state = EndpointState[state_name.upper()] if state_name else EndpointState.READY
    return Endpoint(int(worker_index), int(zone), state, float(weight or 1), float(started_at or 0))


def _disconnection(args: list[str]) -> ProxyDisconnected:
    return ProxyDisconnected(int(args[0][1:]))


def _load_report(args: list[str]) -> LoadReport:
    worker_index, zone = args[0][1:].split("@")
    attempts, failed = args[1].split("/")
    duration_s = float(args[2]) / 1000
    return LoadReport(
        int(worker_index),
        int(zone),
        int(attempts),
        int(failed),
        REPORT_INTERVAL_S,
        duration_s,
        _metrics(args),
    )


def _arrival_report(args: list[str]) -> ArrivalReport:
    return ArrivalReport(int(args[0][1:]), int(args[1]), int(args[2]), 0, REPORT_INTERVAL_S)


def _health_check_result(args: list[str]) -> HealthCheckResult:
    has_succeeded = args[1] != "lost"
    duration_s = float(args[1]) / 1000 if has_succeeded else 0.0
    return HealthCheckResult(int(args[0][1:]), has_succeeded, duration_s, _metrics(args))


def _slice_assigned(args: list[str]) -> SliceAssigned:
    return SliceAssigned(int(args[0]), args[1] == "on")


def _stored_weight(args: list[str]) -> StoredWeight:
    return StoredWeight(int(args[0]), int(args[1][1:]), float(args[2]))


def _gossip(args: list[str]) -> GossipReceived:
    return GossipReceived(1, " ".join(args))


def _timer(args: list[str]) -> TimerFired:
    return TimerFired(int(args[0]))


INPUT_PARSERS: dict[str, Callable[[list[str]], Input]] = {
    "list": _endpoint_list,
    "leave": _disconnection,
    "load_report": _load_report,
    "arrival_report": _arrival_report,
    "health_check": _health_check_result,
    "slice_assigned": _slice_assigned,
    "stored_weight": _stored_weight,
    "gossip": _gossip,
    "timer": _timer,
}
