"""Which balancers registered which members: SASP's state of a workload manager, without sockets.

A balancer is a connection; what it registered goes with it.  Every request gets its reply here, by tables of
(message) -> what is done; weights come from `decisions.offers`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ..model.views import WorkerCapacityView
from ..planning.advertised_weights import AdvertisedWeight, moved, offers
from . import limits, sasp
from .sasp import Group, Grouped, Member, MemberState, Message, Weight
from .tlv import Address

Find = Callable[[Member], int | None]


class Finder:
    """Members to workers: by label, which is the worker's id, else by address and port."""

    def __init__(self, workers: Iterable[tuple[int, bytes, Address | None, int]]) -> None:
        self._by_id: dict[bytes, int] = {}
        self._by_place: dict[tuple[Address, int], int] = {}
        for be, name, address, port in workers:
            self._by_id[name] = be
            if address is not None:
                self._by_place[address, port] = be

    def __call__(self, member: Member) -> int | None:
        be = self._by_id.get(member.label)
        return self._by_place.get((member.address, member.port)) if be is None else be


@dataclass(slots=True)
class Listed:
    """One group of a balancer."""

    members: dict[Member, None] = field(default_factory=dict)
    quiesced: set[Member] = field(default_factory=set)
    told: dict[Member, AdvertisedWeight] = field(default_factory=dict)


@dataclass(slots=True)
class Balancer:
    uid: bytes = b""
    flags: int = 0
    health: int = 0
    groups: dict[bytes, Listed] = field(default_factory=dict)

    @property
    def pushed(self) -> bool:
        return bool(self.flags & sasp.PUSH)

    def count(self) -> int:
        return sum(len(listed.members) for listed in self.groups.values())


class Registry:
    """Balancers by the number of their connection."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._standing: Mapping[int, WorkerCapacityView] = {}
        self._find: Find = lambda member: None

    def update(self, standing: Mapping[int, WorkerCapacityView], find: Find) -> None:
        self._standing, self._find = standing, find

    def opened(self, number: int) -> None:
        self._balancers[number] = Balancer()

    def closed(self, number: int) -> None:
        self._balancers.pop(number, None)

    def pushed(self) -> list[int]:
        return [number for number, b in self._balancers.items() if b.pushed]

    def shown(self) -> list[dict[str, object]]:
        """For operators: who registered how much, and how much of it is nobody's."""
        return [
            {
                "uid": b.uid.decode(errors="replace"),
                "groups": len(b.groups),
                "members": b.count(),
                "unmatched": sum(self._find(m) is None for g in b.groups.values() for m in g.members),
                "push": b.pushed,
            }
            for b in self._balancers.values()
        ]

    def answer(self, number: int, m: Message) -> Message | None:
        """The reply to a balancer's message; none to what is no request."""
        handler = HANDLERS.get(m.kind)
        if handler is None:
            return None
        return handler(self, self._balancers[number], m)

    def _reply(self, m: Message, code: int, groups: tuple[Grouped, ...] = ()) -> Message:
        interval = limits.ASK_EVERY if m.kind == sasp.GET_WEIGHTS else 0
        return Message(sasp.REPLIES[m.kind], m.number, code=code, interval=interval, groups=groups)

    def _owner(self, b: Balancer, m: Message) -> tuple[Balancer | None, int]:
        """Whose groups a message speaks of: its own balancer's, or, where the members themselves speak, that
        of the balancer which trusts them."""
        uids = {g.group.uid if isinstance(g, Grouped) else g.uid for g in m.groups}
        if len(uids) != 1 or not 0 < len(uid := next(iter(uids))) <= limits.NAME_MOST:
            return None, sasp.BAD_UID
        if m.flags & sasp.BY_BALANCER or m.kind == sasp.GET_WEIGHTS:
            if b.uid and b.uid != uid:
                return None, sasp.NOT_ACCEPTED
            return b, sasp.OK
        owner = next((other for other in self._balancers.values() if other.uid == uid), None)
        if owner is None:
            return None, sasp.NOT_CONTACTED
        return (owner, sasp.OK) if owner.flags & sasp.TRUST else (None, sasp.NOT_ACCEPTED)

    def _register(self, b: Balancer, m: Message) -> Message:
        owner, code = self._owner(b, m)
        if owner is None:
            return self._reply(m, code)
        fresh: dict[bytes, dict[Member, None]] = {}
        for g in m.groups:
            assert isinstance(g, Grouped)
            if not g.group.name:
                return self._reply(m, sasp.NO_GROUP_NAME)
            added = fresh.setdefault(g.group.name, {})
            known = owner.groups[g.group.name].members if g.group.name in owner.groups else {}
            for member in g.entries:
                assert isinstance(member, Member)
                if member in added:
                    return self._reply(m, sasp.DUPLICATE)
                if member in known:
                    return self._reply(m, sasp.ALREADY)
                added[member] = None
        total = owner.count() + sum(map(len, fresh.values()))
        if len(owner.groups.keys() | fresh.keys()) > limits.GROUPS_MOST or total > limits.MEMBERS_MOST:
            return self._reply(m, sasp.BAD_GROUP)
        owner.uid = owner.uid or self._uid(m)
        for name, members in fresh.items():  # all of the message, or nothing of it
            owner.groups.setdefault(name, Listed()).members.update(members)
        return self._reply(m, sasp.OK)

    @staticmethod
    def _uid(m: Message) -> bytes:
        first = m.groups[0]
        return first.group.uid if isinstance(first, Grouped) else first.uid

    def _deregister(self, b: Balancer, m: Message) -> Message:
        owner, code = self._owner(b, m)
        if owner is None:
            return self._reply(m, code)
        for g in m.groups:
            assert isinstance(g, Grouped)
            if g.group.name not in owner.groups:
                return self._reply(m, sasp.UNKNOWN_GROUP)
            if any(member not in owner.groups[g.group.name].members for member in g.entries):
                return self._reply(m, sasp.NOT_REGISTERED)
        for g in m.groups:
            assert isinstance(g, Grouped)
            listed = owner.groups.get(g.group.name)
            for member in g.entries if listed else ():
                assert listed is not None and isinstance(member, Member)
                listed.members.pop(member, None)
                listed.quiesced.discard(member)
                listed.told.pop(member, None)
            if listed is not None and (not g.entries or not listed.members):  # no members named: the group
                owner.groups.pop(g.group.name, None)
        return self._reply(m, sasp.OK)

    def _weights(self, b: Balancer, m: Message) -> Message:
        """Of the groups named, or of all where none is."""
        if m.groups:
            owner, code = self._owner(b, m)
            if owner is None:
                return self._reply(m, code)
        names = [g.name for g in m.groups if isinstance(g, Group)] or list(b.groups)
        if len(set(names)) < len(names):
            return self._reply(m, sasp.GROUP_TWICE)
        if any(name not in b.groups for name in names):
            return self._reply(m, sasp.UNKNOWN_GROUP)
        return self._reply(m, sasp.OK, tuple(self._entries(b, names, whole=True)))

    def _balancer(self, b: Balancer, m: Message) -> Message:
        if not 0 < len(m.uid) <= limits.NAME_MOST or (b.uid and b.uid != m.uid):
            return self._reply(m, sasp.BAD_UID)
        if any(other is not b and other.uid == m.uid for other in self._balancers.values()):
            return self._reply(m, sasp.NOT_ACCEPTED)
        b.uid, b.flags, b.health = m.uid, m.flags, m.health
        for listed in b.groups.values():
            listed.told.clear()  # it may have forgotten what it was told
        return self._reply(m, sasp.OK)

    def _member(self, b: Balancer, m: Message) -> Message:
        owner, code = self._owner(b, m)
        if owner is None:
            return self._reply(m, code)
        states: list[tuple[Listed, MemberState]] = []
        for g in m.groups:
            assert isinstance(g, Grouped)
            if (listed := owner.groups.get(g.group.name)) is None:
                return self._reply(m, sasp.UNKNOWN_GROUP)
            for entry in g.entries:
                assert isinstance(entry, MemberState)
                if entry.member not in listed.members:
                    return self._reply(m, sasp.NOT_REGISTERED)
                states.append((listed, entry))
        for listed, entry in states:
            (listed.quiesced.add if entry.flags & sasp.QUIESCE else listed.quiesced.discard)(entry.member)
        return self._reply(m, sasp.OK)

    def _entries(self, b: Balancer, names: Iterable[bytes], whole: bool) -> Iterable[Grouped]:
        """Weights by group; where not the whole is wanted, of those that moved, and no group without one."""
        for name in names:
            listed = b.groups[name]
            found = {member: self._find(member) for member in listed.members}
            quiesced = frozenset(be for m, be in found.items() if m in listed.quiesced and be is not None)
            offered = offers(self._standing, {be for be in found.values() if be is not None}, quiesced)
            rows: list[Weight] = []
            for member, be in found.items():
                offer = offered[be] if be is not None else AdvertisedWeight(0, False, False)
                if not whole and not moved(listed.told.get(member), offer):
                    continue
                listed.told[member] = offer
                flags = sasp.CONTACT * offer.contact | sasp.QUIESCED * (offer.leaving or be in quiesced)
                rows.append(Weight(member, 0, flags | sasp.CONFIDENT * (be is not None), offer.weight))
            if rows or whole:
                yield Grouped(Group(b.uid, name), tuple(rows))

    def push(self, number: int) -> Message | None:
        """What a balancer that asked to be pushed to must hear of now: what moved where it wants no more than
        that, else all of its groups as soon as anything has."""
        b = self._balancers[number]
        if not b.groups:
            return None
        if not b.flags & sasp.NO_CHANGE:
            told = {name: dict(listed.told) for name, listed in b.groups.items()}
            if not list(self._entries(b, list(b.groups), whole=False)):
                return None
            for name, listed in b.groups.items():
                listed.told = told[name]
            return Message(sasp.SEND_WEIGHTS, 0, groups=tuple(self._entries(b, list(b.groups), whole=True)))
        groups = tuple(self._entries(b, list(b.groups), whole=False))
        return Message(sasp.SEND_WEIGHTS, 0, groups=groups) if groups else None


HANDLERS: dict[int, Callable[[Registry, Balancer, Message], Message]] = {
    sasp.REGISTER: Registry._register,
    sasp.DEREGISTER: Registry._deregister,
    sasp.GET_WEIGHTS: Registry._weights,
    sasp.SET_BALANCER: Registry._balancer,
    sasp.SET_MEMBER: Registry._member,
}
