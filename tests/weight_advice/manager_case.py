"""Base class of tests with a manager that serves or follows weight advice, on loopback."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections.abc import Callable, Mapping
from ipaddress import IPv4Address
from typing import Any

from cottonladder.testbed.balancers import SaspBalancer
from cottonladder.testbed.discovery import SimulatedDiscovery
from cottonladder.testbed.fleet import ManagerProcess
from cottonladder.testbed.steered_proxy import apply_config
from cottonladder.weight_advice import dfp, sasp
from tests.support import program_with_constants
from tests.support.stream_client import StreamClient

EVENT_TIMEOUT_S = 20.0
TABLE_TIMEOUT_S = 60.0
WORKER_ADDRESS = IPv4Address("127.0.0.9")
WORKER_COUNT = 4
OperatorEntry = dict[str, Any]


def member(label: str, port: int = 80) -> sasp.MemberData:
    """Returns a member at the workers' address."""
    return sasp.MemberData(6, port, WORKER_ADDRESS, label.encode())


def dfp_hosts() -> dict[int, tuple[dfp.HostPreference, ...]]:
    """Returns weights by port: two workers have weights for two BindIDs, and one host is not a worker."""
    unknown_host = dfp.HostPreference(WORKER_ADDRESS + 68, 0, 50)  # 127.0.0.77
    return {
        8001: (dfp.HostPreference(WORKER_ADDRESS, 0, 100), dfp.HostPreference(WORKER_ADDRESS, 3, 90)),
        8002: (dfp.HostPreference(WORKER_ADDRESS, 0, 100),),
        8003: (dfp.HostPreference(WORKER_ADDRESS, 0, 10), unknown_host),
        8004: (dfp.HostPreference(WORKER_ADDRESS, 0, 100), dfp.HostPreference(WORKER_ADDRESS, 1, 10)),
    }


class ManagerTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class with simulated discovery of four workers, and managers that are stopped after the test."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.discovery = SimulatedDiscovery()
        self.discovery_address = await self.discovery.start()
        self.addAsyncCleanup(self.discovery.close)
        for n in range(1, WORKER_COUNT + 1):
            await self.discovery.put(f"s-{n}", f"{WORKER_ADDRESS}:{8000 + n}", "a")

    async def start_manager(
        self,
        *serve: OperatorEntry,
        follow: list[OperatorEntry] | None = None,
        constants: Mapping[str, float] | None = None,
        **settings: Any,
    ) -> ManagerProcess:
        """Starts a manager with these entries of the operators' file, settings and module constants."""
        servers = [{"listen": "127.0.0.1:0", **part} for part in serve]
        advice = {"serve": servers, "follow": follow or []}
        manager = ManagerProcess(
            self.discovery_address, self.discovery.endpoint_list(), None, advice, **settings
        )
        if constants:
            program_with_constants.run_with(manager, constants)
        await manager.start_serving()
        self.addAsyncCleanup(manager.stop)
        return manager

    async def advice_port(self, manager: ManagerProcess, protocol: str) -> int:
        """Returns the port on which a manager serves advice over a protocol."""
        return int((await manager.wait_for_log("advice_server_started", protocol)).split("port=")[1])

    async def connect_balancer(self, port: int, uid: bytes = b"lb-1", **options: object) -> SaspBalancer:
        """Connects a load balancer, which is disconnected after the test."""
        balancer = SaspBalancer(uid)
        await balancer.connect(port, **options)
        self.addAsyncCleanup(balancer.close)
        return balancer

    async def connect_proxy(self, manager: ManagerProcess) -> StreamClient:
        """Connects a proxy that subscribes to the manager's orders."""
        proxy = StreamClient(*await asyncio.open_connection("127.0.0.1", manager.port))
        self.addCleanup(proxy.close)
        proxy.join(1)
        return proxy

    async def apply_orders(
        self, proxy: StreamClient, table: dict[str, float], predicate: Callable[[], bool]
    ) -> None:
        """Applies orders to a routing table until a condition is true; fails if the table becomes empty."""
        end = time.monotonic() + TABLE_TIMEOUT_S
        while not predicate():
            message = await proxy.receive()
            self.assertLess(time.monotonic(), end, table)
            apply_config(table, message)
            self.assertTrue(table)
            if "stamp" in message:
                proxy.acknowledge(message)
