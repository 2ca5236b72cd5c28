"""Simulated runs of several managers, from a seed, over the simulator's JSON interface.

`SimulatedRun` simulates everything outside the managers: discovery, workers, proxies, collectors and the
network between managers.  It uses only names of the JSON interface, so the recorded digests stay valid when
the program's types are renamed.  All random numbers come from the seed.  A change to the order of the draws
changes the digests.
"""

from __future__ import annotations

import hashlib
import json
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tests.support.event_queue import EventQueue, Message, ScheduledEvent
from tests.support.json_object import JsonObject
from tests.support.simulated_run_fleet import (
    CORRUPT_COUNT,
    MS_PER_S,
    REPORT_INTERVAL_MS,
    ListedState,
    ListUpdate,
    SimulatedProxy,
    SimulatedRunFleet,
)
from tests.support.simulated_run_settings import (
    DEFAULT_FLEET_SIZE,
    FLEET_SIZES,
    REQUEST_CLASSES,
    RUN_SETTINGS,
)

BatchHandler = Callable[[str], JsonObject]
TICK_S = 0.25
REPORT_INTERVAL_TICKS = 4
START_S = 1000.0  # on the simulator's clock, so that workers with start time 0 are not warming up
RECENT_START_AGE_S = 9.0  # age of every tenth initial worker; the other initial workers start at time 0


class SimulatedRun:
    """One run of `duration_s` simulated seconds.

    `handle_batch` takes a batch of events as a line of JSON, and returns the managers' reply.
    """

    def __init__(
        self, name: str, handle_batch: BatchHandler, seed: int = 1, duration_s: float = 70.0
    ) -> None:
        self.settings = RUN_SETTINGS[name]
        self.action_counts: dict[str, int] = defaultdict(int)
        self._handle_batch = handle_batch
        self._duration_s = duration_s
        self._random = random.Random(f"{name}-{seed}")
        self._digest = hashlib.sha256()
        self._now = START_S
        self._fleet_size = FLEET_SIZES.get(name, DEFAULT_FLEET_SIZE)
        self._fleet = SimulatedRunFleet(self.settings["Zones"], self._fleet_size, self._random)
        self._managers = range(self.settings["NInstances"])
        self._queue = EventQueue()
        self._tables: dict[tuple[int, int], dict[int, float]] = defaultdict(dict)  # by manager and table
        self._bound_tables: dict[tuple[int, int], int] = {}  # by manager and proxy
        self._watching_managers: set[int] = set()
        self._running_managers: set[int] = set()

    def run(self) -> str:
        """Runs the simulation; returns the digest of all replies, without the texts of their log lines."""
        for worker in range(self._fleet_size.worker_count):
            has_just_started = worker % 10 == 9
            self._fleet.add_worker(worker, START_S - RECENT_START_AGE_S if has_just_started else 0.0)
        for proxy in range(self._fleet_size.proxy_count):
            self._fleet.add_proxy(proxy, len(self._managers))
        for manager in self._managers:
            self.start_manager(manager)
        tick = 0
        while self._now < START_S + self._duration_s:
            self._now = START_S + tick * TICK_S
            self._run_tick(tick)
            self._deliver_until(self._now)
            tick += 1
        return self._digest.hexdigest()

    @property
    def _elapsed_s(self) -> float:
        return self._now - START_S

    def _send(self, delay_s: float, manager: int, name: str, body: Message) -> None:
        """Schedules an event for a manager."""
        self._queue.push(self._now + delay_s, manager, {name: body})

    def _deliver_until(self, end: float) -> None:
        """Delivers all events up to `end`, in order of time; events of the same time form one batch."""
        while events := self._queue.pop_next_batch(end):
            self._now = events[0].time_s
            self._deliver(self._events_by_manager(events))
        self._now = end

    def _events_by_manager(self, events: list[ScheduledEvent]) -> dict[int, list[Message]]:
        """Groups events by manager, and drops events for managers that are not running."""
        grouped: dict[int, list[Message]] = {}
        for event in events:
            if "ATTACH" in event.message:
                self._running_managers.add(event.manager)
            if event.manager in self._running_managers:
                grouped.setdefault(event.manager, []).append(event.message)
        return grouped

    def _deliver(self, events: dict[int, list[Message]]) -> None:
        groups = [{"ManagerId": manager, "arrivals": arrivals} for manager, arrivals in events.items()]
        reply = self._handle_batch(json.dumps({"SimTimeMs": self._now * MS_PER_S, "managers": groups}))
        for group in reply["managers"]:
            for action in group["outbox"]:
                if "REMARK" in action:
                    action["REMARK"] = {}
                if "CRASH" in action:
                    raise AssertionError(f"{self._now:.2f} s: {action}")
        self._digest.update(json.dumps(reply, separators=(",", ":")).encode())
        for group in reply["managers"]:
            self._react(group["ManagerId"], group["outbox"])

    # Reactions to the managers' actions.

    def _react(self, manager: int, actions: list[Message]) -> None:
        for action in actions:
            ((name, body),) = action.items()
            self.action_counts[name] += 1
            reaction = REACTIONS.get(name)
            if reaction is not None:
                reaction(self, manager, body)

    def start_timer(self, manager: int, body: Message) -> None:
        """Schedules the event that the timer has fired."""
        self._send(body["SleepForMs"] / MS_PER_S, manager, "WAKE", {"Nonce": body["Nonce"]})

    def check_health(self, manager: int, body: Message) -> None:
        """Schedules the result of a health check.

        A third of the workers report the length of their queue, the others their requests in flight.
        """
        worker = body["Worker"]
        if self._fleet.is_failing(worker, self._elapsed_s) or self._random.random() < 0.03:
            self._send(0.5, manager, "PROBE_DONE", {"Worker": worker, "StateCode": "lost"})
            return
        latency_s = self._fleet.draw_latency_s(worker, self._elapsed_s)
        in_flight = self._random.randrange(12) * (3 if self._fleet.is_overloaded(self._elapsed_s) else 1)
        health_info = {"queue": in_flight // 2} if worker % 3 == 0 else {"inflight": in_flight}
        result = {
            "Worker": worker,
            "StateCode": "served",
            "RttMs": latency_s * MS_PER_S,
            "HealthInfo": health_info,
        }
        self._send(latency_s, manager, "PROBE_DONE", result)

    def acknowledge(self, manager: int, body: Message) -> None:
        """Schedules the proxies' acknowledgements of a checkpoint.

        Some proxies acknowledge late, some never, and a few acknowledge a checkpoint that was never sent.
        """
        for proxy_index, proxy in self._fleet.proxies.items():
            if proxy.manager != manager or not proxy.is_connected:
                continue
            chance = self._random.random()
            if chance < 0.15:
                continue
            delay_s = 4.0 if chance < 0.2 else self._random.uniform(0.05, 0.6)
            checkpoint = (body["Rev"] + 7) % 65536 if chance > 0.99 else body["Rev"]
            reply = {"Proxy": proxy_index, "Rev": checkpoint, "RttMs": delay_s * MS_PER_S}
            self._send(delay_s, manager, "CAUGHT_UP", reply)

    def watch_endpoints(self, manager: int, _body: Message) -> None:
        """Opens a watch on the endpoint list; one in five attempts fails."""
        if self._random.random() < 0.2:
            self._send(1.0, manager, "SYNC", {"How": ListUpdate.FAILED})
            return
        self._watching_managers.add(manager)
        self._send_list(0.2, manager, ListUpdate.FULL, self._fleet.workers)

    def deliver_gossip(self, manager: int, body: Message) -> None:
        """Delivers a datagram to the other managers; some are lost, some corrupted."""
        for other in self._managers:
            if other != manager and self._random.random() > 0.1:
                data = body["Data"] if self._random.random() > 0.02 else body["Data"][::-1]
                delay_s = self._random.uniform(0.01, 0.4)
                self._send(delay_s, other, "HEARD", {"From": manager, "Data": data})

    def set_weight(self, manager: int, body: Message) -> None:
        """Sets a worker's weight in a table; a weight of 0 or less removes the worker."""
        table = self._tables[manager, body["SetId"]]
        table[body["Worker"]] = body["Size"]
        if body["Size"] <= 0:
            del table[body["Worker"]]

    def clear_table(self, manager: int, body: Message) -> None:
        """Removes every worker from a table."""
        self._tables[manager, body["SetId"]].clear()

    def bind_proxy(self, manager: int, body: Message) -> None:
        """Binds a proxy to a table."""
        self._bound_tables[manager, body["Proxy"]] = body["SetId"]

    # Incidents, and the proxies' and collectors' reports.

    def _run_tick(self, tick: int) -> None:
        for incident in INCIDENTS:
            if incident.time_s == tick * TICK_S:
                incident.apply(self)
        if tick % REPORT_INTERVAL_TICKS == 0:
            self._report_load()
        self._connect_and_disconnect_proxies()

    def start_manager(self, manager: int) -> None:
        """Starts a manager with a cached endpoint list of all workers."""
        settings = {**self.settings, "Me": manager}
        self._send(0.0, manager, "ATTACH", {"Info": settings, "Prng": 77 + manager})
        self._send_list(0.0, manager, ListUpdate.CACHED, self._fleet.workers)
        if self.settings["FamilyInfo"]["KeyRanges"]:
            for table in range(3):
                self._send(0.5, manager, "GIVEN", {"SetId": table, "Active": True})
                self._send(0.6, manager, "STORED_LINE", {"SetId": table, "Worker": table, "Size": 1.5})

    def stop_manager(self, manager: int) -> None:
        """Stops a manager; its proxies disconnect, and connect to the next manager later."""
        self._send(0.0, manager, "RETIRE", {})
        self._deliver_until(self._now)
        self._running_managers.discard(manager)
        for proxy in self._fleet.proxies.values():
            if proxy.manager == manager:
                proxy.is_connected = False
                proxy.manager = self._next_manager(manager)

    def _next_manager(self, manager: int) -> int:
        return (manager + 1) % len(self._managers)

    def _send_list(self, delay_s: float, manager: int, update: ListUpdate, workers: Iterable[int]) -> None:
        endpoints = [self._fleet.endpoint(worker) for worker in workers]
        self._send(delay_s, manager, "SYNC", {"How": update, "Entries": endpoints})

    def _send_list_changes(self, changed: list[int]) -> None:
        for manager in self._managers:
            if self.settings["Discovery"] != "subscribe" or manager in self._watching_managers:
                delay_s = self._random.uniform(0.05, 1.5)
                self._send_list(delay_s, manager, ListUpdate.DELTA, changed)

    def send_full_list(self) -> None:
        """Sends a full endpoint list without the first worker."""
        workers = list(self._fleet.workers)[1:]
        for manager in self._managers:
            self._send_list(0.1, manager, ListUpdate.FULL, workers)

    def replace_third_of_workers(self) -> None:
        """Sets a third of the workers to draining, and lists the same number of new workers."""
        draining = [worker for worker in self._fleet.workers if worker % 3 == 0]
        for worker in draining:
            self._fleet.workers[worker].state = ListedState.DRAINING
        first = max(self._fleet.workers) + 1
        started = range(first, first + len(draining))
        for worker in started:
            self._fleet.add_worker(worker, self._now)
        self._send_list_changes([*draining, *started])

    def remove_drained_workers(self) -> None:
        """Lists the drained workers as gone, and deletes all but the first of them from the fleet."""
        gone = [
            index for index, worker in self._fleet.workers.items() if worker.state == ListedState.DRAINING
        ]
        for worker in gone:
            self._fleet.workers[worker].state = ListedState.GONE
        self._send_list_changes(gone)
        for worker in gone[1:]:
            del self._fleet.workers[worker]

    def restart_workers(self) -> None:
        """Restarts a quarter of the workers at the same time."""
        restarted = [worker for worker in self._fleet.workers if worker % 4 == 1]
        for worker in restarted:
            self._fleet.workers[worker].started_at_s = self._now - 1.0
        self._send_list_changes(restarted)

    def _connect_and_disconnect_proxies(self) -> None:
        for proxy_index, proxy in self._fleet.proxies.items():
            manager = proxy.manager
            if manager not in self._running_managers:
                proxy.manager = self._next_manager(manager)
            elif not proxy.is_connected and self._random.random() < 0.25:
                self._connect(proxy_index, proxy)
            elif proxy.is_connected and self._random.random() < 0.002:
                proxy.is_connected = False
                self._bound_tables.pop((manager, proxy_index), None)
                self._send(0.0, manager, "LOST_STREAM", {"Proxy": proxy_index})

    def _connect(self, proxy_index: int, proxy: SimulatedProxy) -> None:
        proxy.is_connected = True
        body = {
            "Proxy": proxy_index,
            "Locality": proxy.zone,
            "Size": proxy.requests_per_s,
            "Active": self._random.random() < 0.5,
        }
        self._send(0.0, proxy.manager, "CONNECTED", body)

    def _report_load(self) -> None:
        reports_stats = bool(self.settings["Stats"])
        for manager in sorted(self._running_managers):
            for (worker, zone), requests_per_s in self._send_arrivals(manager).items():
                if self._random.random() < 0.9:
                    delay_s = self._random.uniform(0.0, 0.9)
                    report = self._fleet.load_report(
                        worker, zone, requests_per_s, reports_stats, self._elapsed_s
                    )
                    self._send(delay_s, manager, "TALLY", report)

    def _send_arrivals(self, manager: int) -> dict[tuple[int, str], float]:
        """Sends the arrival reports of a manager's proxies; returns request rates by worker and zone."""
        rates: dict[tuple[int, str], float] = defaultdict(float)
        for proxy_index, proxy in self._fleet.proxies.items():
            if proxy.manager != manager or not proxy.is_connected:
                continue
            self._report_arrivals(manager, proxy_index, proxy.requests_per_s)
            bound_table = self._bound_tables.get((manager, proxy_index), -1)
            weights = self._tables[manager, bound_table] or dict.fromkeys(self._fleet.workers, 1.0)
            for worker, weight in weights.items():
                rates[worker, proxy.zone] += proxy.requests_per_s * weight / sum(weights.values())
        return rates

    def _report_arrivals(self, manager: int, proxy: int, requests_per_s: float) -> None:
        for request_class in REQUEST_CLASSES:
            overload_factor = 3.0 if self._fleet.is_overloaded(self._elapsed_s) else 1.0
            count = int(requests_per_s * self._random.uniform(0.1, 0.6) * overload_factor)
            report: Message = {
                "Lane": request_class.name,
                "Many": count,
                "Failed": count // 5,
                "ElapsedMs": REPORT_INTERVAL_MS,
            }
            if self._random.random() < 0.004:
                report["Many"] = CORRUPT_COUNT
            if self.settings["FamilyInfo"]["KeyRanges"]:
                self._send(0.3, manager, "SLICE_LOAD", {**report, "SetId": proxy % 3})
            if self._random.random() < 0.8:
                self._send(self._random.uniform(0.0, 2.5), manager, "INGRESS", {**report, "Proxy": proxy})


@dataclass(frozen=True, slots=True)
class Incident:
    """A change to the fleet or the managers, `time_s` after the start of the run."""

    time_s: float
    apply: Callable[[SimulatedRun], None]


REACTIONS: dict[str, Callable[[SimulatedRun, int, Message], None]] = {
    "DEFER": SimulatedRun.start_timer,
    "SOUND_OUT": SimulatedRun.check_health,
    "STAMP": SimulatedRun.acknowledge,
    "WATCH": SimulatedRun.watch_endpoints,
    "BROADCAST_TO": SimulatedRun.deliver_gossip,
    "UPSERT": SimulatedRun.set_weight,
    "EMPTY": SimulatedRun.clear_table,
    "PIN": SimulatedRun.bind_proxy,
}
INCIDENTS = (
    Incident(8.0, SimulatedRun.send_full_list),
    Incident(22.0, SimulatedRun.replace_third_of_workers),
    Incident(27.0, SimulatedRun.remove_drained_workers),
    Incident(32.0, SimulatedRun.restart_workers),
    Incident(33.0, lambda run: run.stop_manager(0)),
    Incident(34.0, lambda run: run.start_manager(0)),
    Incident(43.0, SimulatedRun.restart_workers),
    Incident(58.0, SimulatedRun.replace_third_of_workers),
)
