"""The simulator's JSON messages as typed inputs, and orders as its JSON actions; nothing is decided here."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..config.deployment import DeploymentSettings, read_settings
from ..config.errors import ConfigError, UnknownValueError
from ..config.fields import NUMBER, field, seconds
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
from ..model.orders import (
    BindProxy,
    Checkpoint,
    ClearTable,
    ExcludeWorker,
    FetchEndpoints,
    HealthCheck,
    Order,
    SendGossip,
    SetAdmission,
    SetWeight,
    StartTimer,
    WatchEndpoints,
)
from ..model.state_change_text import state_change_text
from ..model.state_changes import AdmissionChanged, StateChange, WorkerStateChanged

KNOWN_STATES = (EndpointState.DRAINING, EndpointState.READY, EndpointState.GONE)
KNOWN_LIST_KINDS = (
    ListUpdateKind.FULL,
    ListUpdateKind.FAILED,
    ListUpdateKind.DELTA,
    ListUpdateKind.CACHED,
)


class ManagerCodec:
    """Codec of one simulated manager: worker ids and names become indices, milliseconds become seconds."""

    def __init__(self, body: Any, where: str) -> None:
        info = field(body, "Info", dict, where)
        self.settings: DeploymentSettings = read_settings(info, field(body, "Prng", int, where), where)
        self.worker_ids: list[int] = []  # by worker index
        self._worker_indices: dict[int, int] = {}  # by worker id

    def read(self, name: str, body: Any, where: str) -> Input:
        """One event of the simulator as an input of the policy."""
        reader = _EVENT_READERS.get(name)
        if reader is None:
            raise ConfigError(where, "unknown event")
        return reader(self, body, where)

    def write(self, order: Order) -> dict[str, Any]:
        """One order of the policy as an action of the simulator."""
        return _ORDER_WRITERS[type(order)](self, order)

    def _worker(self, body: Any, where: str) -> int:
        worker_id = field(body, "Worker", int, where)
        index = self._worker_indices.get(worker_id)
        if index is None:
            index = len(self.worker_ids)
            self._worker_indices[worker_id] = index
            self.worker_ids.append(worker_id)
        return index

    def _zone(self, body: Any, where: str) -> int:
        return self.settings.zone_index(field(body, "Locality", str, where), where)

    def _request_class(self, body: Any, where: str) -> int:
        return self.settings.class_index(field(body, "Lane", str, where), where)

    def _metrics(self, body: Any, where: str) -> dict[str, float]:
        metrics = field(body, "HealthInfo", dict, where, {})
        return {name: float(value) for name, value in metrics.items() if isinstance(value, NUMBER)}

    # events

    def _endpoint_list(self, body: Any, where: str) -> Input:
        kind = field(body, "How", int, where)
        if kind not in KNOWN_LIST_KINDS:
            raise UnknownValueError(where, "How")
        entries = field(body, "Entries", list, where, [])
        endpoints = tuple(self._endpoint(entry, where) for entry in entries)
        return EndpointList(ListUpdateKind(kind), endpoints)

    def _endpoint(self, body: Any, where: str) -> Endpoint:
        state = field(body, "Mode", int, where)
        if state not in KNOWN_STATES:
            raise UnknownValueError(where, "Mode")
        return Endpoint(
            worker_index=self._worker(body, where),
            zone=self._zone(body, where),
            state=EndpointState(state),
            weight=float(field(body, "Size", NUMBER, where, 1.0)),
            started_at=seconds(body, "CameUpMs", where, 0.0),
        )

    def _timer_fired(self, body: Any, where: str) -> Input:
        return TimerFired(field(body, "Nonce", int, where))

    def _health_check_result(self, body: Any, where: str) -> Input:
        has_succeeded = field(body, "StateCode", str, where) == "served"
        return HealthCheckResult(
            self._worker(body, where),
            has_succeeded,
            seconds(body, "RttMs", where, 0.0),
            self._metrics(body, where),
        )

    def _gossip(self, body: Any, where: str) -> Input:
        return GossipReceived(field(body, "From", int, where), field(body, "Data", str, where, ""))

    def _proxy_connected(self, body: Any, where: str) -> Input:
        return ProxyConnected(
            field(body, "Proxy", int, where),
            self._zone(body, where),
            float(field(body, "Size", NUMBER, where, 0.0)),
            field(body, "Active", bool, where, False),
        )

    def _proxy_disconnected(self, body: Any, where: str) -> Input:
        return ProxyDisconnected(field(body, "Proxy", int, where))

    def _load_report(self, body: Any, where: str) -> Input:
        return LoadReport(
            self._worker(body, where),
            self._zone(body, where),
            field(body, "Many", int, where),
            field(body, "Failed", int, where, 0),
            seconds(body, "ElapsedMs", where),
            seconds(body, "RttMs", where, 0.0),
            self._metrics(body, where),
        )

    def _arrival_report(self, body: Any, where: str) -> Input:
        return ArrivalReport(
            field(body, "Proxy", int, where),
            self._request_class(body, where),
            field(body, "Many", int, where),
            field(body, "Failed", int, where, 0),
            seconds(body, "ElapsedMs", where),
        )

    def _slice_load_report(self, body: Any, where: str) -> Input:
        return SliceLoadReport(
            field(body, "SetId", int, where),
            self._request_class(body, where),
            field(body, "Many", int, where),
            field(body, "Failed", int, where, 0),
            seconds(body, "ElapsedMs", where),
        )

    def _slice_assigned(self, body: Any, where: str) -> Input:
        return SliceAssigned(field(body, "SetId", int, where), field(body, "Active", bool, where, False))

    def _stored_weight(self, body: Any, where: str) -> Input:
        table = field(body, "SetId", int, where)
        worker = self._worker(body, where)
        return StoredWeight(table, worker, float(field(body, "Size", NUMBER, where, 1.0)))

    def _acknowledged(self, body: Any, where: str) -> Input:
        proxy = field(body, "Proxy", int, where)
        number = field(body, "Rev", int, where)
        return Acknowledged(proxy, number, seconds(body, "RttMs", where, 0.0))

    # orders

    def _set_weight(self, order: SetWeight) -> dict[str, Any]:
        worker_id = self.worker_ids[order.worker_index]
        return {"UPSERT": {"SetId": order.table, "Worker": worker_id, "Size": order.weight}}

    def _clear_table(self, order: ClearTable) -> dict[str, Any]:
        return {"EMPTY": {"SetId": order.table}}

    def _bind_proxy(self, order: BindProxy) -> dict[str, Any]:
        return {"PIN": {"Proxy": order.proxy, "SetId": order.table, "Only": order.class_mask}}

    def _exclude_worker(self, order: ExcludeWorker) -> dict[str, Any]:
        worker_id = self.worker_ids[order.worker_index]
        return {"CORDON": {"Active": order.excluded, "Worker": worker_id}}

    def _set_admission(self, order: SetAdmission) -> dict[str, Any]:
        body = {
            "SetId": order.table,
            "LetIn": order.admission,
            "Only": order.class_mask,
            "OnFailure": int(order.retry_policy),
        }
        return {"ADMIT": body}

    def _checkpoint(self, order: Checkpoint) -> dict[str, Any]:
        return {"STAMP": {"Active": order.to_all_proxies, "Rev": order.number}}

    def _watch_endpoints(self, order: WatchEndpoints) -> dict[str, Any]:
        return {"WATCH": {"Active": order.enabled}}

    def _fetch_endpoints(self, order: FetchEndpoints) -> dict[str, Any]:
        return {"GET_LIST": {}}

    def _health_check(self, order: HealthCheck) -> dict[str, Any]:
        return {"SOUND_OUT": {"Worker": self.worker_ids[order.worker_index]}}

    def _send_gossip(self, order: SendGossip) -> dict[str, Any]:
        return {"BROADCAST_TO": {"Whom": order.recipient, "Data": order.text}}

    def _start_timer(self, order: StartTimer) -> dict[str, Any]:
        return {"DEFER": {"SleepForMs": order.delay_s * 1000.0, "Nonce": order.token}}

    def _state_change(self, change: StateChange) -> dict[str, Any]:
        return {"REMARK": {"Words": state_change_text(change)}}


_EVENT_READERS: dict[str, Callable[[ManagerCodec, Any, str], Input]] = {
    "SYNC": ManagerCodec._endpoint_list,
    "WAKE": ManagerCodec._timer_fired,
    "PROBE_DONE": ManagerCodec._health_check_result,
    "HEARD": ManagerCodec._gossip,
    "CONNECTED": ManagerCodec._proxy_connected,
    "LOST_STREAM": ManagerCodec._proxy_disconnected,
    "TALLY": ManagerCodec._load_report,
    "INGRESS": ManagerCodec._arrival_report,
    "SLICE_LOAD": ManagerCodec._slice_load_report,
    "GIVEN": ManagerCodec._slice_assigned,
    "STORED_LINE": ManagerCodec._stored_weight,
    "CAUGHT_UP": ManagerCodec._acknowledged,
}

_ORDER_WRITERS: dict[type, Callable[[ManagerCodec, Any], dict[str, Any]]] = {
    SetWeight: ManagerCodec._set_weight,
    ClearTable: ManagerCodec._clear_table,
    BindProxy: ManagerCodec._bind_proxy,
    ExcludeWorker: ManagerCodec._exclude_worker,
    SetAdmission: ManagerCodec._set_admission,
    Checkpoint: ManagerCodec._checkpoint,
    WatchEndpoints: ManagerCodec._watch_endpoints,
    FetchEndpoints: ManagerCodec._fetch_endpoints,
    HealthCheck: ManagerCodec._health_check,
    SendGossip: ManagerCodec._send_gossip,
    StartTimer: ManagerCodec._start_timer,
    WorkerStateChanged: ManagerCodec._state_change,
    AdmissionChanged: ManagerCodec._state_change,
}
