"""The defaults of the operators' file are those of the parts that they are for."""

from __future__ import annotations

import unittest

from cottonladder.config import defaults
from cottonladder.config.operator_config import LimitsConfig, UpgradesConfig
from cottonladder.forwarder.operator_settings import resource_limits
from cottonladder.forwarder.resource_limits import ResourceLimits
from cottonladder.policy.report_plausibility import MAX_REQUEST_RATE


class Defaults(unittest.TestCase):
    def test_a_forwarders_limits_are_its_own(self) -> None:
        self.assertEqual(resource_limits(LimitsConfig()), ResourceLimits())

    def test_no_rate_is_stated_over_what_the_policy_counts(self) -> None:
        self.assertEqual(defaults.MAX_REQUESTS_PER_S, MAX_REQUEST_RATE)

    def test_held_connections(self) -> None:
        upgrades = UpgradesConfig(grace=30.0)
        self.assertEqual((upgrades.most, upgrades.arrivals, upgrades.load), (8_000, 50.0, 0.05))
