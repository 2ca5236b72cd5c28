"""The initial state of a manager, converted from the snapshot of an earlier process."""

from __future__ import annotations

from ..model.inputs import (
    Endpoint,
    EndpointList,
    EndpointState,
    ListUpdateKind,
    RestoredState,
    WorkerHistory,
)
from ..model.line_account import CHECKPOINT_NUMBER_MODULUS
from ..planning.advice_weighting import INITIAL_CREDIT
from ..planning.snapshot_staleness import discount_restored_state, discounted_credit
from ..snapshots.sections import EndpointSnapshot, ManagerSnapshot
from ..state.worker_registry import WorkerRegistry
from .starting_list import StartingList
from .startup_config import StartupConfig

RESTORABLE_STATES = (EndpointState.READY, EndpointState.DRAINING)  # endpoint states in the restored list


def starting_list(config: StartupConfig, snapshot: ManagerSnapshot) -> StartingList:
    """Returns the newer of the snapshot's and the configuration's list.

    Registers the workers of the snapshot's list if that is the one returned.
    """
    if snapshot.list_version <= config.starting_list.version:
        return config.starting_list
    zone_count = config.settings.parameters.zone_count
    endpoints = tuple(
        _restored_endpoint(stored, config.workers)
        for stored in snapshot.endpoints
        if stored.id and 0 <= stored.zone < zone_count and stored.state in RESTORABLE_STATES
    )
    return StartingList(snapshot.list_version, EndpointList(ListUpdateKind.CACHED, endpoints))


def restored_state(snapshot: ManagerSnapshot, workers: WorkerRegistry, age_s: float) -> RestoredState:
    """Returns the snapshot's state of workers and proxies, discounted for its age of `age_s` seconds.

    Workers that are not in the starting endpoint list are left out.
    """
    histories: list[WorkerHistory] = []
    for stored in snapshot.workers:
        worker_index = workers.find_index(stored.id.encode())
        if worker_index is not None:
            histories.append(
                WorkerHistory(
                    worker_index,
                    stored.started_at,
                    stored.base_latency_s,
                    stored.latency_factor,
                    stored.was_ejected,
                    stored.was_draining,
                )
            )
    last_checkpoint = snapshot.last_checkpoint % CHECKPOINT_NUMBER_MODULUS
    proxy_rates = tuple(snapshot.proxy_rates.items())
    return discount_restored_state(RestoredState(last_checkpoint, tuple(histories), proxy_rates), age_s)


def restored_credits(snapshot: ManagerSnapshot, age_s: float) -> dict[str, float]:
    """Returns the credit of each weight advisor, discounted for the snapshot's age of `age_s` seconds."""
    return {
        advisor: discounted_credit(credit, INITIAL_CREDIT, age_s)
        for advisor, credit in snapshot.advisor_credits.items()
    }


def _restored_endpoint(stored: EndpointSnapshot, workers: WorkerRegistry) -> Endpoint:
    worker_index = workers.register(stored.id, stored.address, stored.started_at)
    return Endpoint(worker_index, stored.zone, EndpointState(stored.state), stored.weight, stored.started_at)
