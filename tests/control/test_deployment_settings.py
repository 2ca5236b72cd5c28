"""Values of the deployment's settings, checked on the sockets of a manager process.

The simulator delivers some of what a setting describes by itself; over sockets the manager has to ask for it.
"""

from __future__ import annotations

import asyncio
import time
import unittest
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from cottonladder.config.deployment import DEFAULT_POLL_INTERVAL_S
from cottonladder.config.fields import MS_PER_S
from cottonladder.control.manager import HEALTH_CHECK_PATH, LOAD_CHECK_PATH
from cottonladder.policy.load_shedding import UNLIMITED_RATE
from cottonladder.policy.worker_discovery import RETRY_DELAY_RATIO
from tests.support.gossip_peer import LOOPBACK, GossipPeer, unused_udp_port
from tests.support.http_server import scripted_answer
from tests.support.json_object import JsonObject
from tests.support.manager_program import SETTINGS, ManagerProgram
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import endpoint_entry, endpoint_list
from tests.support.stream_client import StreamClient
from tests.support.timeouts import in_time

FAILED_CALL_COUNT = 2
TIMER_TOLERANCE_S = 0.1


class DiscoverySettingTests(ManagerTestCase):
    """Guards against a manager that never calls discovery and keeps sending proxies to drained workers."""

    async def test_drains_are_learned_if_discovery_is_subscribe(self) -> None:
        await self.check_that_a_drain_is_learned("subscribe")

    async def test_drains_are_learned_if_discovery_is_automatic(self) -> None:
        await self.check_that_a_drain_is_learned("automatic")

    async def check_that_a_drain_is_learned(self, value: str) -> None:
        """Starts a manager with a value of `Discovery`, and waits until a drained worker leaves a table."""
        program = await self.start_serving(settings={"Discovery": value})
        self.assertIn("watch=1&after=41", await in_time(self.discovery.calls.get()))
        await program.wait_for_log("event=endpoint_watch_answered", "version=41")
        proxy = await self.join(program, 3)
        await proxy.receive_until("replace")
        await self.discovery.send_updates(endpoint_list(42, endpoint_entry("s-1", "Terminating")))
        await proxy.receive_until("s-1:0.0")

    async def test_failed_calls_are_spaced_if_the_settings_have_no_poll_interval(self) -> None:
        """Guards against a call at every tick while discovery is down, as no interval means no delay."""
        self.discovery.script = [scripted_answer("", 503)] * FAILED_CALL_COUNT
        rules = {name: value for name, value in SETTINGS["Rules"].items() if name != "AskWithinMs"}
        await self.start_serving(settings={"Discovery": "automatic", "Rules": rules})
        await in_time(self.discovery.calls.get())
        first_call_at = time.monotonic()
        for _ in range(FAILED_CALL_COUNT):
            await in_time(self.discovery.calls.get())
        min_duration_s = FAILED_CALL_COUNT * DEFAULT_POLL_INTERVAL_S * min(RETRY_DELAY_RATIO)
        self.assertGreater(time.monotonic() - first_call_at, min_duration_s - TIMER_TOLERANCE_S)


@dataclass(frozen=True, slots=True)
class Deployment:
    """The values of a deployment's settings that the manager carries out on sockets."""

    discovery: str
    zones: tuple[str, ...]
    class_names: tuple[str, ...]
    admission: str  # the value of ThrottleBy
    strikes: int
    has_health_checks: bool
    has_gossip: bool
    reports_via: str
    report_fields: tuple[str, ...]
    weight_source: str
    selection: str  # the value of LbMethod: how a proxy selects a worker
    joins_by_zone: bool

    def settings(self) -> JsonObject:
        """Returns the settings as in the manager's file; those not listed here are of the test's manager."""
        return {
            "Az": self.zones[-1],  # not the zone of the proxy that is steered
            "Discovery": self.discovery,
            "NInstances": 2,
            "Zones": list(self.zones),
            "Profiles": [{"Name": name, "TargetMs": 1000.0, "Gain": 1.0} for name in self.class_names],
            "FamilyInfo": {
                **SETTINGS["FamilyInfo"],
                "ByZone": self.joins_by_zone,
                "LbMethod": self.selection,
                "Strikes": self.strikes,
                "ThrottleBy": self.admission,
            },
            "Limits": {"Probing": self.has_health_checks, "Peers": self.has_gossip},
            "Prices": {"CrossZone": 0.02, "Probe": 0.0},
            "Stats": {"Via": self.reports_via, "Fields": list(self.report_fields)},
            "WeightSource": self.weight_source,
        }


# Together, these have each value of the settings that a deployment in use has.
AUTOMATIC_WITH_UTILIZATION = Deployment(
    discovery="automatic", zones=("a", "b", "c"), class_names=("lookup", "order"), admission="rps",
    strikes=0, has_health_checks=False, has_gossip=True, reports_via="answers", report_fields=("util",),
    weight_source="rough", selection="wheel", joins_by_zone=True,
)  # fmt: skip
AUTOMATIC_WITHOUT_REPORTS = Deployment(
    discovery="automatic", zones=("a", "b", "c"), class_names=("lookup", "plan"), admission="none",
    strikes=0, has_health_checks=True, has_gossip=False, reports_via="none", report_fields=(),
    weight_source="rough", selection="wheel", joins_by_zone=True,
)  # fmt: skip
RATIO_WITH_STRIKES = Deployment(
    discovery="subscribe", zones=("a", "b", "c", "d"), class_names=("fetch", "release"), admission="ratio",
    strikes=3, has_health_checks=True, has_gossip=True, reports_via="probe", report_fields=("inflight",),
    weight_source="rough", selection="lottery", joins_by_zone=True,
)  # fmt: skip
RATE_WITH_QUEUES = Deployment(
    discovery="subscribe", zones=("a", "b", "c"), class_names=("read", "ingest"), admission="rps",
    strikes=5, has_health_checks=True, has_gossip=False, reports_via="probe",
    report_fields=("queue", "latency_ms"), weight_source="nominal", selection="wheel", joins_by_zone=False,
)  # fmt: skip
ONE_CLASS_WITH_LIVE_WEIGHTS = Deployment(
    discovery="subscribe", zones=("a", "b"), class_names=("permit",), admission="none", strikes=5,
    has_health_checks=True, has_gossip=True, reports_via="answers", report_fields=("util", "inflight"),
    weight_source="live", selection="lottery", joins_by_zone=False,
)  # fmt: skip
THREE_CLASSES_WITHOUT_CHECKS = Deployment(
    discovery="subscribe", zones=("a", "b", "c"), class_names=("view", "search", "filing"), admission="rps",
    strikes=0, has_health_checks=False, has_gossip=False, reports_via="probe", report_fields=("inflight",),
    weight_source="rough", selection="pair", joins_by_zone=True,
)  # fmt: skip


class DeploymentTests(ManagerTestCase):
    """Guards against a value of the settings that has no effect, or another one, on sockets."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.checked_paths: asyncio.Queue[str] = asyncio.Queue()
        self.worker_address = await self.start_http_server(self.answer_check)

    async def answer_check(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a health check, and records its path."""
        self.checked_paths.put_nowait(request.path)
        metrics = ", ".join(f"{name}=0.5" for name in self.deployment.report_fields)
        return web.Response(text=f"TEXT {metrics}")

    async def test_automatic_discovery_rate_admission_and_utilization_in_answers(self) -> None:
        await self.check_deployment(AUTOMATIC_WITH_UTILIZATION)

    async def test_automatic_discovery_without_admission_and_load_reports(self) -> None:
        await self.check_deployment(AUTOMATIC_WITHOUT_REPORTS)

    async def test_ratio_admission_with_outlier_ejection_by_proxies(self) -> None:
        await self.check_deployment(RATIO_WITH_STRIKES)

    async def test_rate_admission_with_queue_lengths_in_health_checks(self) -> None:
        await self.check_deployment(RATE_WITH_QUEUES)

    async def test_one_class_with_live_weights(self) -> None:
        await self.check_deployment(ONE_CLASS_WITH_LIVE_WEIGHTS)

    async def test_three_classes_with_reports_in_health_checks_that_are_not_allowed(self) -> None:
        await self.check_deployment(THREE_CLASSES_WITHOUT_CHECKS)

    async def check_deployment(self, deployment: Deployment) -> None:
        """Starts a manager of a deployment, and checks what it asks for and what it sends."""
        self.deployment = deployment
        peer = GossipPeer()
        self.addCleanup((await peer.open()).close)
        manager_port = unused_udp_port()
        addresses = [f"{LOOPBACK}:{manager_port}", f"{LOOPBACK}:{peer.port}"]
        gossip = {"peer_listen": addresses[0], "peers": addresses, "peers_all": addresses[1]}
        workers = [self.entry(f"s-{number}") for number in (1, 2, 3)]
        workers += [self.entry(f"s-{zone}", zone=zone) for zone in deployment.zones[1:]]
        program = await self.start_serving(
            settings=deployment.settings(),
            known=endpoint_list(1, *workers, full=True),
            **(gossip if deployment.has_gossip else {}),
        )
        self.assertIn("watch=1&after=1", await in_time(self.discovery.calls.get()))
        proxies = [await self.join_zone(program, node) for node in range(len(deployment.zones))]
        await self.check_admission(proxies[0])
        await self.report_load(program)
        await self.check_list_changes(proxies[0])
        await self.check_health_checks()
        if deployment.has_gossip:
            values = (await in_time(peer.received.get())).split()
            self.assertEqual(len(values), 2 * len(deployment.zones))  # proxies and demand for each zone
        self.assertEqual([line for line in program.lines if "message_rejected" in line], [])

    def entry(self, name: str, state: str = "Ready", zone: str = "a", **fields: Any) -> JsonObject:
        """Returns a worker's entry of an endpoint list."""
        return endpoint_entry(name, state, addr=self.worker_address, zone=zone, **fields)

    async def join_zone(self, program: ManagerProgram, node: int) -> StreamClient:
        """Connects a proxy of the zone with its number, and reads the beginning of its first table."""
        proxy = await self.connect(program)
        proxy.join(node, zone=self.deployment.zones[node])
        await proxy.receive_until("replace")
        return proxy

    async def check_admission(self, proxy: StreamClient) -> None:
        """Checks the admission that follows a proxy's first table, in one line for each class."""
        if self.deployment.admission == "none":
            return  # `check_list_changes` checks that none is sent
        expected = "1.0" if self.deployment.admission == "ratio" else str(UNLIMITED_RATE)
        for name in self.deployment.class_names:
            self.assertIn(f"for {name} gate {expected} again 1", await proxy.receive_until("gate"))

    async def report_load(self, program: ManagerProgram) -> None:
        """Sends a load report with each of the deployment's metrics."""
        collector = await self.connect(program, f"SOURCE locality {self.deployment.zones[0]}")
        metrics = ",".join(f"{name}:0.5" for name in self.deployment.report_fields)
        suffix = f" metrics {metrics}" if metrics else ""
        collector.send(f"LOAD locality a endpoint s-1 total 20 errors 1 rtt 41.7 interval 1000.0{suffix}")

    async def check_list_changes(self, proxy: StreamClient) -> None:
        """Lists two starts and a drain, then another drain, and checks the lines of the tables."""
        started_ms = int(time.time() * MS_PER_S)
        starts = [self.entry(name, started_ms=started_ms) for name in ("s-4", "s-5")]
        await self.discovery.send_updates(endpoint_list(2, self.entry("s-1", "Terminating"), *starts))
        messages = await self.receive_all_until(proxy, "s-1:0.0")
        if not self.deployment.strikes:
            messages += await self.receive_all_until(proxy, "s-4:")
        # Where proxies avoid workers, none that has just started gets a line while as many have not departed.
        self.assertEqual(any("s-4:" in message for message in messages), not self.deployment.strikes)
        await self.discovery.send_updates(endpoint_list(3, self.entry("s-2", "Terminating")))
        messages += await self.receive_all_until(proxy, "s-2:0.0")
        if self.deployment.strikes and not any("s-4:" in message for message in messages):
            messages += await self.receive_all_until(proxy, "s-4:")
        if self.deployment.admission == "none":
            self.assertFalse(any("gate" in message for message in messages))

    async def receive_all_until(self, proxy: StreamClient, text: str) -> list[str]:
        """Returns the messages up to one that contains `text`; acknowledges their checkpoints."""
        messages = [""]
        while text not in messages[-1]:
            messages.append(await proxy.receive())
            if "stamp" in messages[-1]:
                proxy.acknowledge(messages[-1])
        return messages

    async def check_health_checks(self) -> None:
        """Checks the path of the health checks, or that there were none."""
        if not self.deployment.has_health_checks:
            self.assertTrue(self.checked_paths.empty())
            return
        path = HEALTH_CHECK_PATH if self.deployment.reports_via == "none" else LOAD_CHECK_PATH
        self.assertEqual(await in_time(self.checked_paths.get()), path)


if __name__ == "__main__":
    unittest.main()
