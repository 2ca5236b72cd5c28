"""The simulator's JSON wire to the interface types and back; no decision is taken here."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..config.settings import NUMBER, DeploymentSettings, WireError, field, read_settings, seconds
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


class Door:
    """One instance's door: its ids and names become small indices, its milliseconds seconds."""

    def __init__(self, body: dict[str, Any], where: str) -> None:
        info = field(body, "Info", dict, where)
        self.site: DeploymentSettings = read_settings(info, field(body, "Prng", int, where), where)
        self.be_ids: list[int] = []
        self._be_index: dict[int, int] = {}

    def _be(self, body: Any, where: str) -> int:
        wire_id = field(body, "Worker", int, where)
        index = self._be_index.get(wire_id)
        if index is None:
            index = self._be_index[wire_id] = len(self.be_ids)
            self.be_ids.append(wire_id)
        return index

    def _report(self, body: Any, where: str) -> dict[str, float]:
        pairs = field(body, "HealthInfo", dict, where, {})
        return {k: float(v) for k, v in pairs.items() if isinstance(v, NUMBER)}

    def _entry(self, body: Any, where: str) -> Endpoint:
        mode = field(body, "Mode", int, where)
        if mode not in (0, 1, 2):
            raise WireError(f"{where}: field Mode has an unknown value")
        return Endpoint(
            worker_index=self._be(body, where),
            zone=self.site.zone_index(field(body, "Locality", str, where), where),
            state=EndpointState(mode),
            weight=float(field(body, "Size", NUMBER, where, 1.0)),
            started_at=seconds(body, "CameUpMs", where, 0.0),
        )

    def _sync(self, b: Any, w: str) -> Input:
        how = field(b, "How", int, w)
        if how not in (0, 1, 2, 3):
            raise WireError(f"{w}: field How has an unknown value")
        entries = field(b, "Entries", list, w, [])
        return EndpointList(ListUpdateKind(how), tuple(self._entry(e, w) for e in entries))

    def _wake(self, b: Any, w: str) -> Input:
        return TimerFired(field(b, "Nonce", int, w))

    def _probed(self, b: Any, w: str) -> Input:
        done = field(b, "StateCode", str, w) == "served"
        return HealthCheckResult(self._be(b, w), done, seconds(b, "RttMs", w, 0.0), self._report(b, w))

    def _hint(self, b: Any, w: str) -> Input:
        return GossipReceived(field(b, "From", int, w), field(b, "Data", str, w, ""))

    def _joined(self, b: Any, w: str) -> Input:
        return ProxyConnected(
            field(b, "Proxy", int, w),
            self.site.zone_index(field(b, "Locality", str, w), w),
            float(field(b, "Size", NUMBER, w, 0.0)),
            field(b, "Active", bool, w, False),
        )

    def _left(self, b: Any, w: str) -> Input:
        return ProxyDisconnected(field(b, "Proxy", int, w))

    def _tally(self, b: Any, w: str) -> Input:
        return LoadReport(
            self._be(b, w),
            self.site.zone_index(field(b, "Locality", str, w), w),
            field(b, "Many", int, w),
            field(b, "Failed", int, w, 0),
            seconds(b, "ElapsedMs", w),
            seconds(b, "RttMs", w, 0.0),
            self._report(b, w),
        )

    def _ingress(self, b: Any, w: str) -> Input:
        return ArrivalReport(
            field(b, "Proxy", int, w),
            self.site.class_index(field(b, "Lane", str, w), w),
            field(b, "Many", int, w),
            field(b, "Failed", int, w, 0),
            seconds(b, "ElapsedMs", w),
        )

    def _slice_load(self, b: Any, w: str) -> Input:
        return SliceLoadReport(
            field(b, "SetId", int, w),
            self.site.class_index(field(b, "Lane", str, w), w),
            field(b, "Many", int, w),
            field(b, "Failed", int, w, 0),
            seconds(b, "ElapsedMs", w),
        )

    def _given(self, b: Any, w: str) -> Input:
        return SliceAssigned(field(b, "SetId", int, w), field(b, "Active", bool, w, False))

    def _stored(self, b: Any, w: str) -> Input:
        return StoredWeight(
            field(b, "SetId", int, w), self._be(b, w), float(field(b, "Size", NUMBER, w, 1.0))
        )

    def _answered(self, b: Any, w: str) -> Input:
        return Acknowledged(field(b, "Proxy", int, w), field(b, "Rev", int, w), seconds(b, "RttMs", w, 0.0))

    def read(self, name: str, body: Any, where: str) -> Input:
        """One event of the wire as an input of the decisions."""
        reader = _EVENTS.get(name)
        if reader is None:
            raise WireError(f"{where}: unknown event")
        return reader(self, body, where)

    def write(self, order: Order) -> dict[str, Any]:
        """One order of the decisions as an action of the wire."""
        return _ACTIONS[type(order)](self, order)


_EVENTS: dict[str, Callable[[Door, Any, str], Input]] = {
    "SYNC": Door._sync,
    "WAKE": Door._wake,
    "PROBE_DONE": Door._probed,
    "HEARD": Door._hint,
    "CONNECTED": Door._joined,
    "LOST_STREAM": Door._left,
    "TALLY": Door._tally,
    "INGRESS": Door._ingress,
    "SLICE_LOAD": Door._slice_load,
    "GIVEN": Door._given,
    "STORED_LINE": Door._stored,
    "CAUGHT_UP": Door._answered,
}

_ACTIONS: dict[type, Callable[[Door, Any], dict[str, Any]]] = {
    SetWeight: lambda d, o: {
        "UPSERT": {"SetId": o.table, "Worker": d.be_ids[o.worker_index], "Size": o.weight}
    },
    ClearTable: lambda d, o: {"EMPTY": {"SetId": o.table}},
    BindProxy: lambda d, o: {"PIN": {"Proxy": o.proxy, "SetId": o.table, "Only": o.class_mask}},
    ExcludeWorker: lambda d, o: {"CORDON": {"Active": o.excluded, "Worker": d.be_ids[o.worker_index]}},
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
    HealthCheck: lambda d, o: {"SOUND_OUT": {"Worker": d.be_ids[o.worker_index]}},
    SendGossip: lambda d, o: {"BROADCAST_TO": {"Whom": o.recipient, "Data": o.text}},
    StartTimer: lambda d, o: {"DEFER": {"SleepForMs": o.delay_s * 1000.0, "Nonce": o.token}},
    LogModeChange: lambda d, o: {"REMARK": {"Words": o.message}},
}
