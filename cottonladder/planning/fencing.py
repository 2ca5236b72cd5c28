"""Whose orders a forwarder carries out, and what an outdated view can't take back.

Pure: no clock, no I/O; the same functions run in the program and under the model checker
(`members/checker.py`).  Nothing here needs agreement among managers, or clocks that agree: a manager claims a
forwarder with an epoch, the forwarder is the judge, and what must only grow carries versions.

- A forwarder takes orders of the highest epoch that it has granted, and tells a lower one so.
- Withdrawals carry the version of the list that they stand on; a worker is let in again only on a newer one.
- A repeat of a req is fenced by its key: whoever orders it, it is sent at most once more.
- A manager that was refused, or whose own clock jumped, orders nothing until it has claimed anew, and a grant
  hands it what the forwarder knows: versions of withdrawals that it may never have heard of.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

Epoch = tuple[int, int]  # a count, and the manager's number, which decides between equal counts
NO_EPOCH: Epoch = (0, -1)
MAX_PAUSE = 2.0  # s that a manager's looks may lie apart before it learns anew: they are 0.25 s apart
MAX_REMEMBERED_KEYS = 4096  # repeats remembered at a forwarder; older ones are past any client's timeout


@dataclass(frozen=True, slots=True)
class Guards:
    """The guards, each of which a mutant of the checker leaves out."""

    epochs: bool = True
    versions: bool = True
    keys: bool = True
    hand_over: bool = True


ALL_GUARDS = Guards()


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The forwarder is this epoch's now; `out`: versions at which it shut workers out."""

    epoch: Epoch
    excluded: tuple[tuple[int, int], ...]  # (worker, version)


@dataclass(frozen=True, slots=True)
class LeaseRejected:
    """A higher epoch holds the forwarder."""

    epoch: Epoch
    holder_epoch: Epoch


@dataclass(frozen=True, slots=True)
class ExcludeWorker:
    epoch: Epoch
    worker_index: int
    list_version: int


@dataclass(frozen=True, slots=True)
class ReadmitWorker:
    epoch: Epoch
    worker_index: int
    list_version: int


@dataclass(frozen=True, slots=True)
class RetryRequest:
    epoch: Epoch
    key: int


ToForwarder = LeaseRequest | ExcludeWorker | ReadmitWorker | RetryRequest
ToManager = LeaseGranted | LeaseRejected


@dataclass(frozen=True, slots=True)
class ForwarderLease:
    """A forwarder's side: who holds it, who is shut out at which version of the list, which reqs it
    repeated."""

    epoch: Epoch = NO_EPOCH
    excluded: Mapping[int, int] = field(default_factory=dict)
    readmitted: Mapping[int, int] = field(default_factory=dict)  # the version at which one was let in again
    retried_keys: tuple[int, ...] = ()


def apply_message(
    lease: ForwarderLease, order: ToForwarder, guards: Guards = ALL_GUARDS
) -> tuple[ForwarderLease, ToManager | None, bool]:
    """One message at a forwarder: its next state, its answer, and whether the order was carried out."""
    if isinstance(order, LeaseRequest):
        if order.epoch > lease.epoch or not guards.epochs:
            return (
                replace(lease, epoch=order.epoch),
                LeaseGranted(order.epoch, tuple(sorted(lease.excluded.items()))),
                True,
            )
        if order.epoch == lease.epoch:  # the same claim again, doubled on its way
            return lease, LeaseGranted(order.epoch, tuple(sorted(lease.excluded.items()))), False
        return lease, LeaseRejected(order.epoch, lease.epoch), False
    if order.epoch != lease.epoch and guards.epochs:
        return lease, LeaseRejected(order.epoch, lease.epoch), False
    if isinstance(order, ExcludeWorker):
        if guards.versions and lease.readmitted.get(order.worker_index, -1) >= order.list_version:
            return lease, None, False  # older than what let it in
        out = {
            **lease.excluded,
            order.worker_index: max(order.list_version, lease.excluded.get(order.worker_index, -1)),
        }
        return replace(lease, excluded=out), None, True
    if isinstance(order, ReadmitWorker):
        if order.worker_index not in lease.excluded or (
            guards.versions and order.list_version <= lease.excluded[order.worker_index]
        ):
            return lease, None, False
        out = {be: version for be, version in lease.excluded.items() if be != order.worker_index}
        return (
            replace(
                lease, excluded=out, readmitted={**lease.readmitted, order.worker_index: order.list_version}
            ),
            None,
            True,
        )
    if guards.keys and order.key in lease.retried_keys:
        return lease, None, False
    return replace(lease, retried_keys=(*lease.retried_keys, order.key)[-MAX_REMEMBERED_KEYS:]), None, True


@dataclass(frozen=True, slots=True)
class ManagerLease:
    """A manager's side towards one forwarder: its epoch, whether it may order, and its list, by version.

    `leaving`: workers that it knows to drain or be gone, at the version that said so; `ready`: workers that
    came back, at theirs."""

    manager: int
    epoch: Epoch = NO_EPOCH
    is_granted: bool = False
    highest_count_seen: int = 0  # the highest count of any epoch heard of
    leaving_versions: Mapping[int, int] = field(default_factory=dict)
    ready_versions: Mapping[int, int] = field(default_factory=dict)


def request_lease(lease: ManagerLease) -> tuple[ManagerLease, LeaseRequest]:
    """A new claim, over every epoch that this manager has heard of."""
    epoch = (lease.highest_count_seen + 1, lease.manager)
    return replace(
        lease, epoch=epoch, is_granted=False, highest_count_seen=lease.highest_count_seen + 1
    ), LeaseRequest(epoch)


def receive_reply(lease: ManagerLease, reply: ToManager, guards: Guards = ALL_GUARDS) -> ManagerLease:
    """A grant of its own latest claim lets it order; a refusal ends that until it has claimed again."""
    if isinstance(reply, LeaseRejected):
        seen = max(lease.highest_count_seen, reply.holder_epoch[0])
        return replace(
            lease, highest_count_seen=seen, is_granted=lease.is_granted and reply.epoch != lease.epoch
        )
    if reply.epoch != lease.epoch:
        return lease  # of an earlier claim
    leaving = dict(lease.leaving_versions)
    if guards.hand_over:
        for be, version in reply.excluded:
            if version > lease.ready_versions.get(be, -1):
                leaving[be] = max(version, leaving.get(be, -1))
    return replace(lease, is_granted=True, leaving_versions=leaving)


def apply_list_update(
    lease: ManagerLease, worker_index: int, list_version: int, is_leaving: bool
) -> ManagerLease:
    """The list tells of a worker; older news than what is known changes nothing."""
    if list_version <= max(
        lease.leaving_versions.get(worker_index, -1), lease.ready_versions.get(worker_index, -1)
    ):
        return lease
    without = {b: v for b, v in lease.leaving_versions.items() if b != worker_index}
    back = {b: v for b, v in lease.ready_versions.items() if b != worker_index}
    if is_leaving:
        return replace(lease, leaving_versions={**without, worker_index: list_version}, ready_versions=back)
    return replace(lease, leaving_versions=without, ready_versions={**back, worker_index: list_version})


def resume_after_pause(lease: ManagerLease, pause_s: float) -> ManagerLease:
    """After its own looks lay too far apart a manager orders nothing until it has claimed and learnt anew."""
    if pause_s > MAX_PAUSE:
        return replace(lease, is_granted=False)
    return lease


def orders_to_send(lease: ManagerLease) -> tuple[ToForwarder, ...]:
    """What a manager with a grant tells the forwarder of its workers; nothing without one."""
    if not lease.is_granted:
        return ()
    out = tuple(
        ExcludeWorker(lease.epoch, be, version) for be, version in sorted(lease.leaving_versions.items())
    )
    return out + tuple(
        ReadmitWorker(lease.epoch, be, version) for be, version in sorted(lease.ready_versions.items())
    )
