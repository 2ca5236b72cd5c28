"""Weight advice beside the ladder: servers that tell outside balancers, followers that hear outside advisors.

Runs in the owner's task; what words are worth is decided in `decisions.advice`, what is told in
`decisions.offers`."""

from __future__ import annotations

import random
import time
from collections.abc import Iterable, Iterator
from contextlib import AsyncExitStack
from pathlib import Path

import structlog

from ..config.errors import InputError
from ..config.operator_config import (
    AdviceConfig,
    AdviceServerConfig,
    AdvisorFollowConfig,
    SecretConfig,
    TlsConfig,
    host_port,
)
from ..model.inputs import AdvisedFactor, EndpointList, Input
from ..model.views import WorkerCapacityView
from ..planning.advice_weighting import UPDATE_INTERVAL_S, AdviceWeighting, AdvisoryWeight
from ..planning.controller_views import capacity_views
from ..policy.controller import RoutingController
from ..protocol.messages import ExtensionMessage
from ..state.worker_registry import WorkerRegistry
from ..weight_advice.client import AdviceListener, AdvisorClient, ReportedWeight
from ..weight_advice.dfp_client import DfpAdvisorClient
from ..weight_advice.dfp_server import DfpServer
from ..weight_advice.sasp_client import SaspAdvisorClient
from ..weight_advice.sasp_server import SaspServer
from ..weight_advice.server import AdvertisedWeights, AdviceServer
from ..weight_advice.tls import tls_context
from ..weight_advice.worker_locations import worker_locations

MAX_SECRET_BYTES = 1024  # bytes of a secret's file
LOG_INTERVAL = 30.0  # s between two lines on how advisors stand


def _tls(part: TlsConfig | None, server: bool, where: str) -> object:
    if part is None:
        return None
    try:
        return tls_context(part.certificate, part.key, part.authorities, server)
    except (OSError, ValueError) as exc:
        raise InputError(f"{where}.tls: {exc}") from None


def _secret(part: SecretConfig | None, where: str) -> tuple[int, bytes] | None:
    if part is None:
        return None
    try:
        secret = Path(part.file).read_bytes()[:MAX_SECRET_BYTES].strip()
    except OSError as exc:
        raise InputError(f"{where}.secret: {part.file}: {exc.strerror}") from None
    if not secret:
        raise InputError(f"{where}.secret: {part.file}: empty")
    return part.key, secret


class WeightAdvisor(AdviceListener):
    """Owns the board, the listeners and the followers."""

    def __init__(self, config: AdviceConfig, workers: WorkerRegistry) -> None:
        self._config, self._workers = config, workers
        self._advertised, self._advice = AdvertisedWeights(), AdviceWeighting()
        self._servers: list[AdviceServer] = []
        self._followers: list[AdvisorClient] = []
        self._trust_by_advisor: dict[str, float] = {}
        self._reports: list[tuple[str, list[ReportedWeight], bool]] = []  # heard since the last step
        self._connected_advisors: list[str] = []
        self._next_update_at = self._logged_at = 0.0
        self._list_changed = False  # the list has changed since the board was brought up to date
        self._factors: dict[int, float] = {}
        self._capacity: dict[int, WorkerCapacityView] = {}
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    @property
    def advice(self) -> AdviceWeighting:
        return self._advice

    async def start(self, stack: AsyncExitStack) -> None:
        for n, serving in enumerate(self._config.serve):
            server = self._create_server(serving, f"$.advice.serve[{n}]")
            host, port = host_port(serving.listen)
            bound = await server.listen((host, port), stack)
            self._servers.append(server)
            self.log.info("advice_server_started", protocol=serving.protocol, host=host, port=bound)
        chance = random.Random(time.time_ns())
        for n, following in enumerate(self._config.follow):
            follower = self._create_follower(following, f"$.advice.follow[{n}]", chance)
            self._trust_by_advisor[follower.name] = following.trust
            self._followers.append(follower)
            stack.push_async_callback(follower.close)
            follower.start()

    def _create_server(self, part: AdviceServerConfig, where: str) -> AdviceServer:
        if part.protocol == "sasp":
            return SaspServer(self._advertised, part.clients, _tls(part.tls, True, where))  # type: ignore[arg-type]
        return DfpServer(self._advertised, part.clients, _secret(part.secret, where))

    def _create_follower(self, part: AdvisorFollowConfig, where: str, chance: random.Random) -> AdvisorClient:
        at = host_port(part.at)
        if part.protocol == "sasp":
            tls = _tls(part.tls, False, where)
            return SaspAdvisorClient(at, self, tls, chance.random, part.uid, part.group)  # type: ignore[arg-type]
        return DfpAdvisorClient(at, self, chance.random, _secret(part.secret, where))

    # the followers' listener: kept until the owner's next step

    def advisor_connected(self, advisor: str) -> None:
        self._connected_advisors.append(advisor)

    def weights_received(self, advisor: str, weights: Iterable[ReportedWeight], is_complete: bool) -> None:
        self._reports.append((advisor, list(weights), is_complete))

    # beside the ladder

    def observe(self, now: float, item: Input | ExtensionMessage) -> None:
        """Nothing of what comes to the manager's address is advice; but who leaves is told at once."""
        self._list_changed |= isinstance(item, EndpointList)

    def collect_inputs(self, now: float) -> list[Input]:
        for advisor in self._connected_advisors:
            self._advice.advisor_connected(advisor, self._trust_by_advisor.get(advisor, 1.0))
        self._connected_advisors.clear()
        for advisor, said, whole in self._reports:
            words: dict[int, AdvisoryWeight] = {}
            for s in said:
                if s.worker_index is not None:  # one worker under two identifications: the lower word
                    word = AdvisoryWeight(float(s.weight), s.is_usable)
                    was = words.get(s.worker_index)
                    words[s.worker_index] = (
                        word if was is None or word.weight < was.weight or not word.is_usable else was
                    )
            self._advice.receive(advisor, now, words, whole)
        self._reports.clear()
        if now < self._next_update_at:
            return []
        factors = self._advice.update_factors(now, self._capacity) if self._followers else {}
        changed = dict.fromkeys(self._factors.keys() - factors.keys(), 1.0)
        changed |= {be: factor for be, factor in factors.items() if self._factors.get(be) != factor}
        self._factors = factors
        return [AdvisedFactor(be, factor) for be, factor in changed.items()]

    def collect_messages(self, now: float, controller: RoutingController) -> Iterator[tuple[int, bytes]]:
        """Writes no proxy; the board and the followers' lists are brought up to date once an interval."""
        due = now >= self._next_update_at
        if due or self._list_changed:
            self._list_changed = False
            self._capacity = capacity_views(controller)
            places = worker_locations(self._workers.ids, self._workers.address_of)
            self._advertised.update(self._capacity, places)
            for server in self._servers:
                server.weights_changed()
            for follower in self._followers:
                follower.update(places)
        if due:
            self._next_update_at = now + UPDATE_INTERVAL_S
            for follower in self._followers:
                follower.poll()
            if now - self._logged_at >= LOG_INTERVAL:
                self._logged_at = now
                self._log_state(now)
        yield from ()

    def _log_state(self, now: float) -> None:
        for name, stands in self._advice.status(now).items():
            follower = next((f for f in self._followers if f.name == name), None)
            unmatched = follower.unmatched_count if follower else 0
            self.log.info(
                "advisor_status", advisor=name, credit=round(stands.credit, 3), weights=stands.weight_count,
                unmatched=unmatched, age_s=round(min(stands.age_s, 1e6), 1),
            )  # fmt: skip
        for server in self._servers:
            for row in server.status():
                self.log.info("balancer_status", **row)
