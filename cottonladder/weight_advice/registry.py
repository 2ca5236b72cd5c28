"""Which balancers registered which members: SASP's state of a workload manager, without sockets.

A balancer is a connection; what it registered goes with it.  Every request gets its reply here, by tables of
(message) -> what is done; weights come from `decisions.offers`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ..model.views import WorkerCapacityView
from ..planning.advertised_weights import AdvertisedWeight, advertise_weights, has_changed
from . import limits, sasp
from .sasp import GroupData, GroupOfEntries, MemberData, MemberStateInstance, Message, WeightEntry
from .tlv import Address

MemberLookup = Callable[[MemberData], int | None]


class MemberIndex:
    """Members to workers: by label, which is the worker's id, else by address and port."""

    def __init__(self, workers: Iterable[tuple[int, bytes, Address | None, int]]) -> None:
        self._by_id: dict[bytes, int] = {}
        self._by_location: dict[tuple[Address, int], int] = {}
        for worker_index, worker_id, address, port in workers:
            self._by_id[worker_id] = worker_index
            if address is not None:
                self._by_location[address, port] = worker_index

    def __call__(self, member: MemberData) -> int | None:
        worker_index = self._by_id.get(member.label)
        if worker_index is not None:
            return worker_index
        return self._by_location.get((member.address, member.port))


@dataclass(slots=True)
class RegisteredGroup:
    """One group of a balancer."""

    members: dict[MemberData, None] = field(default_factory=dict)
    quiesced: set[MemberData] = field(default_factory=set)
    sent: dict[MemberData, AdvertisedWeight] = field(default_factory=dict)


@dataclass(slots=True)
class LoadBalancer:
    """One load balancer's connection: its UID, flags and health as it set them, its groups by name."""

    lb_uid: bytes = b""
    flags: int = 0
    health: int = 0
    groups: dict[bytes, RegisteredGroup] = field(default_factory=dict)

    @property
    def wants_push(self) -> bool:
        """Whether it asked for weights to be pushed."""
        return bool(self.flags & sasp.PUSH_FLAG)

    def member_count(self) -> int:
        """Members over all of its groups."""
        return sum(len(listed.members) for listed in self.groups.values())


class LoadBalancerRegistry:
    """Load balancers by the number of their connection."""

    def __init__(self) -> None:
        self._balancers: dict[int, LoadBalancer] = {}
        self._views: Mapping[int, WorkerCapacityView] = {}
        self._lookup: MemberLookup = lambda member: None

    def update(self, views: Mapping[int, WorkerCapacityView], lookup: MemberLookup) -> None:
        """Takes the workers as last solved, and how members are matched to them."""
        self._views, self._lookup = views, lookup

    def connection_opened(self, number: int) -> None:
        """A connection came: a load balancer that has registered nothing."""
        self._balancers[number] = LoadBalancer()

    def connection_closed(self, number: int) -> None:
        """A connection ended; what was registered by it ends too."""
        self._balancers.pop(number, None)

    def push_subscribers(self) -> list[int]:
        """Numbers of the connections that asked for pushes."""
        return [number for number, b in self._balancers.items() if b.wants_push]

    def status(self) -> list[dict[str, object]]:
        """For operators: who registered how much, and how much of it is nobody's."""
        return [
            {
                "uid": b.lb_uid.decode(errors="replace"),
                "groups": len(b.groups),
                "members": b.member_count(),
                "unmatched": sum(self._lookup(m) is None for g in b.groups.values() for m in g.members),
                "push": b.wants_push,
            }
            for b in self._balancers.values()
        ]

    def handle_request(self, number: int, m: Message) -> Message | None:
        """The reply to a balancer's message; none to what is no request."""
        handler = HANDLERS.get(m.message_type)
        if handler is None:
            return None
        return handler(self, self._balancers[number], m)

    def _reply(self, m: Message, code: int, groups: tuple[GroupOfEntries, ...] = ()) -> Message:
        interval = limits.POLL_INTERVAL if m.message_type == sasp.GET_WEIGHTS_REQUEST else 0
        return Message(
            sasp.REPLY_TYPES[m.message_type],
            m.message_id,
            response_code=code,
            interval_s=interval,
            groups=groups,
        )

    def _resolve_owner(self, b: LoadBalancer, m: Message) -> tuple[LoadBalancer | None, int]:
        """Whose groups a message speaks of: its own balancer's, or, where the members themselves speak, that
        of the balancer which trusts them."""
        uids = {g.group.lb_uid if isinstance(g, GroupOfEntries) else g.lb_uid for g in m.groups}
        if len(uids) != 1 or not 0 < len(uid := next(iter(uids))) <= limits.MAX_LB_UID_LENGTH:
            return None, sasp.INVALID_LB_UID
        if m.flags & sasp.LOAD_BALANCER_FLAG or m.message_type == sasp.GET_WEIGHTS_REQUEST:
            if b.lb_uid and b.lb_uid != uid:
                return None, sasp.SENDER_NOT_ACCEPTED
            return b, sasp.SUCCESSFUL
        owner = next((other for other in self._balancers.values() if other.lb_uid == uid), None)
        if owner is None:
            return None, sasp.LB_NOT_CONNECTED
        return (owner, sasp.SUCCESSFUL) if owner.flags & sasp.TRUST_FLAG else (None, sasp.SENDER_NOT_ACCEPTED)

    def _register(self, b: LoadBalancer, m: Message) -> Message:
        owner, code = self._resolve_owner(b, m)
        if owner is None:
            return self._reply(m, code)
        fresh: dict[bytes, dict[MemberData, None]] = {}
        for g in m.groups:
            assert isinstance(g, GroupOfEntries)
            if not g.group.group_name:
                return self._reply(m, sasp.MISSING_GROUP_NAME)
            added = fresh.setdefault(g.group.group_name, {})
            known = owner.groups[g.group.group_name].members if g.group.group_name in owner.groups else {}
            for member in g.entries:
                assert isinstance(member, MemberData)
                if member in added:
                    return self._reply(m, sasp.DUPLICATE_MEMBER_IN_REQUEST)
                if member in known:
                    return self._reply(m, sasp.MEMBER_ALREADY_REGISTERED)
                added[member] = None
        total = owner.member_count() + sum(map(len, fresh.values()))
        if len(owner.groups.keys() | fresh.keys()) > limits.MAX_GROUPS or total > limits.MAX_MEMBERS:
            return self._reply(m, sasp.INVALID_GROUP)
        owner.lb_uid = owner.lb_uid or self._uid(m)
        for name, members in fresh.items():  # all of the message, or nothing of it
            owner.groups.setdefault(name, RegisteredGroup()).members.update(members)
        return self._reply(m, sasp.SUCCESSFUL)

    @staticmethod
    def _uid(m: Message) -> bytes:
        first = m.groups[0]
        return first.group.lb_uid if isinstance(first, GroupOfEntries) else first.lb_uid

    def _deregister(self, b: LoadBalancer, m: Message) -> Message:
        owner, code = self._resolve_owner(b, m)
        if owner is None:
            return self._reply(m, code)
        for g in m.groups:
            assert isinstance(g, GroupOfEntries)
            if g.group.group_name not in owner.groups:
                return self._reply(m, sasp.GROUP_NOT_REGISTERED)
            if any(member not in owner.groups[g.group.group_name].members for member in g.entries):
                return self._reply(m, sasp.MEMBER_NOT_REGISTERED)
        for g in m.groups:
            assert isinstance(g, GroupOfEntries)
            listed = owner.groups.get(g.group.group_name)
            for member in g.entries if listed else ():
                assert listed is not None and isinstance(member, MemberData)
                listed.members.pop(member, None)
                listed.quiesced.discard(member)
                listed.sent.pop(member, None)
            if listed is not None and (not g.entries or not listed.members):  # no members named: the group
                owner.groups.pop(g.group.group_name, None)
        return self._reply(m, sasp.SUCCESSFUL)

    def _weights(self, b: LoadBalancer, m: Message) -> Message:
        """Of the groups named, or of all where none is."""
        if m.groups:
            owner, code = self._resolve_owner(b, m)
            if owner is None:
                return self._reply(m, code)
        names = [g.group_name for g in m.groups if isinstance(g, GroupData)] or list(b.groups)
        if len(set(names)) < len(names):
            return self._reply(m, sasp.DUPLICATE_GROUP)
        if any(name not in b.groups for name in names):
            return self._reply(m, sasp.GROUP_NOT_REGISTERED)
        return self._reply(m, sasp.SUCCESSFUL, tuple(self._entries(b, names, whole=True)))

    def _balancer(self, b: LoadBalancer, m: Message) -> Message:
        if not 0 < len(m.lb_uid) <= limits.MAX_LB_UID_LENGTH or (b.lb_uid and b.lb_uid != m.lb_uid):
            return self._reply(m, sasp.INVALID_LB_UID)
        if any(other is not b and other.lb_uid == m.lb_uid for other in self._balancers.values()):
            return self._reply(m, sasp.SENDER_NOT_ACCEPTED)
        b.lb_uid, b.flags, b.health = m.lb_uid, m.flags, m.lb_health
        for listed in b.groups.values():
            listed.sent.clear()  # it may have forgotten what it was told
        return self._reply(m, sasp.SUCCESSFUL)

    def _member(self, b: LoadBalancer, m: Message) -> Message:
        owner, code = self._resolve_owner(b, m)
        if owner is None:
            return self._reply(m, code)
        states: list[tuple[RegisteredGroup, MemberStateInstance]] = []
        for g in m.groups:
            assert isinstance(g, GroupOfEntries)
            if (listed := owner.groups.get(g.group.group_name)) is None:
                return self._reply(m, sasp.GROUP_NOT_REGISTERED)
            for entry in g.entries:
                assert isinstance(entry, MemberStateInstance)
                if entry.member not in listed.members:
                    return self._reply(m, sasp.MEMBER_NOT_REGISTERED)
                states.append((listed, entry))
        for listed, entry in states:
            (listed.quiesced.add if entry.flags & sasp.MEMBER_QUIESCE_FLAG else listed.quiesced.discard)(
                entry.member
            )
        return self._reply(m, sasp.SUCCESSFUL)

    def _entries(self, b: LoadBalancer, names: Iterable[bytes], whole: bool) -> Iterable[GroupOfEntries]:
        """Weights by group; where not the whole is wanted, of those that moved, and no group without one."""
        for name in names:
            listed = b.groups[name]
            found = {member: self._lookup(member) for member in listed.members}
            quiesced = frozenset(be for m, be in found.items() if m in listed.quiesced and be is not None)
            offered = advertise_weights(
                self._views, {be for be in found.values() if be is not None}, quiesced
            )
            rows: list[WeightEntry] = []
            for member, be in found.items():
                offer = offered[be] if be is not None else AdvertisedWeight(0, False, False)
                if not whole and not has_changed(listed.sent.get(member), offer):
                    continue
                listed.sent[member] = offer
                flags = sasp.CONTACT_SUCCESS_FLAG * offer.is_reachable | sasp.QUIESCE_FLAG * (
                    offer.is_leaving or be in quiesced
                )
                rows.append(
                    WeightEntry(member, 0, flags | sasp.CONFIDENT_FLAG * (be is not None), offer.weight)
                )
            if rows or whole:
                yield GroupOfEntries(GroupData(b.lb_uid, name), tuple(rows))

    def push_message(self, number: int) -> Message | None:
        """What a balancer that asked to be pushed to must hear of now: what moved where it wants no more than
        that, else all of its groups as soon as anything has."""
        b = self._balancers[number]
        if not b.groups:
            return None
        if not b.flags & sasp.NO_CHANGE_NO_SEND_FLAG:
            told = {name: dict(listed.sent) for name, listed in b.groups.items()}
            if not list(self._entries(b, list(b.groups), whole=False)):
                return None
            for name, listed in b.groups.items():
                listed.sent = told[name]
            return Message(sasp.SEND_WEIGHTS, 0, groups=tuple(self._entries(b, list(b.groups), whole=True)))
        groups = tuple(self._entries(b, list(b.groups), whole=False))
        return Message(sasp.SEND_WEIGHTS, 0, groups=groups) if groups else None


HANDLERS: dict[int, Callable[[LoadBalancerRegistry, LoadBalancer, Message], Message]] = {
    sasp.REGISTRATION_REQUEST: LoadBalancerRegistry._register,
    sasp.DEREGISTRATION_REQUEST: LoadBalancerRegistry._deregister,
    sasp.GET_WEIGHTS_REQUEST: LoadBalancerRegistry._weights,
    sasp.SET_LB_STATE_REQUEST: LoadBalancerRegistry._balancer,
    sasp.SET_MEMBER_STATE_REQUEST: LoadBalancerRegistry._member,
}
