"""Seeded days on the simulator's wire: settings, events and their answers, as JSON and nothing else.

`SimulatedDay` plays the outside of several managers at once: discovery, workers, proxies, collectors and the
network between managers.  It knows the wire's own words only, so a recorded day stands whatever the program's
types are called.  Chance comes from the seed alone.
"""

from __future__ import annotations

import hashlib
import heapq
import json
import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any

Event = dict[str, Any]
Batch = Callable[[str], dict[str, Any]]
TICK_S = 0.25
REPORT_TICKS = 4  # load reports come once a second
CLASSES = (("fetch", 800.0, 1.0), ("release", 1000.0, 3.0), ("audit", 2500.0, 0.5))
START_S = 1000.0  # of the simulator's clock, as a start of 0 is listed for long ago
YOUNG_S = 9.0  # since a tenth of the workers started, as the day begins
OUTLIER = 1  # workers in trouble for a while
SLOW = 2
LOST_ZONE = 1


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a day; `changes` replaces whole groups, or keys of them by `Group__Key`."""
    info: dict[str, Any] = {
        "NInstances": 2,
        "Zones": ["east", "west", "north"],
        "Discovery": "subscribe",
        "Profiles": [{"Name": n, "TargetMs": t, "Gain": g} for n, t, g in CLASSES],
        "FamilyInfo": {
            "Proxies": 24,
            "EgressPerS": 3000.0,
            "Head": 10.0,
            "PendingMax": 6000.0,
            "ThrottleBy": "ratio",
            "Strikes": 0,
            "KeyRanges": 0,
            "ReloadsMax": 0,
            "ReloadSpanMs": 10000.0,
        },
        "Rules": {
            "ColdFrom": 0.2,
            "FallMultiple": 3.0,
            "WarmAfterMs": 12000.0,
            "AskWithinMs": 10000.0,
            "DrainGraceMs": 3000.0,
        },
        "Limits": {"Probing": True, "Peers": True},
        "Prices": {"CrossZone": 0.05, "Probe": 0.002},
        "Stats": {"Via": "probe"},
    }
    for name, value in changes.items():
        group, _, key = name.partition("__")
        if key:
            info[group][key] = value
        else:
            info[group] = value
    return info


DAYS: dict[str, dict[str, Any]] = {
    "ratio": settings(),
    "rate": settings(
        Discovery="automatic", FamilyInfo__ThrottleBy="rate", FamilyInfo__Strikes=3, Limits__Peers=False
    ),
    "none": settings(
        NInstances=1,
        FamilyInfo__ThrottleBy="none",
        FamilyInfo__SingleWriter=True,
        Limits={"Probing": False, "Peers": False},
        Stats={},
    ),
    "slices": settings(NInstances=1, FamilyInfo__KeyRanges=8, FamilyInfo__ReloadsMax=6),
    "few_messages": settings(FamilyInfo__ReloadsMax=5, FamilyInfo__PendingMax=700.0),
    "short_tables": settings(FamilyInfo__EgressPerS=260.0, FamilyInfo__Strikes=2, NInstances=3),
    "many_zones": settings(Zones=[f"zone-{n}" for n in range(20)], Prices={}),
    "partitioned_tables": settings(
        NInstances=3,
        FamilyInfo__Proxies=150,
        FamilyInfo__EgressPerS=2500.0,
        FamilyInfo__PendingMax=1800.0,
        FamilyInfo__Strikes=2,
        Rules__FallMultiple=2.0,
    ),
}
# Workers, proxies and the highest requests a second of one, where a day has others than the usual.
FLEETS = {"partitioned_tables": (45, 150, 9.0)}
USUAL_FLEET = (14, 24, 30.0)


class SimulatedDay:
    """One day of `seconds`, played against `batch`, which takes a line of JSON and gives the reply."""

    def __init__(self, name: str, batch: Batch, seed: int = 1, seconds: float = 70.0) -> None:
        self.info = DAYS[name]
        self.batch = batch
        self.seconds = seconds
        self.random = random.Random(f"{name}-{seed}")
        self.digest = hashlib.sha256()
        self.actions: dict[str, int] = defaultdict(int)
        self.now = START_S
        self.fleet = FLEETS.get(name, USUAL_FLEET)
        self.zones: list[str] = self.info["Zones"]
        self.managers = range(self.info["NInstances"])
        self.queue: list[tuple[float, int, int, Event]] = []
        self.sequence = 0
        self.workers: dict[int, dict[str, Any]] = {}
        self.proxies: dict[int, dict[str, Any]] = {}
        self.tables: dict[tuple[int, int], dict[int, float]] = defaultdict(dict)
        self.bound: dict[tuple[int, int], int] = {}
        self.watched: set[int] = set()
        self.alive: set[int] = set()

    def play(self) -> str:
        """The digest of all replies, less the words of their log lines."""
        workers, proxies, rate = self.fleet
        for worker in range(workers):
            self.add_worker(worker, START_S - YOUNG_S if worker % 10 == 9 else 0.0)
        for proxy in range(proxies):
            home = self.zones[proxy % len(self.zones)]
            self.proxies[proxy] = {
                "zone": home,
                "rate": self.random.uniform(0.5, rate),
                "manager": proxy % len(self.managers),
                "joined": False,
            }
        for manager in self.managers:
            self.start(manager)
        tick = 0
        while self.now < START_S + self.seconds:
            self.now = START_S + tick * TICK_S
            self.tick(tick)
            self.deliver(self.now)
            tick += 1
        return self.digest.hexdigest()

    def post(self, after: float, manager: int, name: str, body: Event) -> None:
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + after, self.sequence, manager, {name: body}))

    def deliver(self, until: float) -> None:
        """Everything due, in order of time; what has the same time comes as one batch."""
        while self.queue and self.queue[0][0] <= until:
            at = self.queue[0][0]
            arrivals: dict[int, list[Event]] = {}
            while self.queue and self.queue[0][0] == at:
                _, _, manager, event = heapq.heappop(self.queue)
                if "ATTACH" in event:
                    self.alive.add(manager)
                if manager in self.alive:
                    arrivals.setdefault(manager, []).append(event)
            self.now = at
            self.hand_over(at, arrivals)
        self.now = until

    def hand_over(self, at: float, arrivals: dict[int, list[Event]]) -> None:
        groups = [{"ManagerId": who, "arrivals": events} for who, events in arrivals.items()]
        reply = self.batch(json.dumps({"SimTimeMs": at * 1000.0, "managers": groups}))
        for group in reply["managers"]:
            for action in group["outbox"]:
                if "REMARK" in action:
                    action["REMARK"] = {}
                if "CRASH" in action:
                    raise AssertionError(f"{at:.2f} s: {action}")
        self.digest.update(json.dumps(reply, separators=(",", ":")).encode())
        for group in reply["managers"]:
            self.react(group["ManagerId"], group["outbox"])

    # what the outside does with the managers' actions

    def react(self, who: int, outbox: list[Event]) -> None:
        for action in outbox:
            ((name, body),) = action.items()
            self.actions[name] += 1
            handler = REACTIONS.get(name)
            if handler is not None:
                handler(self, who, body)

    def on_defer(self, who: int, body: Event) -> None:
        self.post(body["SleepForMs"] / 1000.0, who, "WAKE", {"Nonce": body["Nonce"]})

    def on_probe(self, who: int, body: Event) -> None:
        worker = body["Worker"]
        if self.fails(worker) or self.random.random() < 0.03:
            done = {"Worker": worker, "StateCode": "lost"}
            self.post(0.5, who, "PROBE_DONE", done)
            return
        rtt = self.response_s(worker)
        report = {"inflight": self.random.randrange(12) * (3 if self.overloaded() else 1)}
        if worker % 3 == 0:
            report = {"queue": report["inflight"] // 2}
        done = {"Worker": worker, "StateCode": "served", "RttMs": rtt * 1000.0, "HealthInfo": report}
        self.post(rtt, who, "PROBE_DONE", done)

    def on_stamp(self, who: int, body: Event) -> None:
        """Most of the manager's proxies acknowledge; some late, some never, some a number never used."""
        for proxy, stands in self.proxies.items():
            if stands["manager"] != who or not stands["joined"]:
                continue
            chance = self.random.random()
            if chance < 0.15:
                continue
            delay = 4.0 if chance < 0.2 else self.random.uniform(0.05, 0.6)
            rev = (body["Rev"] + 7) % 65536 if chance > 0.99 else body["Rev"]
            self.post(delay, who, "CAUGHT_UP", {"Proxy": proxy, "Rev": rev, "RttMs": delay * 1000.0})

    def on_watch(self, who: int, _body: Event) -> None:
        if self.random.random() < 0.2:
            self.post(1.0, who, "SYNC", {"How": 1})
            return
        self.watched.add(who)
        self.post(0.2, who, "SYNC", {"How": 0, "Entries": self.entries(self.workers)})

    def on_broadcast(self, who: int, body: Event) -> None:
        for manager in self.managers:
            if manager != who and self.random.random() > 0.1:
                data = body["Data"] if self.random.random() > 0.02 else body["Data"][::-1]
                self.post(self.random.uniform(0.01, 0.4), manager, "HEARD", {"From": who, "Data": data})

    def on_upsert(self, who: int, body: Event) -> None:
        table = self.tables[who, body["SetId"]]
        table[body["Worker"]] = body["Size"]
        if body["Size"] <= 0:
            del table[body["Worker"]]

    def on_empty(self, who: int, body: Event) -> None:
        self.tables[who, body["SetId"]].clear()

    def on_pin(self, who: int, body: Event) -> None:
        self.bound[who, body["Proxy"]] = body["SetId"]

    # what happens on the day

    def tick(self, tick: int) -> None:
        for at, happening in HAPPENINGS:
            if at == tick * TICK_S:
                happening(self)
        if tick % REPORT_TICKS == 0:
            self.report_load()
        self.joins_and_leaves()

    def start(self, manager: int) -> None:
        info = {**self.info, "Me": manager}
        self.post(0.0, manager, "ATTACH", {"Info": info, "Prng": 77 + manager})
        self.post(0.0, manager, "SYNC", {"How": 3, "Entries": self.entries(self.workers)})
        if self.info["FamilyInfo"]["KeyRanges"]:
            for table in range(3):
                self.post(0.5, manager, "GIVEN", {"SetId": table, "Active": True})
                self.post(0.6, manager, "STORED_LINE", {"SetId": table, "Worker": table, "Size": 1.5})

    def stop(self, manager: int) -> None:
        self.post(0.0, manager, "RETIRE", {})
        self.deliver(self.now)
        self.alive.discard(manager)
        for stands in self.proxies.values():
            if stands["manager"] == manager:
                stands["joined"] = False
                stands["manager"] = (manager + 1) % len(self.managers)

    def add_worker(self, worker: int, started: float) -> None:
        self.workers[worker] = {
            "zone": self.zones[worker % len(self.zones)],
            "mode": 1,
            "size": self.random.choice([1.0, 1.0, 2.0]),
            "started": started,
            "speed": self.random.uniform(0.05, 0.2),
        }

    def entries(self, workers: Any) -> list[Event]:
        return [
            {
                "Worker": worker,
                "Locality": self.workers[worker]["zone"],
                "Mode": self.workers[worker]["mode"],
                "Size": self.workers[worker]["size"],
                "CameUpMs": self.workers[worker]["started"] * 1000.0,
            }
            for worker in workers
        ]

    def list_changes(self, changed: list[int]) -> None:
        for manager in self.managers:
            if self.info["Discovery"] != "subscribe" or manager in self.watched:
                delay = self.random.uniform(0.05, 1.5)
                self.post(delay, manager, "SYNC", {"How": 2, "Entries": self.entries(changed)})

    def drain_storm(self) -> None:
        leaving = [w for w in self.workers if w % 3 == 0]
        for worker in leaving:
            self.workers[worker]["mode"] = 0
        first = max(self.workers) + 1
        new = range(first, first + len(leaving))
        for worker in new:
            self.add_worker(worker, self.now)
        self.list_changes([*leaving, *new])

    def drains_end(self) -> None:
        gone = [w for w, stands in self.workers.items() if stands["mode"] == 0]
        for worker in gone:
            self.workers[worker]["mode"] = 2
        self.list_changes(gone)
        for worker in gone[1:]:
            del self.workers[worker]

    def restart_workers(self) -> None:
        again = [w for w in self.workers if w % 4 == 1]
        for worker in again:
            self.workers[worker]["started"] = self.now - 1.0
        self.list_changes(again)

    def full_list(self) -> None:
        for manager in self.managers:
            self.post(0.1, manager, "SYNC", {"How": 0, "Entries": self.entries(list(self.workers)[1:])})

    def overloaded(self) -> bool:
        return 44.0 <= self.now - START_S < 56.0

    def fails(self, worker: int) -> bool:
        since = self.now - START_S
        if worker == OUTLIER and 12.0 <= since < 20.0:
            return True
        lost = 36.0 <= since < 42.0 and worker in self.workers
        return lost and self.workers[worker]["zone"] == self.zones[LOST_ZONE]

    def response_s(self, worker: int) -> float:
        speed = self.workers.get(worker, {"speed": 0.1})["speed"]
        slow = 8.0 if worker == SLOW and 14.0 <= self.now - START_S < 30.0 else 1.0
        crowded = 10.0 if self.overloaded() else 1.0
        return float(speed * slow * crowded * self.random.uniform(0.8, 1.3))

    def joins_and_leaves(self) -> None:
        for proxy, stands in self.proxies.items():
            who = stands["manager"]
            if who not in self.alive:
                stands["manager"] = (who + 1) % len(self.managers)
            elif not stands["joined"] and self.random.random() < 0.25:
                stands["joined"] = True
                join = {"Proxy": proxy, "Locality": stands["zone"], "Size": stands["rate"]}
                self.post(0.0, who, "CONNECTED", {**join, "Active": self.random.random() < 0.5})
            elif stands["joined"] and self.random.random() < 0.002:
                stands["joined"] = False
                self.bound.pop((who, proxy), None)
                self.post(0.0, who, "LOST_STREAM", {"Proxy": proxy})

    def report_load(self) -> None:
        for who in sorted(self.alive):
            here = {p: s for p, s in self.proxies.items() if s["manager"] == who and s["joined"]}
            sums: dict[tuple[int, str], float] = defaultdict(float)
            for proxy, stands in here.items():
                self.report_arrivals(who, proxy, stands["rate"])
                table = self.tables[who, self.bound.get((who, proxy), -1)] or dict.fromkeys(self.workers, 1.0)
                for worker, weight in table.items():
                    sums[worker, stands["zone"]] += stands["rate"] * weight / sum(table.values())
            for (worker, zone), rate in sums.items():
                if self.random.random() < 0.9:
                    self.post(self.random.uniform(0.0, 0.9), who, "TALLY", self.tally(worker, zone, rate))

    def report_arrivals(self, who: int, proxy: int, rate: float) -> None:
        for name, _, _ in CLASSES:
            many = int(rate * self.random.uniform(0.1, 0.6) * (3.0 if self.overloaded() else 1.0))
            counted = {"Lane": name, "Many": many, "Failed": many // 5, "ElapsedMs": 1000.0}
            if self.random.random() < 0.004:
                counted["Many"] = 39_000_000_000  # a spoilt sum
            if self.info["FamilyInfo"]["KeyRanges"]:
                self.post(0.3, who, "SLICE_LOAD", {**counted, "SetId": proxy % 3})
            if self.random.random() < 0.8:
                self.post(self.random.uniform(0.0, 2.5), who, "INGRESS", {**counted, "Proxy": proxy})

    def tally(self, worker: int, zone: str, rate: float) -> Event:
        many = int(rate + self.random.random())
        errors = 0.9 if self.fails(worker) else 0.25 if self.overloaded() else 0.01
        failed = sum(self.random.random() < errors for _ in range(many))
        body = {"Worker": worker, "Locality": zone, "Many": many, "Failed": failed, "ElapsedMs": 1000.0}
        body["RttMs"] = self.response_s(worker) * 1000.0
        if self.info["Stats"]:
            load = self.random.uniform(0.9, 1.4) if self.overloaded() else self.random.uniform(0.2, 0.7)
            body["HealthInfo"] = {"util": load, "name": "left out"}
        odd = self.random.random()
        if odd < 0.004:
            body["ElapsedMs"] = 400_000.0
        elif odd < 0.008:
            body["RttMs"] = 9e6
        return body


REACTIONS: dict[str, Callable[[SimulatedDay, int, Event], None]] = {
    "DEFER": SimulatedDay.on_defer,
    "SOUND_OUT": SimulatedDay.on_probe,
    "STAMP": SimulatedDay.on_stamp,
    "WATCH": SimulatedDay.on_watch,
    "BROADCAST_TO": SimulatedDay.on_broadcast,
    "UPSERT": SimulatedDay.on_upsert,
    "EMPTY": SimulatedDay.on_empty,
    "PIN": SimulatedDay.on_pin,
}
HAPPENINGS: list[tuple[float, Callable[[SimulatedDay], None]]] = [
    (8.0, SimulatedDay.full_list),
    (22.0, SimulatedDay.drain_storm),
    (27.0, SimulatedDay.drains_end),
    (32.0, SimulatedDay.restart_workers),
    (33.0, lambda day: day.stop(0)),
    (34.0, lambda day: day.start(0)),
    (43.0, SimulatedDay.restart_workers),
    (58.0, SimulatedDay.drain_storm),
]
