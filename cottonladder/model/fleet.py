"""The deployment as one controller knows it, kept from its inputs; decides nothing."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from . import inputs
from .gossip_text import decode_zone_figures, encode_zone_figures
from .latency import LatencyHistogram, LinkLatencies
from .orders import ALL_TABLES, ExcludeWorker, Order, RemoveWorker, SendGossip
from .parameters import DeploymentParameters
from .peer_demand import PeerDemand
from .records import ProxyRecord, RoutingTable, WorkerRecord
from .state_changes import Evidence, WorkerEvent, WorkerState, WorkerStateChanged
from .state_table import StateTable


@dataclass(frozen=True, slots=True)
class RecordSettings:
    """How reports are kept, and which of their figures are believed."""

    max_ratio: float  # of a figure to what is usual
    max_interval_s: float  # that one report may cover
    max_request_rate: float  # requests a second that one proxy or worker may state
    demand_window_s: float  # of counts of arrivals kept whole
    max_gossip_zones: int  # in one datagram
    max_advised_factor: float  # of all advisors together, and its inverse the least
    capacity_samples: int  # of a worker, one an interval
    link_intervals: int  # that a link's least latency is of
    min_latency_ratio: float  # of the tightest objective: the first bin's lower bound
    latency_bin_ratio: float  # of a bin's bounds
    latency_bins: int


class Fleet:
    """Records by index, which the parts of a policy share."""

    def __init__(self, parameters: DeploymentParameters, settings: RecordSettings) -> None:
        self.parameters = parameters
        self.settings = settings
        self.now = 0.0
        self.random = random.Random(parameters.seed)
        self.zones = range(parameters.zone_count)
        self.classes = range(len(parameters.request_classes))
        self.tightest_objective_s = min(c.latency_objective_s for c in parameters.request_classes)
        self.workers: dict[int, WorkerRecord] = {}
        self.proxies: dict[int, ProxyRecord] = {}
        self.tables = [RoutingTable(zone, zone) for zone in self.zones]
        self._next_table_number = parameters.zone_count
        self.links = LinkLatencies(parameters.zone_count, settings.link_intervals)
        self.peers = PeerDemand(parameters.zone_count)
        self.zone_heard_at = [-math.inf for _ in self.zones]  # when its proxies last joined or answered
        self.zone_answered_at = [0.0 for _ in self.zones]  # when its workers last answered anybody
        self.last_checks_at = -math.inf  # health checks of all workers
        self.usual_request_rate = 0.0  # of all proxies here, as they joined; the most so far
        self.restored_rates: dict[int, float] = {}  # of proxies, as an earlier incarnation knew
        self.needs_solution = False  # workers changed since the last one
        self.pending: list[Order] = []  # orders to others than proxies, until the round ends
        self.recorders: dict[type, Callable[..., None]] = {
            inputs.ProxyConnected: self.connect,
            inputs.ProxyDisconnected: self.disconnect,
            inputs.LoadReport: self.add_load_report,
            inputs.ArrivalReport: self.add_arrivals,
            inputs.GossipReceived: self.add_gossip,
            inputs.HeldLoad: self.hold_load,
            inputs.AdvisedFactor: self.advise,
        }

    # Inputs that are recorded and no more.

    def is_plausible(self, count: int, interval_s: float, usual_rate: float) -> bool:
        """Reports arrive spoilt, and would be believed for minutes."""
        max_count = self.settings.max_ratio * (1.0 + usual_rate) * (1.0 + interval_s)
        return interval_s <= self.settings.max_interval_s and count <= max_count

    def connect(self, connected: inputs.ProxyConnected) -> None:
        """A proxy came, perhaps again."""
        self.disconnect(inputs.ProxyDisconnected(connected.proxy))
        rate = self.restored_rates.pop(connected.proxy, connected.requests_per_s)
        rate = min(rate, self.settings.max_request_rate)
        self.proxies[connected.proxy] = ProxyRecord(connected.zone, rate, len(self.classes), self.now)
        self.zone_heard_at[connected.zone] = self.now

    def disconnect(self, disconnected: inputs.ProxyDisconnected) -> None:
        """A proxy left: it reads no table any more."""
        proxy = self.proxies.pop(disconnected.proxy, None)
        if proxy is not None and proxy.table is not None:
            proxy.table.readers.pop(disconnected.proxy, None)

    def add_load_report(self, report: inputs.LoadReport) -> None:
        """What attempts at a worker came to."""
        worker = self.workers.get(report.worker_index)
        if worker is None or report.attempts <= 0:
            return
        if not self.is_plausible(report.attempts, report.interval_s, self.usual_request_rate):
            return
        worker.add_load_report(report, self.settings.max_ratio)
        max_latency_s = self.settings.max_ratio * self.tightest_objective_s
        if report.attempts > report.failed and 0 < report.duration_s < max_latency_s:
            worker.latency.add(report.duration_s, report.attempts - report.failed)
            self.links.add(report.zone, worker.zone, report.duration_s)
            self.zone_answered_at[worker.zone] = self.now

    def add_arrivals(self, report: inputs.ArrivalReport) -> None:
        """Counts over the time they cover: small proxies are heard of seldom."""
        proxy = self.proxies.get(report.proxy)
        if proxy is not None and self.is_plausible(report.requests, report.interval_s, proxy.joining_rate):
            proxy.add_arrivals(report, self.settings.demand_window_s)

    def add_gossip(self, gossip: inputs.GossipReceived) -> None:
        """What another manager tells of its proxies."""
        told = decode_zone_figures(gossip.text, len(self.zones), self.settings.max_gossip_zones)
        if told is not None:
            self.peers.update(gossip.sender, self.now, told)

    def hold_load(self, held: inputs.HeldLoad) -> None:
        """Connections that a worker holds, as requests a second."""
        worker = self.workers.get(held.worker_index)
        if worker is not None:
            worker.held_request_rate = min(held.requests_per_s, self.settings.max_request_rate)

    def advise(self, advised: inputs.AdvisedFactor) -> None:
        """One advisor's factor for a worker."""
        worker = self.workers.get(advised.worker_index)
        if worker is not None:
            worker.advise(advised.source, advised.factor, self.settings.max_advised_factor)

    def add_health_check(self, result: inputs.HealthCheckResult) -> WorkerRecord | None:
        """The worker, if it is known."""
        worker = self.workers.get(result.worker_index)
        if worker is not None:
            worker.add_health_check(result, self.settings.max_ratio * (1.0 + self.usual_request_rate))
        return worker

    def update_worker(self, endpoint: inputs.Endpoint) -> bool:
        """Takes what the list says of a worker; whether it has started since it was last listed, of late."""
        if endpoint.worker_index not in self.workers:
            s = self.settings
            latency = LatencyHistogram(
                self.tightest_objective_s * s.min_latency_ratio, s.latency_bin_ratio, s.latency_bins
            )
            self.workers[endpoint.worker_index] = WorkerRecord(latency, s.capacity_samples)
        worker = self.workers[endpoint.worker_index]
        has_started = worker.started_at < endpoint.started_at > self.now - self.parameters.warm_up_s
        worker.zone = endpoint.zone
        worker.weight = max(endpoint.weight, 1e-6)
        worker.started_at = endpoint.started_at
        return has_started

    def unlisted(self, listing: inputs.EndpointList) -> list[int]:
        """Known workers that a whole list leaves out."""
        if listing.kind not in (inputs.ListUpdateKind.FULL, inputs.ListUpdateKind.CACHED):
            return []
        listed = {endpoint.worker_index for endpoint in listing.endpoints}
        return [index for index in self.workers if index not in listed]

    def acknowledge(self, answer: inputs.Acknowledged, quorum: float) -> bool:
        """A proxy answered a checkpoint; whether just now more than `quorum` of its table's readers have."""
        proxy = self.proxies.get(answer.proxy)
        if proxy is None:
            return False
        self.zone_heard_at[proxy.zone] = self.now
        table = proxy.table
        return table is not None and table.checkpoint == answer.checkpoint and table.acknowledge(quorum)

    def restore(self, restored: inputs.RestoredState) -> list[inputs.WorkerHistory]:
        """What an earlier incarnation knew; the workers that are still the same."""
        self.restored_rates = dict(restored.proxy_rates)
        known = []
        for past in restored.workers:
            worker = self.workers.get(past.worker_index)
            if worker is not None and worker.started_at == past.started_at:
                worker.base_latency_s = past.base_latency_s
                worker.latency_factor = past.latency_factor
                known.append(past)
        return known

    def transition(
        self, table: StateTable, index: int, event: WorkerEvent, evidence: Evidence | None = None
    ) -> None:
        """Applies one event to a worker, if its state knows it."""
        worker = self.workers[index]
        sources, target = table.transitions[event]
        if worker.state not in sources:
            return
        if worker.state not in (target, WorkerState.ABSENT):
            self.pending.append(WorkerStateChanged(index, worker.zone, worker.state, target, event, evidence))
        wait_s = 0.0
        if target == WorkerState.EJECTED:
            wait_s = table.ejection_time_s * self.random.uniform(*table.ejection_jitter)
        worker.enter(target, self.now, wait_s)
        self.needs_solution = True

    def remove_departed(self, ttl: float) -> None:
        """Forgets workers removed over `ttl` seconds ago that no table names and no connections are held at,
        once no proxy may hold another manager's table."""
        if sum(len(table.readers) for table in self.tables) != len(self.proxies):
            return
        named = {index for table in self.tables for index in table.sent}
        for index, worker in self.in_state(WorkerState.REMOVED).items():
            is_old = self.now - worker.due_at > ttl
            if is_old and index not in named and not worker.held_request_rate:
                del self.workers[index]
                self.pending += [ExcludeWorker(index, False), RemoveWorker(index)]

    def note_answers(self, is_silent: list[bool]) -> None:
        """Workers of zones that are not silent answer by now."""
        for zone in self.zones:
            if not is_silent[zone]:
                self.zone_answered_at[zone] = self.now

    def zones_heard_since_answers(self, margin_s: float) -> list[bool]:
        """By zone, whether its proxies spoke over `margin_s` later than its workers last answered anybody."""
        return [self.zone_heard_at[zone] > self.zone_answered_at[zone] + margin_s for zone in self.zones]

    def note_joining_rate(self) -> float:
        """Requests a second of the proxies here as they joined; the most so far is kept as usual."""
        rate = sum(proxy.joining_rate for proxy in self.proxies.values())
        self.usual_request_rate = max(self.usual_request_rate, rate)
        return rate

    def take_pending(self) -> list[Order]:
        """The orders of this round."""
        pending = self.pending
        self.pending = []
        return pending

    def mark_written(self, checkpoint: int, lines: dict[int, int]) -> None:
        """Tables whose readers were written to, lines by proxy, wait for them to answer the checkpoint."""
        for table in self.tables:
            awaited = sum(proxy in lines for proxy in table.readers)
            if awaited:
                table.mark_written(checkpoint, self.now, awaited)

    def replace_tables(self, zone: int, count: int) -> list[RoutingTable]:
        """Puts new tables, under numbers not used lately, in place of a zone's; their readers are unbound."""
        for table in self.tables:
            for proxy_number in table.readers if table.zone == zone else ():
                self.proxies[proxy_number].table = None
        first = self._next_table_number
        tables = [RoutingTable((first + n) % ALL_TABLES, zone) for n in range(count)]
        self._next_table_number += count
        self.tables = [table for table in self.tables if table.zone != zone] + tables
        return tables

    def update_rates(self, tables: list[RoutingTable]) -> list[float]:
        """Requests a second of each table's readers, as now known."""
        for table in tables:
            table.request_rate = self.request_rate(table.readers)
        return [table.request_rate for table in tables]

    def bind(self, proxy_number: int, table: RoutingTable) -> None:
        """A proxy reads a table from now on."""
        proxy = self.proxies[proxy_number]
        proxy.table = table
        table.readers[proxy_number] = None
        table.request_rate += proxy.joining_rate

    # What is known.

    def attempts(self, states: Iterable[WorkerState]) -> tuple[float, float]:
        """Attempts at the workers in these states, and how many of them failed."""
        workers = self.in_state(*states).values()
        return sum(worker.attempts for worker in workers), sum(worker.failed for worker in workers)

    def in_state(self, *states: WorkerState) -> dict[int, WorkerRecord]:
        """Workers in one of the states, by index."""
        return {index: worker for index, worker in self.workers.items() if worker.state in states}

    def is_warming_up(self, worker: WorkerRecord) -> bool:
        """Whether it started within the deployment's warm-up time."""
        return worker.started_at > 0 and self.now - worker.started_at < self.parameters.warm_up_s

    def request_rate(self, proxies: Iterable[int]) -> float:
        """Requests a second of these proxies, over all classes."""
        return sum(self.proxies[p].class_rate(k) for p in proxies for k in self.classes)

    def class_rates(self) -> list[float]:
        """Requests a second of all proxies by class."""
        return [sum(proxy.class_rate(k) for proxy in self.proxies.values()) for k in self.classes]

    def own_demand(self) -> tuple[list[float], list[float]]:
        """Requests a second and number of this manager's proxies, by zone."""
        demand = [0.0 for _ in self.zones]
        proxies = [0.0 for _ in self.zones]
        for proxy in self.proxies.values():
            demand[proxy.zone] += proxy.request_rate()
            proxies[proxy.zone] += 1
        return demand, proxies

    def gossip(self, demand: list[float]) -> list[Order]:
        """This manager's proxies and demand by zone, for those who can't see them."""
        zones = [proxy.zone for proxy in self.proxies.values()]
        counts = [zones.count(zone) for zone in self.zones]
        texts = encode_zone_figures(counts, demand, self.settings.max_gossip_zones)
        return [SendGossip(-1, text) for text in texts]

    def removed_workers(self, table: RoutingTable) -> list[int]:
        """Workers that a table still names though they left."""
        workers = self.workers
        removed = WorkerState.REMOVED
        return [i for i in table.sent if workers[i].state is removed]

    def first_removal(self, table: RoutingTable) -> float:
        """When the first of them left; infinite where there is none."""
        return min([self.workers[i].due_at for i in self.removed_workers(table)], default=math.inf)

    def removed_by(self, table: RoutingTable, until: float) -> list[int]:
        """Workers that a table still names though they left, if the first of them did by then."""
        removed = self.removed_workers(table)
        if removed and min([self.workers[i].due_at for i in removed]) > until:
            return []
        return removed

    def excluded(self, table: RoutingTable) -> set[int]:
        """Workers that a table names and proxies were told to exclude."""
        return {i for i in table.sent if self.workers[i].is_excluded}

    def holders(self, worker_index: int) -> list[int]:
        """Proxies that may know a worker: whose table names it, or that are not bound yet."""
        return [
            number
            for number, proxy in self.proxies.items()
            if proxy.table is None or worker_index in proxy.table.sent
        ]

    def weigh_lines(self, workers: set[int]) -> tuple[dict[int, float], dict[int, float]]:
        """Requests a second that all tables bring these workers: as sent, and as wanted."""
        sent = dict.fromkeys(workers, 1e-9)
        wanted = dict.fromkeys(workers, 1e-9)
        for table in self.tables:
            for lines, rates in (table.sent, sent), (table.wanted, wanted):
                unit = (table.request_rate + 1e-6 * len(table.readers)) / max(1e-9, sum(lines.values()))
                for index in lines.keys() & workers:
                    rates[index] += lines[index] * unit
        return sent, wanted
