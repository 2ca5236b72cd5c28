"""Types that decode the JSON of a forwarder's status address; an unknown key is an error."""

from __future__ import annotations

from msgspec import Struct

# Names in the JSON by names in the code, for the fields where the two differ.
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
    """How many upgraded connections to a worker are open, busy with a request, and resumable by a ticket."""

    open: int
    busy: int
    resumable: int


class PluginStatus(Struct, frozen=True, forbid_unknown_fields=True, rename=PLUGIN_NAMES):
    """What a plug-in has done since it was loaded."""

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
    """A forwarder's state; maps are by request class or by worker id."""

    node: int
    zone: str
    manager: str | None  # the address of the connected manager, None without one
    tables: dict[str, dict[str, float]]  # weights by request class and worker id
    admission_limits: dict[str, float | None]
    excluded: list[str]  # by a manager, or because they drain
    upgraded_connections: dict[str, UpgradedConnections]
    drain_phases: dict[str, str]
    connection_count: int
    plugins: list[PluginStatus]
    moved: int
    closed: int
    cut: int
    busy_cut: int
