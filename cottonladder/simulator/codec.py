"""The simulator's JSON wire to the interface types and back; no decision is taken here."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..config.deployment import DeploymentSettings, read_settings
from ..config.errors import InputError
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
    LogModeChange,
    Order,
    SendGossip,
    SetAdmission,
    SetWeight,
    StartTimer,
    WatchEndpoints,
)


class ManagerCodec:
    """One instance's door: its ids and names become small indices, its milliseconds seconds."""

    def __init__(self, body: dict[str, Any], where: str) -> None:
        info = field(body, "Info", dict, where)
        self.settings: DeploymentSettings = read_settings(info, field(body, "Prng", int, where), where)
        self.worker_ids: list[int] = []
        self._worker_index: dict[int, int] = {}

    def _worker(self, body: Any, where: str) -> int:
        wire_id = field(body, "Worker", int, where)
        index = self._worker_index.get(wire_id)
        if index is None:
            index = self._worker_index[wire_id] = len(self.worker_ids)
            self.worker_ids.append(wire_id)
        return index

    def _metrics(self, body: Any, where: str) -> dict[str, float]:
        pairs = field(body, "HealthInfo", dict, where, {})
        return {k: float(v) for k, v in pairs.items() if isinstance(v, NUMBER)}

    def _endpoint(self, body: Any, where: str) -> Endpoint:
        mode = field(body, "Mode", int, where)
        if mode not in (0, 1, 2):
            raise InputError(f"{where}: field Mode has an unknown value")
        return Endpoint(
            worker_index=self._worker(body, where),
            zone=self.settings.zone_index(field(body, "Locality", str, where), where),
            state=EndpointState(mode),
            weight=float(field(body, "Size", NUMBER, where, 1.0)),
            started_at=seconds(body, "CameUpMs", where, 0.0),
        )

    def _endpoint_list(self, b: Any, w: str) -> Input:
        how = field(b, "How", int, w)
        if how not in (0, 1, 2, 3):
            raise InputError(f"{w}: field How has an unknown value")
        entries = field(b, "Entries", list, w, [])
        return EndpointList(ListUpdateKind(how), tuple(self._endpoint(e, w) for e in entries))

    def _timer_fired(self, b: Any, w: str) -> Input:
        return TimerFired(field(b, "Nonce", int, w))

    def _health_check_result(self, b: Any, w: str) -> Input:
        done = field(b, "StateCode", str, w) == "served"
        return HealthCheckResult(self._worker(b, w), done, seconds(b, "RttMs", w, 0.0), self._metrics(b, w))

    def _gossip(self, b: Any, w: str) -> Input:
        return GossipReceived(field(b, "From", int, w), field(b, "Data", str, w, ""))

    def _proxy_connected(self, b: Any, w: str) -> Input:
        return ProxyConnected(
            field(b, "Proxy", int, w),
            self.settings.zone_index(field(b, "Locality", str, w), w),
            float(field(b, "Size", NUMBER, w, 0.0)),
            field(b, "Active", bool, w, False),
        )

    def _proxy_disconnected(self, b: Any, w: str) -> Input:
        return ProxyDisconnected(field(b, "Proxy", int, w))

    def _load_report(self, b: Any, w: str) -> Input:
        return LoadReport(
            self._worker(b, w),
            self.settings.zone_index(field(b, "Locality", str, w), w),
            field(b, "Many", int, w),
            field(b, "Failed", int, w, 0),
            seconds(b, "ElapsedMs", w),
            seconds(b, "RttMs", w, 0.0),
            self._metrics(b, w),
        )

    def _arrival_report(self, b: Any, w: str) -> Input:
        return ArrivalReport(
            field(b, "Proxy", int, w),
            self.settings.class_index(field(b, "Lane", str, w), w),
            field(b, "Many", int, w),
            field(b, "Failed", int, w, 0),
            seconds(b, "ElapsedMs", w),
        )

    def _slice_load_report(self, b: Any, w: str) -> Input:
        return SliceLoadReport(
            field(b, "SetId", int, w),
            self.settings.class_index(field(b, "Lane", str, w), w),
            field(b, "Many", int, w),
            field(b, "Failed", int, w, 0),
            seconds(b, "ElapsedMs", w),
        )

    def _slice_assigned(self, b: Any, w: str) -> Input:
        return SliceAssigned(field(b, "SetId", int, w), field(b, "Active", bool, w, False))

    def _stored_weight(self, b: Any, w: str) -> Input:
        return StoredWeight(
            field(b, "SetId", int, w), self._worker(b, w), float(field(b, "Size", NUMBER, w, 1.0))
        )

    def _acknowledged(self, b: Any, w: str) -> Input:
        return Acknowledged(field(b, "Proxy", int, w), field(b, "Rev", int, w), seconds(b, "RttMs", w, 0.0))

    def read(self, name: str, body: Any, where: str) -> Input:
        """One event of the wire as an input of the decisions."""
        reader = _EVENT_READERS.get(name)
        if reader is None:
            raise InputError(f"{where}: unknown event")
        return reader(self, body, where)

    def write(self, order: Order) -> dict[str, Any]:
        """One order of the decisions as an action of the wire."""
        return _ORDER_WRITERS[type(order)](self, order)


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
    SetWeight: lambda d, o: {
        "UPSERT": {"SetId": o.table, "Worker": d.worker_ids[o.worker_index], "Size": o.weight}
    },
    ClearTable: lambda d, o: {"EMPTY": {"SetId": o.table}},
    BindProxy: lambda d, o: {"PIN": {"Proxy": o.proxy, "SetId": o.table, "Only": o.class_mask}},
    ExcludeWorker: lambda d, o: {"CORDON": {"Active": o.excluded, "Worker": d.worker_ids[o.worker_index]}},
    SetAdmission: lambda d, o: {
        "ADMIT": {
            "SetId": o.table,
            "LetIn": o.admission,
            "Only": o.class_mask,
            "OnFailure": int(o.retry_policy),
        }
    },
    Checkpoint: lambda d, o: {"STAMP": {"Active": o.to_all_proxies, "Rev": o.number}},
    WatchEndpoints: lambda d, o: {"WATCH": {"Active": o.enabled}},
    FetchEndpoints: lambda d, o: {"GET_LIST": {}},
    HealthCheck: lambda d, o: {"SOUND_OUT": {"Worker": d.worker_ids[o.worker_index]}},
    SendGossip: lambda d, o: {"BROADCAST_TO": {"Whom": o.recipient, "Data": o.text}},
    StartTimer: lambda d, o: {"DEFER": {"SleepForMs": o.delay_s * 1000.0, "Nonce": o.token}},
    LogModeChange: lambda d, o: {"REMARK": {"Words": o.message}},
}
