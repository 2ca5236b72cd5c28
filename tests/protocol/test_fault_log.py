"""Rate limiting of logged faults: one line for each summary, however the received values vary."""

from __future__ import annotations

import unittest

from structlog.testing import capture_logs

from cottonladder.config.deployment import read_settings
from cottonladder.config.errors import UnknownNameError
from cottonladder.protocol.errors import error_summary
from cottonladder.protocol.fault_log import SUMMARY_INTERVAL_S, RateLimitedFaultLog
from cottonladder.protocol.messages import MessageReader
from cottonladder.state.worker_registry import WorkerRegistry
from tests.support.manager_program import SETTINGS


class RateLimitedFaultLogTests(unittest.TestCase):
    def test_faults_with_one_summary_are_repetitions(self) -> None:
        with capture_logs() as lines:
            faults = RateLimitedFaultLog("message_rejected")
            for value in range(5):
                faults.report(f"ACK: field nonce is invalid, got {value}", "ACK: field nonce is invalid")
            faults.summarize(SUMMARY_INTERVAL_S)
        reasons = [(line["reason"], line.get("suppressed_count")) for line in lines]
        self.assertEqual(
            reasons,
            [("ACK: field nonce is invalid, got 0", None), ("ACK: field nonce is invalid", 4)],
        )

    def test_faults_without_a_summary_are_compared_by_reason(self) -> None:
        with capture_logs() as lines:
            faults = RateLimitedFaultLog("connection_closed")
            for reason in ("too many connections", "closed by the peer", "too many connections"):
                faults.report(reason)
            faults.summarize(SUMMARY_INTERVAL_S)
        reasons = [(line["reason"], line.get("suppressed_count")) for line in lines]
        self.assertEqual(
            reasons,
            [("too many connections", None), ("closed by the peer", None), ("too many connections", 1)],
        )

    def test_unknown_names_are_repetitions_however_the_names_vary(self) -> None:
        reader = MessageReader(read_settings(SETTINGS, 1, "settings"), WorkerRegistry().find_index)
        with capture_logs() as lines:
            faults = RateLimitedFaultLog("message_rejected")
            for text in ("SUBSCRIBE node 1 locality {}", "RATE node 1 route {}"):
                for name in ("x", "y", "z"):
                    with self.assertRaises(UnknownNameError) as raised:
                        reader.read(text.format(name).encode().split())
                    faults.report(str(raised.exception), error_summary(raised.exception))
            faults.summarize(SUMMARY_INTERVAL_S)
        reasons = [(line["reason"], line.get("suppressed_count")) for line in lines]
        expected = "expected one from the settings"
        self.assertEqual(
            reasons,
            [
                (f"SUBSCRIBE: field locality: unknown zone 'x', {expected}", None),
                (f"RATE: field route: unknown request class 'x', {expected}", None),
                (f"SUBSCRIBE: field locality: unknown zone, {expected}", 2),
                (f"RATE: field route: unknown request class, {expected}", 2),
            ],
        )


if __name__ == "__main__":
    unittest.main()
