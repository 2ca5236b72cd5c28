"""Values of the deployment's settings, checked on the sockets of a manager process.

The simulator delivers some of what a setting describes by itself; over sockets the manager has to ask for it.
"""

from __future__ import annotations

import unittest

from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import endpoint_entry, endpoint_list
from tests.support.timeouts import in_time


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


if __name__ == "__main__":
    unittest.main()
