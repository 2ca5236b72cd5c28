"""Counts of held connections, and what managers are told of them."""

from __future__ import annotations

import unittest

from cottonladder.forwarder.connection_registry import ConnectionRegistry, WorkerConnectionCounts


class Fake:
    def __init__(self, resumable: bool = False) -> None:
        self.is_open, self.is_resumable, self.at_work = True, resumable, False

    def is_busy(self, now: float) -> bool:
        return self.at_work


class ConnectionCounts(unittest.TestCase):
    def test_a_full_report_comes_first_then_changes(self) -> None:
        book: ConnectionRegistry[Fake] = ConnectionRegistry()
        one, two = Fake(), Fake(True)
        book.add("s-1", one)
        book.add("s-1", two)
        self.assertEqual(list(book.changes(0.0, True)), [(True, {"s-1": WorkerConnectionCounts(2, 0, 1)})])
        self.assertEqual(list(book.changes(0.0, False)), [])
        one.at_work = True
        book.move("s-1", "s-2", two)
        self.assertEqual(
            list(book.changes(0.0, False)),
            [(False, {"s-1": WorkerConnectionCounts(1, 1, 0), "s-2": WorkerConnectionCounts(1, 0, 1)})],
        )
        self.assertEqual(book.idle_and_held("s-1", 0.0), ([], 1))
        book.remove("s-1", one)
        self.assertEqual(list(book.changes(0.0, False)), [(False, {"s-1": WorkerConnectionCounts(0, 0, 0)})])
        book.remove("s-2", two)
        book.reset_reported()
        self.assertEqual(list(book.changes(0.0, True)), [(True, {})])


if __name__ == "__main__":
    unittest.main()
