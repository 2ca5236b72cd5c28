"""Drains during rolling deploys, under a limit on the messages to each proxy.

Managers are restarted, streams are reset and proxies join at random times.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.testbed.rolling_deploy import RollingDeploy
from cottonladder.testbed.rolling_deploy_records import DeployPlan, DeployResult, StreamReset

PROXY_COUNT = 8
DEPLOY_S = 22.0
times = st.floats(0.0, DEPLOY_S)


@st.composite
def deploy_plans(draw: st.DrawFn, max_messages: st.SearchStrategy[int]) -> DeployPlan:
    """Draws a deploy with up to two restarts of the manager, ten resets and ten joins."""
    resets = draw(st.lists(st.builds(StreamReset, times, st.integers(0, PROXY_COUNT - 1)), max_size=10))
    return DeployPlan(
        max_messages=draw(max_messages),
        proxy_count=PROXY_COUNT,
        drain_interval_s=draw(st.sampled_from((0.25, 0.5, 1.06))),
        restarts_s=tuple(draw(st.lists(times, max_size=2))),
        resets=tuple(resets),
        joins_s=tuple(draw(st.lists(times, max_size=10))),
        seed=draw(st.integers(0, 1 << 16)),
    )


class DrainsWithinMessageLimitTests(unittest.TestCase):
    def check_rules(self, plan: DeployPlan, result: DeployResult) -> None:
        """Checks the limits on messages and on the queue, and that each proxy keeps a worker."""
        if plan.max_messages:
            self.assertLessEqual(result.max_message_count, plan.max_messages)
        self.assertLess(result.longest_queue, plan.max_queued_lines)
        self.assertEqual(result.bare_proxies, set())
        self.assertEqual(result.budget_faults, [])

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(deploy_plans(st.sampled_from((0, 12, 30))))
    def test_every_drain_is_notified_in_time(self, plan: DeployPlan) -> None:
        """Guards against a drain that waits because no message is left for it (review/4)."""
        result = RollingDeploy(plan).run()
        self.assertEqual(result.late_drains, {})
        self.check_rules(plan, result)

    @settings(max_examples=40, derandomize=True, deadline=None)
    @given(deploy_plans(st.sampled_from((1, 2))))
    def test_few_messages_delay_drains_only_at_proxies_that_have_used_them_up(self, plan: DeployPlan) -> None:
        """A proxy that may not be written to kept others of its table from being notified (review/4)."""
        result = RollingDeploy(plan).run()
        delayed_by_others = [
            late for late in result.late_drains.values() if late.messages_in_window < plan.max_messages
        ]
        self.assertEqual(delayed_by_others, [])
        self.check_rules(plan, result)

    def test_every_drain_is_notified_in_time_while_a_manager_binds_the_proxies_of_two(self) -> None:
        """Guards against binds that fill the channel, without a limit on messages, before a drain."""
        plan = DeployPlan(
            max_messages=0,
            proxy_count=192,
            worker_count=120,
            replaced_count=40,
            drain_interval_s=0.5,
            restarts_s=(10.0,),
            resets=tuple(StreamReset(0.4 * step, 7 * step % 192) for step in range(50)),
            joins_s=tuple(8.0 + 0.1 * step for step in range(40)),
            seed=3,
        )
        self.assertEqual(RollingDeploy(plan).run().late_drains, {})

    def test_every_drain_is_notified_in_time_after_a_restart_with_twelve_messages(self) -> None:
        """Guards against messages that are spent on changes that could have waited (review/4)."""
        for seed in range(40):
            with self.subTest(seed=seed):
                plan = DeployPlan(max_messages=12, restarts_s=(10.0,), seed=seed)
                self.assertEqual(RollingDeploy(plan).run().late_drains, {})


if __name__ == "__main__":
    unittest.main()
