"""Arcs that are cut out of a ring of weights."""

from __future__ import annotations

import unittest

from cottonladder.model.weight_ring import weights_in_arc
from cottonladder.policy.table_partition import MIN_ARC_WEIGHT_RATIO

ARC_COUNT = 10
ARC_LENGTH = 0.2  # of the ring: each point lies in two arcs


class WeightsInArcTests(unittest.TestCase):
    def test_overlapping_arcs_together_have_the_weights_of_the_ring(self) -> None:
        ring = {index: 1.0 + index % 3 for index in range(30)}
        sums = dict.fromkeys(ring, 0.0)
        for number in range(ARC_COUNT):
            start = number / ARC_COUNT
            arc = weights_in_arc(ring, start, start + ARC_LENGTH, MIN_ARC_WEIGHT_RATIO)
            self.assertAlmostEqual(sum(arc.values()), 1.0, delta=0.05)
            for index, weight in arc.items():
                sums[index] += weight / ARC_COUNT
        total = sum(ring.values())
        for index, weight in ring.items():
            share = weight / total
            self.assertLess(abs(sums[index] - share), 0.2 * share)


if __name__ == "__main__":
    unittest.main()
