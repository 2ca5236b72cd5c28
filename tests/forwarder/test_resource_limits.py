"""Slots, the pace of arrivals and Retry-After."""

from __future__ import annotations

import unittest

from cottonladder.forwarder.resource_limits import AdmissionPacer, ConnectionSlots, retry_after


class ResourceLimitsKept(unittest.TestCase):
    def test_slots_are_released_once(self) -> None:
        places = ConnectionSlots(3, 2)
        self.assertEqual([places.acquire(who) for who in "aaabb"], [True, True, False, True, False])
        places.release("a")
        self.assertTrue(places.acquire("b"))
        for who in "abb":
            places.release(who)
        self.assertEqual((places.total, places.by_client), (0, {}))

    def test_a_rush_is_paced_and_reserved_slots_are_kept(self) -> None:
        arrivals = AdmissionPacer(20.0, 0.5)
        pace = arrivals.worker_rate(1.0, 1.0)
        let = sum(arrivals.acquire(n / 100, "s-1", pace) == 0.0 for n in range(1000))
        self.assertEqual(let, 109)  # 10 a second for 10 s, and a second's at once
        self.assertAlmostEqual(arrivals.acquire(9.99, "s-1", pace), 0.1, delta=0.1)
        self.assertEqual(arrivals.worker_rate(0.5, 1.0), 5.0)
        arrivals.reserve(0.0, "s-2", 2)
        self.assertEqual(arrivals.reserved_worker(1.0), "s-2")
        arrivals.use_reservation("s-2")
        self.assertEqual(arrivals.reserved_worker(1.0), "s-2")
        self.assertIsNone(
            arrivals.reserved_worker(AdmissionPacer.RESERVATION_TTL_S + 1.0)
        )  # nobody came: free again

    def test_retry_after_is_whole_seconds_with_jitter(self) -> None:
        self.assertEqual([retry_after(0.0, 0.0), retry_after(4.0, 0.5), retry_after(1e9, 1.0)], [1, 6, 30])


if __name__ == "__main__":
    unittest.main()
