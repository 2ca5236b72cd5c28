"""Resource limits, connection slots, the rate limit of new connections, and Retry-After."""

from __future__ import annotations

import unittest

from cottonladder.config.operator_config import LimitsConfig
from cottonladder.forwarder.admission_pacer import AdmissionPacer
from cottonladder.forwarder.connection_slots import ConnectionSlots
from cottonladder.forwarder.retry_after import retry_after


class DefaultLimits(unittest.TestCase):
    def test_each_limit_has_its_default(self) -> None:
        stated = LimitsConfig(
            connections=20_000,
            connections_per_worker=8_000,
            connections_per_client=2_000,
            header_bytes=16_384,
            body_bytes=8_388_608,
            connect_timeout_s=1.0,
            first_byte_timeout_s=30.0,
            idle_timeout_s=75.0,
            pool_size_per_worker=64,
        )
        self.assertEqual(LimitsConfig(), stated)


class Slots(unittest.TestCase):
    def test_slots_are_limited_in_total_and_by_client(self) -> None:
        slots = ConnectionSlots(max_total=3, max_per_client=2)
        acquired = [slots.acquire(client) for client in "aaabb"]
        self.assertEqual(acquired, [True, True, False, True, False])
        slots.release("a")
        self.assertTrue(slots.acquire("b"))
        for client in "abb":
            slots.release(client)
        self.assertEqual(slots.total, 0)
        self.assertEqual(slots.by_client, {})


class AdmissionPace(unittest.TestCase):
    def setUp(self) -> None:
        self.pacer = AdmissionPacer(worker_arrivals_per_s=20.0, arrival_share=0.5)

    def test_new_connections_are_limited_to_the_rate_after_a_burst(self) -> None:
        rate = self.pacer.worker_rate(1.0, 1.0)
        admitted = sum(self.pacer.acquire(tick / 100, "s-1", rate) == 0.0 for tick in range(1000))
        self.assertEqual(admitted, 109)  # 10 a second for 10 s, after a burst of 10
        self.assertAlmostEqual(self.pacer.acquire(9.99, "s-1", rate), 0.1, delta=0.1)
        self.assertEqual(self.pacer.worker_rate(0.5, 1.0), 5.0)

    def test_reserved_slots_are_kept_until_they_are_used_or_expire(self) -> None:
        self.pacer.reserve(0.0, "s-2", 2)
        self.assertEqual(self.pacer.reserved_worker(1.0), "s-2")
        self.pacer.use_reservation("s-2")
        self.assertEqual(self.pacer.reserved_worker(1.0), "s-2")
        self.assertIsNone(self.pacer.reserved_worker(AdmissionPacer.RESERVATION_TTL_S + 1.0))


class RetryAfterHeader(unittest.TestCase):
    def test_retry_after_is_in_whole_seconds_with_jitter(self) -> None:
        self.assertEqual(retry_after(0.0, 0.0), 1)
        self.assertEqual(retry_after(4.0, 0.5), 6)
        self.assertEqual(retry_after(1e9, 1.0), 30)


if __name__ == "__main__":
    unittest.main()
