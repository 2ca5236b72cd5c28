"""The defaults of the operators' file equal those of the subsystems that they configure."""

from __future__ import annotations

import unittest

from cottonladder.config import defaults
from cottonladder.config.operator_config import LimitsConfig, UpgradesConfig
from cottonladder.forwarder.operator_settings import resource_limits
from cottonladder.forwarder.resource_limits import ResourceLimits
from cottonladder.policy.report_plausibility import MAX_REQUEST_RATE


class OperatorDefaultsTests(unittest.TestCase):
    def test_limits_of_a_forwarder(self) -> None:
        self.assertEqual(resource_limits(LimitsConfig()), ResourceLimits())

    def test_the_largest_rate_is_what_the_policy_counts(self) -> None:
        self.assertEqual(defaults.MAX_REQUESTS_PER_S, MAX_REQUEST_RATE)

    def test_upgraded_connections(self) -> None:
        upgrades = UpgradesConfig(grace_s=30.0)
        self.assertEqual(upgrades.max_connections_per_worker, 8_000)
        self.assertEqual(upgrades.arrivals_per_s, 50.0)
        self.assertEqual(upgrades.requests_per_s_per_connection, 0.05)


if __name__ == "__main__":
    unittest.main()
