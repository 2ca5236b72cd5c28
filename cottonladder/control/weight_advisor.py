"""Control-loop extension for weight advice: advertises weights to load balancers, and follows advisors.

`planning.advice_weighting` decides how much the weights of an advisor count, `planning.advertised_weights`
which weights are sent to load balancers.
"""

from __future__ import annotations

import random
import time
from collections.abc import Iterable, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass

import structlog

from ..config.operator_config import AdviceConfig, parse_configured_address
from ..model.inputs import NEUTRAL_FACTOR, AdviceSource, AdvisedFactor, EndpointList, Input
from ..model.views import WorkerCapacityView
from ..planning.advice_weighting import DEFAULT_TRUST, UPDATE_INTERVAL_S, AdviceWeighting, AdvisoryWeight
from ..planning.controller_views import capacity_views
from ..policy.controller import RoutingController
from ..state.worker_registry import WorkerRegistry
from ..weight_advice.advertised_workers import AdvertisedWorkers
from ..weight_advice.client import AdviceListener, AdvisorClient, ReportedWeight
from ..weight_advice.server import AdviceServer
from ..weight_advice.worker_locations import worker_locations
from .advice_connections import create_advice_server, create_advisor_client
from .input_queue import LoopInput

STATUS_LOG_INTERVAL_S = 30.0
MAX_LOGGED_AGE_S = 1e6  # logged in place of the infinite age of an advisor that has sent no weight


@dataclass(frozen=True, slots=True)
class _WeightReport:
    """Weights received from one advisor; with `is_complete` they replace all its earlier weights."""

    advisor: str
    weights: list[ReportedWeight]
    is_complete: bool


class WeightAdvisor(AdviceListener):
    """Extension with the advice servers and the clients of external advisors.

    Received weights are queued for the next step of the control loop.
    """

    def __init__(self, config: AdviceConfig, workers: WorkerRegistry) -> None:
        self._config = config
        self._workers = workers
        self._advertised = AdvertisedWorkers()
        self._weighting = AdviceWeighting()
        self._servers: list[AdviceServer] = []
        self._clients: list[AdvisorClient] = []  # two of them may follow the same advisor
        self._trust_by_advisor: dict[str, float] = {}
        self._reports: list[_WeightReport] = []  # received since the last step
        self._connected_advisors: list[str] = []  # since the last step
        self._next_update_at = 0.0
        self._status_logged_at = 0.0
        self._has_list_changed = False  # since the last update of the advertised workers
        self._factors: dict[int, float] = {}  # by worker, as last passed to the policy
        self._capacities: dict[int, WorkerCapacityView] = {}  # by worker
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    @property
    def weighting(self) -> AdviceWeighting:
        """The weighting of the advisors, whose credits are stored in snapshots."""
        return self._weighting

    async def start(self, stack: AsyncExitStack) -> None:
        """Starts the servers and the clients; `stack` closes them."""
        for number, server_config in enumerate(self._config.serve):
            server = create_advice_server(server_config, self._advertised, f"$.advice.serve[{number}]")
            host, port = parse_configured_address(server_config.listen)
            bound_port = await server.listen((host, port), stack)
            self._servers.append(server)
            self.log.info(
                "advice_server_started", protocol=server_config.protocol, host=host, port=bound_port
            )
        uniform = random.Random(time.time_ns()).random
        for number, follow_config in enumerate(self._config.follow):
            client = create_advisor_client(follow_config, self, uniform, f"$.advice.follow[{number}]")
            self._trust_by_advisor[client.name] = follow_config.trust
            self._clients.append(client)
            stack.push_async_callback(client.close)
            client.start()

    def advisor_connected(self, advisor: str) -> None:
        """Queues the connection of a client to its advisor for the next step."""
        self._connected_advisors.append(advisor)

    def weights_received(self, advisor: str, weights: Iterable[ReportedWeight], is_complete: bool) -> None:
        """Queues the weights that a client has received from its advisor for the next step."""
        self._reports.append(_WeightReport(advisor, list(weights), is_complete))

    def observe(self, _now: float, item: LoopInput) -> None:
        """Records a change of the endpoint list, so that a draining worker is advertised immediately."""
        if isinstance(item, EndpointList):
            self._has_list_changed = True

    def collect_inputs(self, now: float) -> list[Input]:
        """Applies queued events; returns the changed capacity factors once per `UPDATE_INTERVAL_S`."""
        self._apply_connections()
        self._apply_reports(now)
        if now < self._next_update_at:
            return []
        return list(self._changed_factors(now))

    def collect_messages(self, now: float, controller: RoutingController) -> Iterator[tuple[int, bytes]]:
        """Yields no messages; updates what servers advertise and which workers clients register."""
        is_update_due = now >= self._next_update_at
        if is_update_due or self._has_list_changed:
            self._has_list_changed = False
            self._update_advertised(controller)
        if is_update_due:
            self._next_update_at = now + UPDATE_INTERVAL_S
            for client in self._clients:
                client.poll()
            self._log_status_if_due(now)
        yield from ()

    def _apply_connections(self) -> None:
        for advisor in self._connected_advisors:
            trust = self._trust_by_advisor.get(advisor, DEFAULT_TRUST)
            self._weighting.set_trust(advisor, trust)
        self._connected_advisors.clear()

    def _apply_reports(self, now: float) -> None:
        for report in self._reports:
            weights = _lowest_by_worker(report.weights)
            self._weighting.update_weights(report.advisor, now, weights, report.is_complete)
        self._reports.clear()

    def _changed_factors(self, now: float) -> Iterator[AdvisedFactor]:
        factors: dict[int, float] = {}
        if self._clients:
            factors = self._weighting.update_factors(now, self._capacities)
        previous = self._factors
        self._factors = factors
        for worker_index in previous.keys() - factors.keys():
            yield AdvisedFactor(worker_index, NEUTRAL_FACTOR, AdviceSource.ADVISORS)
        for worker_index, factor in factors.items():
            if previous.get(worker_index) != factor:
                yield AdvisedFactor(worker_index, factor, AdviceSource.ADVISORS)

    def _update_advertised(self, controller: RoutingController) -> None:
        self._capacities = capacity_views(controller)
        locations = worker_locations(self._workers.ids, self._workers.address_of)
        self._advertised.update(self._capacities, locations)
        for server in self._servers:
            server.push_due_weights_to_all()
        for client in self._clients:
            client.update_locations(locations)

    def _log_status_if_due(self, now: float) -> None:
        if now - self._status_logged_at < STATUS_LOG_INTERVAL_S:
            return
        self._status_logged_at = now
        for advisor, status in self._weighting.status(now).items():
            client = next((client for client in self._clients if client.name == advisor), None)
            self.log.info(
                "advisor_status",
                advisor=advisor,
                credit=round(status.credit, 3),
                weight_count=status.weight_count,
                unmatched_count=client.unmatched_count if client is not None else 0,
                age_s=round(min(status.age_s, MAX_LOGGED_AGE_S), 1),
            )
        for server in self._servers:
            for row in server.status():
                self.log.info("balancer_status", **row)


def _lowest_by_worker(reported: Iterable[ReportedWeight]) -> dict[int, AdvisoryWeight]:
    """Returns one weight per worker: the lowest, if several members of the advisor match the worker.

    A weight that is not usable replaces the weights before it, even if they are lower.
    """
    weights: dict[int, AdvisoryWeight] = {}
    for report in reported:
        if report.worker_index is None:
            continue
        weight = AdvisoryWeight(float(report.weight), report.is_usable)
        lowest = weights.get(report.worker_index)
        if lowest is None or weight.weight < lowest.weight or not weight.is_usable:
            weights[report.worker_index] = weight
    return weights
