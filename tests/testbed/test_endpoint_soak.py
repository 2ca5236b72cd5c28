"""Short, seeded soaks of the endpoint list; long ones are started by hand (`benchmarks.endpoint_soak`)."""

from __future__ import annotations

import asyncio
import unittest

from cottonladder.testbed.endpoint_soak import EndpointSoak, SoakCounts

DURATION_S = 40.0
MIN_REPLACED_WORKERS = 20  # with the longest interval between two replacements, 1.5 s
AUTOMATIC_SEED = 1
SUBSCRIBE_SEED = 2


class EndpointSoakTests(unittest.IsolatedAsyncioTestCase):
    async def test_drains_are_kept_and_successors_used_while_discovery_fails_and_managers_restart(
        self,
    ) -> None:
        """Guards against changes of the list that a manager never learns of, or learns of too late."""
        automatic, subscribe = await asyncio.gather(
            EndpointSoak(AUTOMATIC_SEED, "automatic").run(DURATION_S),
            EndpointSoak(SUBSCRIBE_SEED, "subscribe").run(DURATION_S),
        )
        self.check("automatic", automatic)
        self.check("subscribe", subscribe)

    def check(self, discovery_setting: str, counts: SoakCounts) -> None:
        """Checks the counts of one run."""
        with self.subTest(discovery_setting):
            self.assertGreater(counts.replaced_workers, MIN_REPLACED_WORKERS)
            self.assertGreater(min(counts.outages, counts.resets, counts.restarts), 0, counts)
            self.assertFalse(counts.has_failed, counts)


if __name__ == "__main__":
    unittest.main()
