"""The worker registry's limit on known workers."""

from __future__ import annotations

import unittest
from unittest import mock

from cottonladder.state import worker_registry
from cottonladder.state.worker_registry import TooManyWorkersError, WorkerRegistry


class WorkerRegistryTests(unittest.TestCase):
    def test_a_new_worker_beyond_the_limit_is_rejected_and_known_ones_are_updated(self) -> None:
        workers = WorkerRegistry()
        with mock.patch.object(worker_registry, "MAX_WORKERS", 2):
            indices = [workers.register(f"s-{number}", "10.0.0.1:8080", 0.0) for number in range(2)]
            with self.assertRaises(TooManyWorkersError) as caught:
                workers.register("s-2", "10.0.0.1:8080", 0.0)
            self.assertEqual(workers.register("s-1", "10.0.0.2:8080", 0.0), indices[1])
        self.assertEqual(str(caught.exception), "endpoint list: at most 2 known workers expected, got more")
        self.assertEqual(workers.address_of(indices[1]), "10.0.0.2:8080")
        self.assertIsNone(workers.find_index(b"s-2"))


if __name__ == "__main__":
    unittest.main()
