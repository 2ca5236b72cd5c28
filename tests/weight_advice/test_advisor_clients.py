"""A manager that follows advisors: valid, outdated and invalid advice, and advice against discovery."""

from __future__ import annotations

import time
import unittest
from dataclasses import dataclass

from cottonladder.planning import advice_weighting
from cottonladder.testbed.advisors import AdvisorMode, DfpAdvisor, SaspAdvisor, WeightFunction
from cottonladder.weight_advice import sasp
from tests.weight_advice.manager_case import (
    TABLE_TIMEOUT_S,
    WORKER_ADDRESS,
    ManagerTestCase,
    OperatorEntry,
    dfp_hosts,
)

WORKER_IDS = {"s-1", "s-2", "s-3", "s-4"}
# Time for the routing table to reach the proxies after the advice has become too old to count.
FADE_MARGIN_S = 12.0
# Ages of weights that replace those of the manager, so that the test takes less time.
SHORT_FRESH_AGE_S = 2.0
SHORT_MAX_WEIGHT_AGE_S = 6.0
NO_HEADER = "no SASP header: expected component type 0x2010 with length 13, got bytes"
SHORT_WEIGHT_AGES = {
    f"{advice_weighting.__name__}.FRESH_AGE_S": SHORT_FRESH_AGE_S,
    f"{advice_weighting.__name__}.MAX_WEIGHT_AGE_S": SHORT_MAX_WEIGHT_AGE_S,
}


@dataclass
class Advisor:
    """A running advisor, and the entry of the operators' file that makes a manager follow it."""

    service: SaspAdvisor
    follow: OperatorEntry


def first_to_last_ratio(table: dict[str, float]) -> float:
    """Returns the weight of the first worker divided by that of the last; 0 if either has none."""
    if not table.get("s-4"):
        return 0.0
    return table.get("s-1", 0.0) / table["s-4"]


class SaspClientTest(ManagerTestCase):
    async def start_advisor(self, weight_of: WeightFunction) -> Advisor:
        service = SaspAdvisor(weight_of)
        address = await service.start()
        self.addAsyncCleanup(service.close)
        return Advisor(service, {"protocol": "sasp", "at": address})

    async def test_advice_changes_weights_until_it_is_outdated(self) -> None:
        def weight_of(member: sasp.MemberData) -> int:
            return 100 if member.label in (b"s-1", b"s-2") else 10

        advisor = await self.start_advisor(weight_of)
        manager = await self.start_manager(follow=[advisor.follow], constants=SHORT_WEIGHT_AGES)
        proxy = await self.connect_proxy(manager)
        table: dict[str, float] = {}
        await self.apply_orders(proxy, table, lambda: first_to_last_ratio(table) > 1.5)
        self.assertEqual(set(table), WORKER_IDS)
        advisor.service.mode = AdvisorMode.PARTIAL_MESSAGE
        stalled_at = time.monotonic()
        await self.apply_orders(proxy, table, lambda: first_to_last_ratio(table) < 1.15)
        self.assertLess(time.monotonic() - stalled_at, SHORT_MAX_WEIGHT_AGE_S + FADE_MARGIN_S)
        self.assertEqual(set(table), WORKER_IDS)

    async def test_advice_does_not_undo_a_drain_and_members_are_those_of_the_endpoint_list(self) -> None:
        def weight_of(member: sasp.MemberData) -> int:
            return 65535 if member.label == b"s-1" else 1

        advisor = await self.start_advisor(weight_of)
        manager = await self.start_manager(follow=[advisor.follow])
        proxy = await self.connect_proxy(manager)
        table: dict[str, float] = {}
        await self.apply_orders(proxy, table, lambda: first_to_last_ratio(table) > 1.3)
        await self.discovery.set_state("s-1", "Terminating")
        await self.apply_orders(proxy, table, lambda: "s-1" not in table)
        await self.discovery.put("s-1", f"{WORKER_ADDRESS}:8001", "a", "Gone")
        await self.discovery.put("s-5", f"{WORKER_ADDRESS}:8005", "a")
        await advisor.service.wait_until(
            lambda: b"s-5" in {member.label for member in advisor.service.members}
        )
        self.assertNotIn("s-1", table)

    async def test_invalid_or_truncated_advice_closes_only_its_connection(self) -> None:
        advisor = await self.start_advisor(lambda _: 10)
        manager = await self.start_manager(follow=[advisor.follow])
        await manager.wait_for_log("advisor_connected")
        advisor.service.mode = AdvisorMode.INVALID_BYTES
        await manager.wait_for_log("advisor_disconnected", NO_HEADER)
        advisor.service.mode = AdvisorMode.DISCONNECT

        def is_end_of_cut(line: str) -> bool:
            """Returns whether the line reports a close or a reset of a connection."""
            return "advisor_disconnected" in line and "no SASP header" not in line

        await manager.wait_for_log_line(is_end_of_cut, "another reason", timeout_s=TABLE_TIMEOUT_S)
        advisor.service.mode = AdvisorMode.HONEST
        # The manager may have reconnected already, so only messages that it sends from now on count.
        received_count = len(advisor.service.received_types)
        await advisor.service.wait_until(lambda: len(advisor.service.received_types) > received_count)
        proxy = await self.connect_proxy(manager)
        await proxy.receive_until("replace")


class DfpClientTest(ManagerTestCase):
    async def test_hosts_are_matched_by_address_and_the_lowest_weight_counts(self) -> None:
        agent = DfpAdvisor(dfp_hosts)
        follow = {"protocol": "dfp", "at": await agent.start()}
        self.addAsyncCleanup(agent.close)
        manager = await self.start_manager(follow=[follow])
        proxy = await self.connect_proxy(manager)
        table: dict[str, float] = {}
        await self.apply_orders(proxy, table, lambda: first_to_last_ratio(table) > 1.5)
        self.assertIsNotNone(agent.keep_alive_s)
        await manager.wait_for_log("event=advisor_status", "weight_count=", "unmatched_count=")


if __name__ == "__main__":
    unittest.main()
