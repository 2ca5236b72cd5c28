"""Plays every scenario in tests/policy/scenarios against the decisions, without any bench.

Grammar, a word group a line; `#` starts a comment.  Backends are b0, b1 .., proxies p0, p1 .., times seconds.

    parameters NAME=VALUE ..       replaces usual deployment parameters (below); comes first
    T list NEWS ITEM ..            NEWS is full, delta, cached or failed; an ITEM is bN@ZONE with, if wanted,
                                   *WEIGHT, /draining or /gone, and ^STARTED (a time)
    T join pN[-pM]@ZONE RATE [kept]  a proxy, or as many, join; kept: with tables of another manager
    T left pN | T answer           its stream breaks | every mark sent so far is answered by all who got it
    T tally bN@ZONE TRIES/ERRED MS [NAME=VALUE ..]    sums of one second, with a load report
    T ingress pN KIND REQS         sums of one second
    T probed bN MS|lost [NAME=VALUE ..]
    T given TABLE on|off | T stored TABLE bN WEIGHT | T hint WORDS | T wake TOKEN
    until T [answering]            lets the module's own wakes come; answering: marks answered at each
    every S until T LINE           the input LINE (without its time) each S seconds
    expect table Z has|lacks bN .. | expect table Z bN < SHARE | expect table Z bN > SHARE
    expect cordoned bN .. | expect open bN .. | expect bound pN .. (in that order) | expect unbound pN ..
    expect level Z KIND < SHARE | expect level Z KIND > SHARE
    expect demand < REQS | expect others < REQS     a second, of the proxies here, of those elsewhere
    expect probes > COUNT           ordered so far
    expect words < BYTES            the longest told to other managers
    expect waiting < LINES | expect flying < LINES (by answers alone) | expect messages pN < COUNT
    expect order NAME | expect no order NAME | expect known bN .. | expect unknown bN ..
    expect retry NAME              the only retry policy that was ordered
    expect log WORDS
"""

from __future__ import annotations

import unittest
from collections import defaultdict
from dataclasses import replace
from pathlib import Path

from cottonladder.model.inputs import (
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
    StoredWeight,
    TimerFired,
)
from cottonladder.model.orders import (
    BindProxy,
    Checkpoint,
    ExcludeWorker,
    HealthCheck,
    Order,
    SendGossip,
    SetAdmission,
    SetWeight,
    StartTimer,
)
from cottonladder.model.parameters import DeploymentParameters, RequestClass
from cottonladder.model.state_change_text import state_change_text
from cottonladder.model.state_changes import AdmissionChanged, WorkerStateChanged
from cottonladder.policy.controller import RoutingController
from cottonladder.policy.demand import estimate_demand

FOLDER = Path(__file__).parent / "scenarios"
KINDS = (RequestClass(0.8, 1.0), RequestClass(1.0, 3.0))
USUAL = DeploymentParameters(
    seed=7,
    manager_count=1,
    zone_count=2,
    request_classes=KINDS,
    proxy_count=2,
    watches_endpoints=False,
    poll_within_s=10.0,
    health_checks=False,
    gossip=False,
    admission_mode="ratio",
    slice_count=0,
    single_owner=False,
    channel_lines_per_s=3000.0,
    message_header_lines=10,
    max_queued_lines=5000.0,
    max_messages=0,
    message_window_s=10.0,
    drain_grace_s=3.0,
    warm_up_start_ratio=0.2,
    collapse_multiple=3.0,
    proxies_eject_outliers=False,
    warm_up_s=15.0,
    cross_zone_cost=0.02,
    health_check_cost=0.02,
)


class Player:
    """Feeds one instance and keeps what its orders amount to."""

    def __init__(self) -> None:
        self.terms, self.ladder = USUAL, RoutingController(USUAL)
        self.now, self.token, self.wake_at = 0.0, -1, -1.0
        self.tables: dict[int, dict[int, float]] = defaultdict(dict)
        self.levels: dict[tuple[int, int], float] = {}
        self.users: dict[int, int] = {}
        self.orders: list[Order] = []
        self.marks: list[tuple[int, int]] = []
        self.written: dict[int, list[float]] = defaultdict(list)

    def feed(self, *items: Input) -> None:
        joined = [i.proxy for i in items if isinstance(i, ProxyConnected)]
        reached: set[int] = set()
        for order in self.ladder.decide(self.now, list(items)):
            self.orders.append(order)
            if isinstance(order, SetWeight):
                self.tables[order.table][order.worker_index] = order.weight
                if order.weight <= 0:
                    del self.tables[order.table][order.worker_index]
                reached |= {p for p, table in self.users.items() if table == order.table}
            elif isinstance(order, SetAdmission):
                self.levels[order.table, order.class_mask.bit_length() - 1] = order.admission
                reached |= {p for p, table in self.users.items() if table == order.table}
            elif isinstance(order, BindProxy):
                self.users.pop(order.proxy, None)
                self.users[order.proxy] = order.table
                reached.add(order.proxy)
            elif isinstance(order, ExcludeWorker):
                holds = {p for p, table in self.users.items() if order.worker_index in self.tables[table]}
                reached |= holds | (set(joined) - set(self.users))
            elif isinstance(order, StartTimer):
                self.token, self.wake_at = order.token, self.now + order.delay_s
            elif isinstance(order, Checkpoint):
                self.marks += [(p, order.number) for p in sorted(reached)]
        for p in reached:
            self.written[p].append(self.now)

    def until(self, end: float, answering: bool) -> None:
        while 0 <= self.wake_at <= end:
            self.now = self.wake_at
            if answering:
                self.answer()
            self.feed(TimerFired(self.token))
        self.now = end

    def answer(self) -> None:
        marks, self.marks = self.marks, []
        self.feed(*(Acknowledged(p, mark, 0.3) for p, mark in marks))

    def line(self, words: list[str]) -> None:
        if words[0] == "parameters":
            pairs = [w.split("=") for w in words[1:]]
            self.terms = replace(USUAL, **{k: type(getattr(USUAL, k))(_value(v)) for k, v in pairs})
            self.ladder = RoutingController(self.terms)
        elif words[0] == "until":
            self.until(float(words[1]), words[2:] == ["answering"])
        elif words[0] == "every":
            step, end, base = float(words[1]), float(words[3]), self.now
            for n in range(1, round((end - base) / step) + 1):
                self.until(base + n * step, True)
                self.input(words[4], words[5:])
        elif words[0] == "expect":
            if not self.holds(words[1:]):
                raise AssertionError("does not hold")
        else:
            self.until(float(words[0]), False)
            self.input(words[1], words[2:])

    def input(self, verb: str, args: list[str]) -> None:
        report = {k: float(v) for k, v in (a.split("=") for a in args if "=" in a)}
        if verb == "list":
            self.feed(EndpointList(ListUpdateKind[args[0].upper()], tuple(_entry(a) for a in args[1:])))
        elif verb == "join":
            span, zone = args[0][1:].split("@")
            first, _, last = span.partition("-p")
            for p in range(int(first), int(last or first) + 1):
                self.feed(ProxyConnected(p, int(zone), float(args[1]), "kept" not in args))
        elif verb == "left":
            self.users.pop(int(args[0][1:]), None)
            self.feed(ProxyDisconnected(int(args[0][1:])))
        elif verb == "answer":
            self.answer()
        elif verb == "tally":
            be, zone = args[0][1:].split("@")
            tries, erred = args[1].split("/")
            took = float(args[2]) / 1000
            self.feed(LoadReport(int(be), int(zone), int(tries), int(erred), 1.0, took, report))
        elif verb == "ingress":
            self.feed(ArrivalReport(int(args[0][1:]), int(args[1]), int(args[2]), 0, 1.0))
        elif verb == "probed":
            took = 0.0 if args[1] == "lost" else float(args[1]) / 1000
            self.feed(HealthCheckResult(int(args[0][1:]), args[1] != "lost", took, report))
        elif verb == "given":
            self.feed(SliceAssigned(int(args[0]), args[1] == "on"))
        elif verb == "stored":
            self.feed(StoredWeight(int(args[0]), int(args[1][1:]), float(args[2])))
        elif verb == "hint":
            self.feed(GossipReceived(1, " ".join(args)))
        elif verb == "wake":
            self.feed(TimerFired(int(args[0])))
        else:
            raise ValueError(f"unknown word {verb}")

    def holds(self, words: list[str]) -> bool:
        what, args = words[0], words[1:]
        ids = [int(a[1:]) for a in args if a[0] in "bp" and a[1:].isdigit()]
        if what == "table" and args[1] in ("has", "lacks"):
            return all((i in self.tables[int(args[0])]) == (args[1] == "has") for i in ids)
        if what == "table":
            table = self.tables[int(args[0])]
            return _compare(table.get(ids[0], 0.0) / max(sum(table.values()), 1e-9), args[2], args[3])
        if what in ("cordoned", "open"):
            last = {o.worker_index: o.excluded for o in self.orders if isinstance(o, ExcludeWorker)}
            return all(last.get(i, False) == (what == "cordoned") for i in ids)
        if what == "bound":
            return [p for p in self.users if p in ids] == ids
        if what == "unbound":
            return not any(i in self.users for i in ids)
        if what == "level":
            return _compare(self.levels.get((int(args[0]), int(args[1])), 1.0), args[2], args[3])
        if what in ("waiting", "flying"):
            gate = self.ladder.channel_budget
            lines = gate.waiting_lines if what == "waiting" else gate.in_flight.total
            return _compare(lines, args[0], args[1]) and lines >= 0
        if what in ("demand", "others"):
            demand = estimate_demand(self.ladder.state, self.ladder.gossip)
            return _compare(sum(demand.others if what == "others" else demand.own), args[0], args[1])
        if what == "words":
            return _compare(
                max(len(o.text) for o in self.orders if isinstance(o, SendGossip)), args[0], args[1]
            )
        if what == "probes":
            return _compare(sum(isinstance(o, HealthCheck) for o in self.orders), args[0], args[1])
        if what == "messages":
            times = self.written[ids[0]]
            worst = max((sum(t - 10.0 < u <= t for u in times) for t in times), default=0)
            return _compare(worst, args[1], args[2])
        if what == "retry":
            return {o.retry_policy.name.lower() for o in self.orders if isinstance(o, SetAdmission)} == set(
                args
            )
        if what in ("order", "no"):
            return any(type(o).__name__ == args[-1] for o in self.orders) == (what == "order")
        if what in ("known", "unknown"):
            return all((i in self.ladder.state.workers.by_index) == (what == "known") for i in ids)
        if what == "log":
            changes = [o for o in self.orders if isinstance(o, (WorkerStateChanged, AdmissionChanged))]
            return any(" ".join(args) in state_change_text(change) for change in changes)
        raise ValueError(f"unknown word {what}")


def _value(text: str) -> object:
    return {"yes": True, "no": False}.get(text, text if text.isalpha() else float(text))


def _compare(value: float, sign: str, bound: str) -> bool:
    return value < float(bound) if sign == "<" else value > float(bound)


def _entry(text: str) -> Endpoint:
    text, _, started = text.partition("^")
    text, _, mode = text.partition("/")
    text, _, weight = text.partition("*")
    be, zone = text[1:].split("@")
    state = EndpointState[mode.upper()] if mode else EndpointState.READY
    return Endpoint(int(be), int(zone), state, float(weight or 1), float(started or 0))


def play(path: Path) -> None:
    player = Player()
    for number, raw in enumerate(path.read_text().splitlines(), 1):
        words = raw.split("#")[0].split()
        if words:
            try:
                player.line(words)
            except (AssertionError, ValueError, KeyError, IndexError, AttributeError) as exc:
                raise AssertionError(f"{path.name}:{number}: {raw.strip()}: {exc}") from exc


class Scenarios(unittest.TestCase):
    def test_scenarios(self) -> None:
        paths = sorted(FOLDER.glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.name):
                play(path)

    def test_an_unknown_word_is_named_with_its_place(self) -> None:
        for line in ("0 lost p1", "expect tabel 0 has b0", "maybe"):
            player = Player()
            with self.subTest(line), self.assertRaises(ValueError):
                player.line(line.split())


if __name__ == "__main__":
    unittest.main()
