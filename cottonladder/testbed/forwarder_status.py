"""Types for the JSON that a forwarder serves at its status address; an unknown key is an error."""

from __future__ import annotations

from msgspec import Struct

# JSON keys by field name, for the fields whose key differs.
STATUS_NAMES = {
    "admission_limits": "levels",
    "excluded": "shut",
    "upgraded_connections": "held",
    "drain_phases": "drains",
    "connection_count": "connections",
}
PLUGIN_NAMES = {
    "name": "plugin",
    "breaker_state": "breaker",
    "breaker_opened": "opened",
    "skipped_calls": "skipped",
    "clipped_answers": "clipped",
    "duration_ms": "ms",
}


class UpgradedConnections(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Counts of upgraded connections to a worker: open, busy with a request, and resumable by a ticket."""

    open: int
    busy: int
    resumable: int


class PluginStatus(Struct, frozen=True, forbid_unknown_fields=True, rename=PLUGIN_NAMES):
    """The state and counters of a plug-in since it was loaded."""

    name: str
    breaker_state: str
    breaker_opened: int
    calls: int
    faults: int
    skipped_calls: int
    clipped_answers: int
    duration_ms: float
    fuel: int
    longest_ms: float


class ForwarderStatus(Struct, frozen=True, forbid_unknown_fields=True, rename=STATUS_NAMES):
    """A forwarder's state; dicts are keyed by request class or by worker id."""

    node: int
    zone: str
    manager: str | None  # address of the connected manager, None if not connected
    tables: dict[str, dict[str, float]]  # weights by request class, then by worker id
    admission_limits: dict[str, float | None]
    excluded: list[str]  # ids of workers that a manager has excluded or that drain
    upgraded_connections: dict[str, UpgradedConnections]
    drain_phases: dict[str, str]
    connection_count: int
    plugins: list[PluginStatus]
    moved: int
    closed: int
    cut: int
    busy_cut: int
