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

    `location` names the event and the manager in error messages.
    """

    def __init__(self, settings: DeploymentSettings, worker_ids: WorkerIds) -> None:
        self._settings = settings
        self._worker_ids = worker_ids

    def decode(self, name: str, body: Any, location: str) -> Input:
        """Decodes one event; raises ConfigError if the simulator's protocol does not allow it."""
        decode_event = _EVENT_DECODERS.get(name)
        if decode_event is None:
            raise ConfigError(location, "unknown event")
        return decode_event(self, body, location)

    def _worker(self, body: Any, location: str) -> int:
        return self._worker_ids.index_of(read_field(body, "Worker", int, location))

    def _zone(self, body: Any, location: str) -> int:
        return self._settings.zone_index(read_field(body, "Locality", str, location), location)

    def _request_class(self, body: Any, location: str) -> int:
        return self._settings.request_class_index(read_field(body, "Lane", str, location), location)

    def _metrics(self, body: Any, location: str) -> dict[str, float]:
        metrics = read_field(body, "HealthInfo", dict, location, {})
        return {name: float(value) for name, value in metrics.items() if isinstance(value, NUMBER_TYPES)}

    def _endpoint_list(self, body: Any, location: str) -> Input:
        kind = read_field(body, "How", int, location)
        if kind not in LIST_UPDATE_KINDS:
            raise UnknownValueError(location, "How", LIST_UPDATE_KINDS, kind)
        entries = read_field(body, "Entries", list, location, [])
        endpoints = tuple(self._endpoint(entry, location) for entry in entries)
        return EndpointList(ListUpdateKind(kind), endpoints)

    def _endpoint(self, body: Any, location: str) -> Endpoint:
        state = read_field(body, "Mode", int, location)
        if state not in ENDPOINT_STATES:
            raise UnknownValueError(location, "Mode", ENDPOINT_STATES, state)
        return Endpoint(
            worker_index=self._worker(body, location),
            zone=self._zone(body, location),
            state=EndpointState(state),
            weight=float(read_field(body, "Size", NUMBER_TYPES, location, 1.0)),
            started_at=read_seconds(body, "CameUpMs", location, 0.0),
        )

    def _timer_fired(self, body: Any, location: str) -> Input:
        return TimerFired(read_field(body, "Nonce", int, location))

    def _health_check_result(self, body: Any, location: str) -> Input:
        has_succeeded = read_field(body, "StateCode", str, location) == SERVED
        return HealthCheckResult(
            self._worker(body, location),
            has_succeeded,
            read_seconds(body, "RttMs", location, 0.0),
            self._metrics(body, location),
        )

    def _gossip(self, body: Any, location: str) -> Input:
        return GossipReceived(
            read_field(body, "From", int, location), read_field(body, "Data", str, location, "")
        )

    def _proxy_connected(self, body: Any, location: str) -> Input:
        return ProxyConnected(
            read_field(body, "Proxy", int, location),
            self._zone(body, location),
            float(read_field(body, "Size", NUMBER_TYPES, location, 0.0)),
            read_field(body, "Active", bool, location, False),
        )

    def _proxy_disconnected(self, body: Any, location: str) -> Input:
        return ProxyDisconnected(read_field(body, "Proxy", int, location))

    def _load_report(self, body: Any, location: str) -> Input:
        return LoadReport(
            self._worker(body, location),
            self._zone(body, location),
            read_field(body, "Many", int, location),
            read_field(body, "Failed", int, location, 0),
            read_seconds(body, "ElapsedMs", location),
            read_seconds(body, "RttMs", location, 0.0),
            self._metrics(body, location),
        )

    def _arrival_report(self, body: Any, location: str) -> Input:
        return ArrivalReport(
            read_field(body, "Proxy", int, location),
            self._request_class(body, location),
            read_field(body, "Many", int, location),
            read_field(body, "Failed", int, location, 0),
            read_seconds(body, "ElapsedMs", location),
        )

    def _slice_load_report(self, body: Any, location: str) -> Input:
        return SliceLoadReport(
            read_field(body, "SetId", int, location),
            self._request_class(body, location),
            read_field(body, "Many", int, location),
            read_field(body, "Failed", int, location, 0),
            read_seconds(body, "ElapsedMs", location),
        )

    def _slice_assigned(self, body: Any, location: str) -> Input:
        return SliceAssigned(
            read_field(body, "SetId", int, location), read_field(body, "Active", bool, location, False)
        )

    def _stored_weight(self, body: Any, location: str) -> Input:
        table = read_field(body, "SetId", int, location)
        worker = self._worker(body, location)
        return StoredWeight(table, worker, float(read_field(body, "Size", NUMBER_TYPES, location, 1.0)))

    def _acknowledged(self, body: Any, location: str) -> Input:
        proxy = read_field(body, "Proxy", int, location)
        number = read_field(body, "Rev", int, location)
        return Acknowledged(proxy, number, read_seconds(body, "RttMs", location, 0.0))


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
