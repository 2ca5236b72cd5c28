"""The defaults of the operators' file equal those of the subsystems that they configure."""

from __future__ import annotations

import unittest

import msgspec

from cottonladder.config import defaults
from cottonladder.config.operator_config import ForwarderConfig, LimitsConfig, UpgradesConfig
from cottonladder.policy.report_plausibility import MAX_REQUEST_RATE


class OperatorDefaultsTests(unittest.TestCase):
    def test_a_forwarder_without_limits_has_the_default_limits(self) -> None:
        """The values of the defaults are tested in `tests.forwarder`."""
        section = {
            "node": 1,
            "zone": "a",
            "zones": ["a"],
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "managers": ["127.0.0.1:3"],
            "kinds": [{"name": "lookup"}],
        }
        self.assertEqual(msgspec.convert(section, ForwarderConfig).limits, LimitsConfig())

    def test_each_limit_is_read_from_its_name_in_the_file(self) -> None:
        section = {
            "connections": 1,
            "worker": 2,
            "client": 3,
            "header_bytes": 4,
            "body_bytes": 5,
            "connect_wait": 6.0,
            "first_byte_wait": 7.0,
            "idle_wait": 8.0,
            "pool": 9,
        }
        expected = LimitsConfig(
            connections=1,
            connections_per_worker=2,
            connections_per_client=3,
            header_bytes=4,
            body_bytes=5,
            connect_timeout_s=6.0,
            first_byte_timeout_s=7.0,
            idle_timeout_s=8.0,
            pool_size_per_worker=9,
        )
        self.assertEqual(msgspec.convert(section, LimitsConfig), expected)

    def test_the_maximum_rate_equals_the_limit_of_the_policy(self) -> None:
        self.assertEqual(defaults.MAX_REQUESTS_PER_S, MAX_REQUEST_RATE)

    def test_defaults_of_upgraded_connections(self) -> None:
        upgrades = UpgradesConfig(grace_s=30.0)
        self.assertEqual(upgrades.max_connections_per_worker, 8_000)
        self.assertEqual(upgrades.arrivals_per_s, 50.0)
        self.assertEqual(upgrades.requests_per_s_per_connection, 0.05)


if __name__ == "__main__":
    unittest.main()
