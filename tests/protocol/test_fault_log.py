"""Rate limiting of logged faults: one line for each summary, however the received values vary."""

from __future__ import annotations

import unittest

from structlog.testing import capture_logs

from cottonladder.protocol.fault_log import SUMMARY_INTERVAL_S, RateLimitedFaultLog


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


if __name__ == "__main__":
    unittest.main()
