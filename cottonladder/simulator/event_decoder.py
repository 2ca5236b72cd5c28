"""Decoder of the simulator's events into typed inputs of the policy.

The names of events and fields are those of the simulator's protocol.  Worker ids and names become indices,
and milliseconds become seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..config.deployment import DeploymentSettings
from ..config.errors import ConfigError, UnknownValueError
from ..config.fields import NUMBER_TYPES, read_field, read_seconds
from ..model.inputs import (
    Acknowledged,
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
    SliceLoadReport,
    StoredWeight,
    TimerFired,
)
from .worker_ids import WorkerIds

# The members that the simulator's protocol has too, with the same values.
ENDPOINT_STATES = (EndpointState.DRAINING, EndpointState.READY, EndpointState.GONE)
LIST_UPDATE_KINDS = (
    ListUpdateKind.FULL,
    ListUpdateKind.FAILED,
    ListUpdateKind.DELTA,
    ListUpdateKind.CACHED,
)
SERVED = "served"  # the status of a health check that succeeded


class EventDecoder:
    """Decoder of the events of one simulated manager.

    `where` names the event and the manager in error messages.
    """

    def __init__(self, settings: DeploymentSettings, worker_ids: WorkerIds) -> None:
        self._settings = settings
        self._worker_ids = worker_ids

    def decode(self, name: str, body: Any, where: str) -> Input:
        """Decodes one event; raises ConfigError if the simulator's protocol does not allow it."""
        decode_event = _EVENT_DECODERS.get(name)
        if decode_event is None:
            raise ConfigError(where, "unknown event")
        return decode_event(self, body, where)

    def _worker(self, body: Any, where: str) -> int:
        return self._worker_ids.index_of(read_field(body, "Worker", int, where))

    def _zone(self, body: Any, where: str) -> int:
        return self._settings.zone_index(read_field(body, "Locality", str, where), where)

    def _request_class(self, body: Any, where: str) -> int:
        return self._settings.class_index(read_field(body, "Lane", str, where), where)

    def _metrics(self, body: Any, where: str) -> dict[str, float]:
        metrics = read_field(body, "HealthInfo", dict, where, {})
        return {name: float(value) for name, value in metrics.items() if isinstance(value, NUMBER_TYPES)}

    def _endpoint_list(self, body: Any, where: str) -> Input:
        kind = read_field(body, "How", int, where)
        if kind not in LIST_UPDATE_KINDS:
            raise UnknownValueError(where, "How", LIST_UPDATE_KINDS, kind)
        entries = read_field(body, "Entries", list, where, [])
        endpoints = tuple(self._endpoint(entry, where) for entry in entries)
        return EndpointList(ListUpdateKind(kind), endpoints)

    def _endpoint(self, body: Any, where: str) -> Endpoint:
        state = read_field(body, "Mode", int, where)
        if state not in ENDPOINT_STATES:
            raise UnknownValueError(where, "Mode", ENDPOINT_STATES, state)
        return Endpoint(
            worker_index=self._worker(body, where),
            zone=self._zone(body, where),
            state=EndpointState(state),
            weight=float(read_field(body, "Size", NUMBER_TYPES, where, 1.0)),
            started_at=read_seconds(body, "CameUpMs", where, 0.0),
        )

    def _timer_fired(self, body: Any, where: str) -> Input:
        return TimerFired(read_field(body, "Nonce", int, where))

    def _health_check_result(self, body: Any, where: str) -> Input:
        has_succeeded = read_field(body, "StateCode", str, where) == SERVED
        return HealthCheckResult(
            self._worker(body, where),
            has_succeeded,
            read_seconds(body, "RttMs", where, 0.0),
            self._metrics(body, where),
        )

    def _gossip(self, body: Any, where: str) -> Input:
        return GossipReceived(read_field(body, "From", int, where), read_field(body, "Data", str, where, ""))

    def _proxy_connected(self, body: Any, where: str) -> Input:
        return ProxyConnected(
            read_field(body, "Proxy", int, where),
            self._zone(body, where),
            float(read_field(body, "Size", NUMBER_TYPES, where, 0.0)),
            read_field(body, "Active", bool, where, False),
        )

    def _proxy_disconnected(self, body: Any, where: str) -> Input:
        return ProxyDisconnected(read_field(body, "Proxy", int, where))

    def _load_report(self, body: Any, where: str) -> Input:
        return LoadReport(
            self._worker(body, where),
            self._zone(body, where),
            read_field(body, "Many", int, where),
            read_field(body, "Failed", int, where, 0),
            read_seconds(body, "ElapsedMs", where),
            read_seconds(body, "RttMs", where, 0.0),
            self._metrics(body, where),
        )

    def _arrival_report(self, body: Any, where: str) -> Input:
        return ArrivalReport(
            read_field(body, "Proxy", int, where),
            self._request_class(body, where),
            read_field(body, "Many", int, where),
            read_field(body, "Failed", int, where, 0),
            read_seconds(body, "ElapsedMs", where),
        )

    def _slice_load_report(self, body: Any, where: str) -> Input:
        return SliceLoadReport(
            read_field(body, "SetId", int, where),
            self._request_class(body, where),
            read_field(body, "Many", int, where),
            read_field(body, "Failed", int, where, 0),
            read_seconds(body, "ElapsedMs", where),
        )

    def _slice_assigned(self, body: Any, where: str) -> Input:
        return SliceAssigned(
            read_field(body, "SetId", int, where), read_field(body, "Active", bool, where, False)
        )

    def _stored_weight(self, body: Any, where: str) -> Input:
        table = read_field(body, "SetId", int, where)
        worker = self._worker(body, where)
        return StoredWeight(table, worker, float(read_field(body, "Size", NUMBER_TYPES, where, 1.0)))

    def _acknowledged(self, body: Any, where: str) -> Input:
        proxy = read_field(body, "Proxy", int, where)
        number = read_field(body, "Rev", int, where)
        return Acknowledged(proxy, number, read_seconds(body, "RttMs", where, 0.0))


_EVENT_DECODERS: dict[str, Callable[[EventDecoder, Any, str], Input]] = {
    "SYNC": EventDecoder._endpoint_list,
    "WAKE": EventDecoder._timer_fired,
    "PROBE_DONE": EventDecoder._health_check_result,
    "HEARD": EventDecoder._gossip,
    "CONNECTED": EventDecoder._proxy_connected,
    "LOST_STREAM": EventDecoder._proxy_disconnected,
    "TALLY": EventDecoder._load_report,
    "INGRESS": EventDecoder._arrival_report,
    "SLICE_LOAD": EventDecoder._slice_load_report,
    "GIVEN": EventDecoder._slice_assigned,
    "STORED_LINE": EventDecoder._stored_weight,
    "CAUGHT_UP": EventDecoder._acknowledged,
}
