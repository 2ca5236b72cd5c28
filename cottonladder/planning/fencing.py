"""Leases of managers on forwarders, fenced by epochs: they decide which manager's orders are carried out.

Pure: no clock, no I/O.  No manager or forwarder uses this protocol yet: only the model checker
(`membership/checker.py`) runs these functions.

The protocol needs neither agreement among managers nor synchronized clocks: a manager requests a lease on a
forwarder with an epoch, the forwarder decides, and state that must not revert to an earlier one carries a
version.

- A forwarder carries out the orders of the highest epoch that it granted.  It rejects orders of another epoch
  and requests of a lower one, and names the highest epoch in the reply.
- An exclusion carries the version of the endpoint list that it is based on; only a newer version readmits the
  worker.
- A retry of a request is fenced by its idempotency key: it is sent at most once, whichever managers order it.
- A manager whose request was rejected, or that was paused, sends no orders until it is granted a lease again.
  The grant carries the forwarder's exclusions with their versions, which the manager may not know.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

# A count, and the manager's number, which breaks ties between equal counts.
Epoch = tuple[int, int]
NO_EPOCH: Epoch = (0, -1)
# Sorts before every version of the endpoint list.
NO_VERSION = -1
# Longest pause between two steps of a manager after which it keeps its lease; steps are usually 0.25 s apart.
MAX_PAUSE_S = 2.0
# Number of idempotency keys that a forwarder keeps; the deadline of older requests has passed.
MAX_RETRIED_KEYS = 4096


@dataclass(frozen=True, slots=True)
class FencingRules:
    """The rules of the protocol that are in force; the model checker is tested with each of them disabled.

    - `rejects_other_epochs`: orders of another epoch are rejected, and so are lease requests of a lower one.
    - `requires_newer_versions`: only a newer list version readmits or excludes a worker.
    - `retries_keys_once`: a second retry with the same idempotency key is not carried out.
    - `adopts_exclusions`: a manager adopts the exclusions that a grant carries.
    """

    rejects_other_epochs: bool = True
    requires_newer_versions: bool = True
    retries_keys_once: bool = True
    adopts_exclusions: bool = True


ALL_RULES = FencingRules()


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A request for the forwarder's lease under this epoch."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The reply that grants the lease; `excluded` has pairs of worker index and list version."""

    epoch: Epoch
    excluded: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class LeaseRejected:
    """The reply to a request of an epoch below `holder_epoch`, or to an order of another epoch."""

    epoch: Epoch
    holder_epoch: Epoch


@dataclass(frozen=True, slots=True)
class ExcludeWorker:
    """An order to send no requests to a worker that drains or is gone in this endpoint list version."""

    epoch: Epoch
    worker_index: int
    list_version: int


@dataclass(frozen=True, slots=True)
class ReadmitWorker:
    """An order to send requests again to a worker that is ready in this endpoint list version."""

    epoch: Epoch
    worker_index: int
    list_version: int


@dataclass(frozen=True, slots=True)
class RetryRequest:
    """An order to retry the request with this idempotency key."""

    epoch: Epoch
    key: int


Order = ExcludeWorker | ReadmitWorker | RetryRequest
MessageToForwarder = LeaseRequest | Order
LeaseReply = LeaseGranted | LeaseRejected


@dataclass(frozen=True, slots=True)
class ForwarderLease:
    """A forwarder's state: the epoch that holds its lease, and what earlier orders changed.

    `excluded` and `readmitted` are the list versions of the orders, by worker index.
    """

    epoch: Epoch = NO_EPOCH
    excluded: Mapping[int, int] = field(default_factory=dict)
    readmitted: Mapping[int, int] = field(default_factory=dict)
    retried_keys: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class LeaseTransition:
    """A forwarder's state after a message, the reply if any, and whether the message was carried out."""

    lease: ForwarderLease
    reply: LeaseReply | None
    was_applied: bool


def apply_message(
    lease: ForwarderLease, message: MessageToForwarder, rules: FencingRules = ALL_RULES
) -> LeaseTransition:
    """Applies a message to a forwarder's state, and returns the new state and the reply."""
    if isinstance(message, LeaseRequest):
        return _grant_or_reject(lease, message, rules)
    if message.epoch != lease.epoch and rules.rejects_other_epochs:
        return LeaseTransition(lease, LeaseRejected(message.epoch, lease.epoch), False)
    if isinstance(message, ExcludeWorker):
        new_lease = _exclude(lease, message, rules)
    elif isinstance(message, ReadmitWorker):
        new_lease = _readmit(lease, message, rules)
    else:
        new_lease = _record_retry(lease, message, rules)
    if new_lease is None:
        return LeaseTransition(lease, None, False)
    return LeaseTransition(new_lease, None, True)


def _grant_or_reject(lease: ForwarderLease, request: LeaseRequest, rules: FencingRules) -> LeaseTransition:
    granted = LeaseGranted(request.epoch, tuple(sorted(lease.excluded.items())))
    if request.epoch > lease.epoch or not rules.rejects_other_epochs:
        return LeaseTransition(replace(lease, epoch=request.epoch), granted, True)
    if request.epoch == lease.epoch:  # a duplicate of the granted request
        return LeaseTransition(lease, granted, False)
    return LeaseTransition(lease, LeaseRejected(request.epoch, lease.epoch), False)


def _exclude(lease: ForwarderLease, order: ExcludeWorker, rules: FencingRules) -> ForwarderLease | None:
    """Returns the state with the worker excluded, or None if a version at least as new readmitted it."""
    worker = order.worker_index
    if rules.requires_newer_versions and lease.readmitted.get(worker, NO_VERSION) >= order.list_version:
        return None
    version = max(order.list_version, lease.excluded.get(worker, NO_VERSION))
    return replace(lease, excluded={**lease.excluded, worker: version})


def _readmit(lease: ForwarderLease, order: ReadmitWorker, rules: FencingRules) -> ForwarderLease | None:
    """Returns the state with the worker readmitted, or None if it is not excluded by an older version."""
    worker = order.worker_index
    if worker not in lease.excluded:
        return None
    if rules.requires_newer_versions and order.list_version <= lease.excluded[worker]:
        return None
    excluded = _without(lease.excluded, worker)
    return replace(lease, excluded=excluded, readmitted={**lease.readmitted, worker: order.list_version})


def _record_retry(lease: ForwarderLease, order: RetryRequest, rules: FencingRules) -> ForwarderLease | None:
    """Returns the state with the key recorded, or None if the request was retried before."""
    if rules.retries_keys_once and order.key in lease.retried_keys:
        return None
    return replace(lease, retried_keys=(*lease.retried_keys, order.key)[-MAX_RETRIED_KEYS:])


@dataclass(frozen=True, slots=True)
class ManagerLease:
    """A manager's state for one forwarder.

    `highest_count_seen` is the highest count of any epoch that it has requested or received.  The versions
    are those of the endpoint list, by worker index: `leaving_versions` of workers that drain or are gone,
    `ready_versions` of workers that are ready again.
    """

    manager: int
    epoch: Epoch = NO_EPOCH
    is_granted: bool = False
    highest_count_seen: int = 0
    leaving_versions: Mapping[int, int] = field(default_factory=dict)
    ready_versions: Mapping[int, int] = field(default_factory=dict)


def request_lease(lease: ManagerLease) -> tuple[ManagerLease, LeaseRequest]:
    """Creates a request with an epoch above all that this manager has requested or received."""
    count = lease.highest_count_seen + 1
    epoch = (count, lease.manager)
    requested = replace(lease, epoch=epoch, is_granted=False, highest_count_seen=count)
    return requested, LeaseRequest(epoch)


def receive_reply(lease: ManagerLease, reply: LeaseReply, rules: FencingRules = ALL_RULES) -> ManagerLease:
    """Applies a reply: a grant of the latest request allows orders, a rejection of its epoch forbids them."""
    if isinstance(reply, LeaseRejected):
        holder_count, _ = reply.holder_epoch
        return replace(
            lease,
            highest_count_seen=max(lease.highest_count_seen, holder_count),
            is_granted=lease.is_granted and reply.epoch != lease.epoch,
        )
    if reply.epoch != lease.epoch:
        return lease  # a grant of an earlier request
    leaving = dict(lease.leaving_versions)
    if rules.adopts_exclusions:
        for worker, version in reply.excluded:
            if version > lease.ready_versions.get(worker, NO_VERSION):
                leaving[worker] = max(version, leaving.get(worker, NO_VERSION))
    return replace(lease, is_granted=True, leaving_versions=leaving)


def apply_list_update(
    lease: ManagerLease, worker_index: int, list_version: int, is_leaving: bool
) -> ManagerLease:
    """Applies an update of the endpoint list, unless its version is not newer than the known one."""
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
    """Gives up the lease if the pause was so long that another manager may have been granted it."""
    if pause_s > MAX_PAUSE_S:
        return replace(lease, is_granted=False)
    return lease


def orders_to_send(lease: ManagerLease) -> tuple[MessageToForwarder, ...]:
    """Returns the exclusions and readmissions to send; none if the manager does not hold the lease."""
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
