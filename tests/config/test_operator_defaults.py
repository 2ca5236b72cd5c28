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
        upgrades = UpgradesConfig(grace=30.0)
        self.assertEqual(upgrades.most, 8_000)
        self.assertEqual(upgrades.arrivals, 50.0)
        self.assertEqual(upgrades.load, 0.05)


if __name__ == "__main__":
    unittest.main()
