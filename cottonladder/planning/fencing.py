"""Leases of managers on forwarders: whose orders a forwarder carries out, fenced by epochs.

Pure: no clock, no I/O; the same functions run in the program and under the model checker
(`membership/checker.py`).  Nothing here needs agreement among managers, or clocks that agree: a manager
requests a lease on a forwarder with an epoch, the forwarder is the judge, and what must only grow carries
versions.

- A forwarder takes orders of the highest epoch that it has granted, and rejects a lower one with that epoch.
- Exclusions carry the version of the list that they stand on; a worker is readmitted only on a newer one.
- A retry of a request is fenced by its idempotency key: whoever orders it, it is sent at most once more.
- A manager that was rejected, or whose own clock jumped, orders nothing until it has a lease anew, and a
  grant hands it what the forwarder knows: versions of exclusions that it may never have heard of.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

Epoch = tuple[int, int]  # a count, and the manager's number, which decides between equal counts
NO_EPOCH: Epoch = (0, -1)
NO_VERSION = -1  # below every version of the list
# s that a manager's looks may lie apart before it must request a lease anew: they are 0.25 s apart.
MAX_PAUSE = 2.0
# Retried keys that a forwarder remembers; older ones are past any client's deadline.
MAX_REMEMBERED_KEYS = 4096


@dataclass(frozen=True, slots=True)
class Guards:
    """The guards of the protocol, each of which a mutant of the model checker leaves out."""

    epochs: bool = True
    versions: bool = True
    keys: bool = True
    hand_over: bool = True


ALL_GUARDS = Guards()


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A manager asks for the forwarder's lease under this epoch."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The lease is this epoch's now; `excluded`: (worker index, version) of workers that get no requests."""

    epoch: Epoch
    excluded: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class LeaseRejected:
    """A higher epoch holds the lease."""

    epoch: Epoch
    holder_epoch: Epoch


@dataclass(frozen=True, slots=True)
class ExcludeWorker:
    """Order: no requests to this worker, which the list has leaving at this version."""

    epoch: Epoch
    worker_index: int
    list_version: int


@dataclass(frozen=True, slots=True)
class ReadmitWorker:
    """Order: requests to this worker again, which the list has ready at this version."""

    epoch: Epoch
    worker_index: int
    list_version: int


@dataclass(frozen=True, slots=True)
class RetryRequest:
    """Order: send the request of this idempotency key once more."""

    epoch: Epoch
    key: int


Order = ExcludeWorker | ReadmitWorker | RetryRequest
ToForwarder = LeaseRequest | Order
ToManager = LeaseGranted | LeaseRejected


@dataclass(frozen=True, slots=True)
class ForwarderLease:
    """A forwarder's side: which epoch holds it, and what it was ordered, by version of the list."""

    epoch: Epoch = NO_EPOCH
    excluded: Mapping[int, int] = field(default_factory=dict)  # version by worker index
    readmitted: Mapping[int, int] = field(default_factory=dict)  # version by worker index
    retried_keys: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class LeaseTransition:
    """What one message did at a forwarder: its next state, its reply, whether the order was carried out."""

    lease: ForwarderLease
    reply: ToManager | None
    was_applied: bool


def apply_message(
    lease: ForwarderLease, message: ToForwarder, guards: Guards = ALL_GUARDS
) -> LeaseTransition:
    """One message at a forwarder."""
    if isinstance(message, LeaseRequest):
        return _grant_or_reject(lease, message, guards)
    if message.epoch != lease.epoch and guards.epochs:
        return LeaseTransition(lease, LeaseRejected(message.epoch, lease.epoch), False)
    if isinstance(message, ExcludeWorker):
        changed = _exclude(lease, message, guards)
    elif isinstance(message, ReadmitWorker):
        changed = _readmit(lease, message, guards)
    else:
        changed = _record_retry(lease, message, guards)
    if changed is None:
        return LeaseTransition(lease, None, False)
    return LeaseTransition(changed, None, True)


def _grant_or_reject(lease: ForwarderLease, request: LeaseRequest, guards: Guards) -> LeaseTransition:
    granted = LeaseGranted(request.epoch, tuple(sorted(lease.excluded.items())))
    if request.epoch > lease.epoch or not guards.epochs:
        return LeaseTransition(replace(lease, epoch=request.epoch), granted, True)
    if request.epoch == lease.epoch:  # the same request again, duplicated on its way
        return LeaseTransition(lease, granted, False)
    return LeaseTransition(lease, LeaseRejected(request.epoch, lease.epoch), False)


def _exclude(lease: ForwarderLease, order: ExcludeWorker, guards: Guards) -> ForwarderLease | None:
    """The lease with the worker excluded; none where the order is older than what readmitted it."""
    worker = order.worker_index
    if guards.versions and lease.readmitted.get(worker, NO_VERSION) >= order.list_version:
        return None
    version = max(order.list_version, lease.excluded.get(worker, NO_VERSION))
    return replace(lease, excluded={**lease.excluded, worker: version})


def _readmit(lease: ForwarderLease, order: ReadmitWorker, guards: Guards) -> ForwarderLease | None:
    """The lease with the worker readmitted; none where it isn't excluded, or was on no older version."""
    worker = order.worker_index
    if worker not in lease.excluded:
        return None
    if guards.versions and order.list_version <= lease.excluded[worker]:
        return None
    excluded = _without(lease.excluded, worker)
    return replace(lease, excluded=excluded, readmitted={**lease.readmitted, worker: order.list_version})


def _record_retry(lease: ForwarderLease, order: RetryRequest, guards: Guards) -> ForwarderLease | None:
    """The lease with the key remembered; none where the request was already retried."""
    if guards.keys and order.key in lease.retried_keys:
        return None
    return replace(lease, retried_keys=(*lease.retried_keys, order.key)[-MAX_REMEMBERED_KEYS:])


@dataclass(frozen=True, slots=True)
class ManagerLease:
    """A manager's side towards one forwarder: its epoch, whether it may order, and its list, by version."""

    manager: int
    epoch: Epoch = NO_EPOCH
    is_granted: bool = False
    highest_count_seen: int = 0  # of any epoch heard of
    leaving_versions: Mapping[int, int] = field(default_factory=dict)  # workers that drain or are gone
    ready_versions: Mapping[int, int] = field(default_factory=dict)  # workers that came back


def request_lease(lease: ManagerLease) -> tuple[ManagerLease, LeaseRequest]:
    """A new request, over every epoch that this manager has heard of."""
    count = lease.highest_count_seen + 1
    epoch = (count, lease.manager)
    requested = replace(lease, epoch=epoch, is_granted=False, highest_count_seen=count)
    return requested, LeaseRequest(epoch)


def receive_reply(lease: ManagerLease, reply: ToManager, guards: Guards = ALL_GUARDS) -> ManagerLease:
    """A grant of its own latest request lets it order; a rejection ends that until it has asked again."""
    if isinstance(reply, LeaseRejected):
        holder_count, _ = reply.holder_epoch
        return replace(
            lease,
            highest_count_seen=max(lease.highest_count_seen, holder_count),
            is_granted=lease.is_granted and reply.epoch != lease.epoch,
        )
    if reply.epoch != lease.epoch:
        return lease  # of an earlier request
    leaving = dict(lease.leaving_versions)
    if guards.hand_over:
        for worker, version in reply.excluded:
            if version > lease.ready_versions.get(worker, NO_VERSION):
                leaving[worker] = max(version, leaving.get(worker, NO_VERSION))
    return replace(lease, is_granted=True, leaving_versions=leaving)


def apply_list_update(
    lease: ManagerLease, worker_index: int, list_version: int, is_leaving: bool
) -> ManagerLease:
    """The list tells of a worker; an update older than what is known changes nothing."""
    known_version = max(
        lease.leaving_versions.get(worker_index, NO_VERSION),
        lease.ready_versions.get(worker_index, NO_VERSION),
    )
    if list_version <= known_version:
        return lease
    leaving = _without(lease.leaving_versions, worker_index)
    ready = _without(lease.ready_versions, worker_index)
    if is_leaving:
        leaving[worker_index] = list_version
    else:
        ready[worker_index] = list_version
    return replace(lease, leaving_versions=leaving, ready_versions=ready)


def _without(versions: Mapping[int, int], worker_index: int) -> dict[int, int]:
    return {worker: version for worker, version in versions.items() if worker != worker_index}


def resume_after_pause(lease: ManagerLease, pause_s: float) -> ManagerLease:
    """A manager whose own looks lay too far apart orders nothing until it has a lease anew."""
    if pause_s > MAX_PAUSE:
        return replace(lease, is_granted=False)
    return lease


def orders_to_send(lease: ManagerLease) -> tuple[ToForwarder, ...]:
    """What a manager with a lease tells the forwarder of its workers; nothing without one."""
    if not lease.is_granted:
        return ()
    exclusions = [
        ExcludeWorker(lease.epoch, worker, version)
        for worker, version in sorted(lease.leaving_versions.items())
    ]
    readmissions = [
        ReadmitWorker(lease.epoch, worker, version)
        for worker, version in sorted(lease.ready_versions.items())
    ]
    return (*exclusions, *readmissions)
