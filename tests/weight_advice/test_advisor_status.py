"""The logged status of an advisor, with times that the test passes in place of a clock."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Iterable
from contextlib import AsyncExitStack

from structlog.testing import capture_logs

from cottonladder.config.operator_config import AdviceConfig, AdvisorFollowConfig
from cottonladder.control.weight_advisor import STATUS_LOG_INTERVAL_S, WeightAdvisor
from cottonladder.model.inputs import Endpoint, EndpointList, EndpointState, ListUpdateKind
from cottonladder.policy.controller import RoutingController
from cottonladder.state.worker_registry import WorkerRegistry
from cottonladder.testbed import month_end
from cottonladder.testbed.advisors import DfpAdvisor
from cottonladder.weight_advice.client import ReportedWeight
from tests.weight_advice.manager_case import EVENT_TIMEOUT_S, WORKER_ADDRESS, WORKER_COUNT, dfp_hosts

STARTED_AT_S = 1000.0


class ObservedWeightAdvisor(WeightAdvisor):
    """A weight advisor that sets an event when it receives weights."""

    def __init__(self, config: AdviceConfig, workers: WorkerRegistry) -> None:
        super().__init__(config, workers)
        self.has_received = asyncio.Event()

    def weights_received(self, advisor: str, weights: Iterable[ReportedWeight], is_complete: bool) -> None:
        super().weights_received(advisor, weights, is_complete)
        self.has_received.set()


class AdvisorStatusTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_status_counts_weights_and_unmatched_hosts(self) -> None:
        agent = DfpAdvisor(dfp_hosts)
        address = await agent.start()
        self.addAsyncCleanup(agent.close)
        workers = WorkerRegistry()
        endpoints = []
        for n in range(1, WORKER_COUNT + 1):
            worker_index = workers.register(f"s-{n}", f"{WORKER_ADDRESS}:{8000 + n}", 0.0)
            endpoints.append(Endpoint(worker_index, 0, EndpointState.READY, 1.0, 0.0))
        controller = RoutingController(month_end.PARAMETERS)
        controller.decide_orders(STARTED_AT_S, [EndpointList(ListUpdateKind.FULL, tuple(endpoints))])
        config = AdviceConfig(follow=[AdvisorFollowConfig(protocol="dfp", address=address)])
        advisor = ObservedWeightAdvisor(config, workers)
        async with AsyncExitStack() as stack:
            await advisor.start(stack)
            list(advisor.collect_messages(STARTED_AT_S, controller))  # passes the workers to the client
            await asyncio.wait_for(advisor.has_received.wait(), EVENT_TIMEOUT_S)
            now = STARTED_AT_S + STATUS_LOG_INTERVAL_S
            advisor.collect_inputs(now)
            with capture_logs() as lines:
                list(advisor.collect_messages(now, controller))
        (status,) = [line for line in lines if line["event"] == "advisor_status"]
        self.assertEqual((status["advisor"], status["weight_count"]), (address, 4))
        self.assertEqual(status["unmatched_count"], 1)


if __name__ == "__main__":
    unittest.main()
