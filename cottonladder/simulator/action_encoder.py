"""Encoder that converts orders of the routing controller into actions of the simulator.

The names of actions and fields are those of the simulator's protocol.  Worker indices become worker ids, and
seconds become milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..config.fields import MS_PER_S
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
from .worker_ids import WorkerIds

Action = dict[str, Any]  # a JSON object with the action's name as its only key


class ActionEncoder:
    """Encoder of the orders of one simulated manager."""

    def __init__(self, worker_ids: WorkerIds) -> None:
        self._worker_ids = worker_ids

    def encode(self, order: Order) -> Action:
        """Encodes one order or state change; raises KeyError for orders that have no action.

        These are RemoveWorker, and those that hold or release messages, which are not given here.
        """
        return _ORDER_ENCODERS[type(order)](self, order)

    def _set_weight(self, order: SetWeight) -> Action:
        worker_id = self._worker_ids.id_of(order.worker_index)
        return {"UPSERT": {"SetId": order.table, "Worker": worker_id, "Size": order.weight}}

    def _clear_table(self, order: ClearTable) -> Action:
        return {"EMPTY": {"SetId": order.table}}

    def _bind_proxy(self, order: BindProxy) -> Action:
        return {"PIN": {"Proxy": order.proxy, "SetId": order.table, "Only": order.class_mask}}

    def _exclude_worker(self, order: ExcludeWorker) -> Action:
        worker_id = self._worker_ids.id_of(order.worker_index)
        return {"CORDON": {"Active": order.excluded, "Worker": worker_id}}

    def _set_admission(self, order: SetAdmission) -> Action:
        body = {
            "SetId": order.table,
            "LetIn": order.admission,
            "Only": order.class_mask,
            "OnFailure": int(order.retry_policy),
        }
        return {"ADMIT": body}

    def _checkpoint(self, order: Checkpoint) -> Action:
        return {"STAMP": {"Active": order.to_all_proxies, "Rev": order.number}}

    def _watch_endpoints(self, order: WatchEndpoints) -> Action:
        return {"WATCH": {"Active": order.enabled}}

    def _fetch_endpoints(self, _: FetchEndpoints) -> Action:
        # The policy does not issue this order at present.
        return {"GET_LIST": {}}

    def _health_check(self, order: HealthCheck) -> Action:
        return {"SOUND_OUT": {"Worker": self._worker_ids.id_of(order.worker_index)}}

    def _send_gossip(self, order: SendGossip) -> Action:
        return {"BROADCAST_TO": {"Whom": order.recipient, "Data": order.text}}

    def _start_timer(self, order: StartTimer) -> Action:
        return {"DEFER": {"SleepForMs": order.delay_s * MS_PER_S, "Nonce": order.token}}

    def _state_change(self, change: StateChange) -> Action:
        return {"REMARK": {"Words": state_change_text(change)}}


_ORDER_ENCODERS: dict[type, Callable[[ActionEncoder, Any], Action]] = {
    SetWeight: ActionEncoder._set_weight,
    ClearTable: ActionEncoder._clear_table,
    BindProxy: ActionEncoder._bind_proxy,
    ExcludeWorker: ActionEncoder._exclude_worker,
    SetAdmission: ActionEncoder._set_admission,
    Checkpoint: ActionEncoder._checkpoint,
    WatchEndpoints: ActionEncoder._watch_endpoints,
    FetchEndpoints: ActionEncoder._fetch_endpoints,
    HealthCheck: ActionEncoder._health_check,
    SendGossip: ActionEncoder._send_gossip,
    StartTimer: ActionEncoder._start_timer,
    WorkerStateChanged: ActionEncoder._state_change,
    AdmissionChanged: ActionEncoder._state_change,
}
