"""Values of the deployment's settings, checked on the sockets of a manager process.

The simulator delivers some of what a setting describes by itself; over sockets the manager has to ask for it.
"""

from __future__ import annotations

import time
import unittest

from cottonladder.config.deployment import DEFAULT_POLL_INTERVAL_S
from cottonladder.policy.worker_discovery import RETRY_DELAY_RATIO
from tests.support.http_server import scripted_answer
from tests.support.manager_program import SETTINGS
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import endpoint_entry, endpoint_list
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


if __name__ == "__main__":
    unittest.main()
