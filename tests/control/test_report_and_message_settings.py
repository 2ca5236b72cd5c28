"""Settings on load reports and on the number of messages, checked by the tables that a proxy is sent."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import suppress
from functools import partial

from aiohttp import web

from tests.support.http_server import Handler
from tests.support.json_object import JsonObject
from tests.support.manager_program import SETTINGS, ManagerProgram
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import endpoint_entry, endpoint_list
from tests.support.stream_client import StreamClient
from tests.support.table_proxy import TableProxy
from tests.support.timeouts import in_time

LIGHT_LOAD = 1.0  # requests in flight at the lightly loaded workers
HEAVY_LOAD = 60.0  # requests in flight at the loaded worker
REPORT_INTERVAL_S = 0.25
MIN_WEIGHT_RATIO = 1.2  # of the other workers' weights to that of the loaded one
MESSAGE_WINDOW_MS = 10_000.0
DRAINED_WORKERS = [f"s-{number}" for number in range(50)]
REMAINING_WORKER = "s-50"
DRAIN_INTERVAL_S = 0.04
SETTLE_S = 0.5  # time without a message after which no more are due


class LoadReportTests(ManagerTestCase):
    """Guards against load reports that change no weight, in each way in which deployments have them."""

    async def start_fleet(self, loaded_answer: str, answer: str, via: str, field: str) -> ManagerProgram:
        """Starts a manager and four workers, of which s-0 answers health checks with another load."""
        entries = []
        for number in range(4):
            handler = answer_check(answer if number else loaded_answer)
            address = await self.start_http_server(handler)
            entries.append(endpoint_entry(f"s-{number}", addr=address))
        settings: JsonObject = {
            # Queues count for the weights only where proxies do not eject workers.
            "FamilyInfo": {**SETTINGS["FamilyInfo"], "Strikes": 0},
            "Limits": {"Probing": via == "probe", "Peers": False},
            "Prices": {"CrossZone": 0.02, "Probe": 0.0},
            "Stats": {"Via": via, "Fields": [field]},
        }
        return await self.start_serving(settings=settings, known=endpoint_list(1, *entries, full=True))

    async def follow_until_weight_falls(self, program: ManagerProgram) -> None:
        """Connects a proxy, and waits until the loaded worker has the lowest weight."""
        proxy = TableProxy(await self.join(program, 3))

        def has_fallen() -> bool:
            others = [weight for worker, weight in proxy.table.items() if worker != "s-0"]
            return bool(others) and min(others) > MIN_WEIGHT_RATIO * proxy.table.get("s-0", 0.0)

        await in_time(proxy.follow(has_fallen))

    async def test_requests_in_flight_in_health_checks_lower_a_weight(self) -> None:
        program = await self.start_fleet(
            f"TEXT inflight={HEAVY_LOAD}", f"TEXT inflight={LIGHT_LOAD}", "probe", "inflight"
        )
        await self.follow_until_weight_falls(program)

    async def test_queue_lengths_in_health_checks_lower_a_weight(self) -> None:
        program = await self.start_fleet(
            f"TEXT queue={HEAVY_LOAD}, latency_ms=40.0",
            f"TEXT queue={LIGHT_LOAD}, latency_ms=40.0",
            "probe",
            "queue",
        )
        await self.follow_until_weight_falls(program)

    async def test_utilization_in_load_reports_lowers_a_weight(self) -> None:
        program = await self.start_fleet("", "", "answers", "util")
        collector = await self.connect(program, "SOURCE locality a")
        reporting = asyncio.create_task(report_utilization(collector))
        try:
            await self.follow_until_weight_falls(program)
        finally:
            reporting.cancel()
            await asyncio.gather(reporting, return_exceptions=True)

    async def test_a_live_weight_that_the_list_changes_lowers_a_weight(self) -> None:
        names = [f"s-{number}" for number in range(4)]
        known = endpoint_list(1, *map(endpoint_entry, names), full=True)
        program = await self.start_serving(settings={"WeightSource": "live"}, known=known)
        await self.discovery.send_updates(endpoint_list(2, endpoint_entry("s-0", weight=0.4)))
        await self.follow_until_weight_falls(program)


class MessageLimitTests(ManagerTestCase):
    """Guards against more messages to a proxy in a window than `ReloadsMax` allows, while workers drain."""

    async def test_a_drain_of_many_workers_keeps_a_limit_of_12_messages(self) -> None:
        await self.check_limit(12)

    async def test_a_drain_of_many_workers_keeps_a_limit_of_30_messages(self) -> None:
        await self.check_limit(30)

    async def test_without_a_limit_each_of_many_drains_is_sent(self) -> None:
        proxy = await self.start_proxy(limit=0)
        for number, name in enumerate(DRAINED_WORKERS):
            await self.list_as_draining(number)
            await in_time(proxy.follow(partial(proxy.lacks, name)))
        self.assertGreaterEqual(proxy.message_count, len(DRAINED_WORKERS))

    async def check_limit(self, limit: int) -> None:
        """Drains workers one after another, and checks the number of messages once all have left."""
        proxy = await self.start_proxy(limit)
        draining = asyncio.create_task(self.drain_all())
        await in_time(proxy.follow(lambda: set(proxy.table) == {REMAINING_WORKER}))
        await draining
        with suppress(TimeoutError):
            await asyncio.wait_for(proxy.follow(lambda: False), SETTLE_S)
        self.assertLessEqual(proxy.message_count, limit)

    async def start_proxy(self, limit: int) -> TableProxy:
        """Starts a manager with a limit on messages, and a proxy that has its first table."""
        names = [*DRAINED_WORKERS, REMAINING_WORKER]
        family = {**SETTINGS["FamilyInfo"], "ReloadsMax": limit, "ReloadSpanMs": MESSAGE_WINDOW_MS}
        program = await self.start_serving(
            settings={"FamilyInfo": family, "Rules": {**SETTINGS["Rules"], "DrainGraceMs": 1500.0}},
            known=endpoint_list(1, *map(endpoint_entry, names), full=True),
        )
        proxy = TableProxy(await self.join(program, 3))
        await in_time(proxy.follow(lambda: set(proxy.table) == set(names)))
        return proxy

    async def drain_all(self) -> None:
        """Lists each worker as draining, one after another."""
        for number in range(len(DRAINED_WORKERS)):
            await self.list_as_draining(number)
            await asyncio.sleep(DRAIN_INTERVAL_S)

    async def list_as_draining(self, number: int) -> None:
        """Sends an update with one more draining worker."""
        entry = endpoint_entry(DRAINED_WORKERS[number], "Terminating")
        await self.discovery.send_updates(endpoint_list(number + 2, entry))


def answer_check(text: str) -> Handler:
    """Returns a handler that answers health checks with a text."""

    async def handle(_request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(text=text)

    return handle


async def report_utilization(collector: StreamClient) -> None:
    """Reports the same attempts at each worker, of which s-0 is fully utilized, until it is cancelled."""
    while True:
        for number in range(4):
            utilization = 0.2 if number else 1.0
            collector.send(
                f"LOAD locality a endpoint s-{number} total 20 errors 0 rtt 40.0"
                f" interval {REPORT_INTERVAL_S * 1000.0} metrics util:{utilization}"
            )
        await asyncio.sleep(REPORT_INTERVAL_S)


if __name__ == "__main__":
    unittest.main()
