"""What the simulator's process answers to one day in small, and its one line and status for each fault."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest
from typing import Any

from tests.support.simulated_days import settings

ATTACH = {"ATTACH": {"Info": {**settings(), "Me": 0}, "Prng": 7}}
ENTRY = {"Worker": 5, "Mode": 1, "Locality": "east", "Size": 1.0, "CameUpMs": 0}
CONNECTED = {"CONNECTED": {"Proxy": 1, "Locality": "east", "Size": 2.0, "Active": True}}


def batch(*events: Any) -> dict[str, Any]:
    return {"SimTimeMs": 1000.0, "managers": [{"ManagerId": 0, "arrivals": list(events)}]}


def play(*batches: Any) -> subprocess.CompletedProcess[str]:
    """One process that is given these batches, a line each."""
    lines = "".join(json.dumps(each) + "\n" for each in batches)
    command = [sys.executable, "-B", "-m", "cottonladder.simulator"]
    return subprocess.run(command, input=lines, capture_output=True, text=True, check=False)


class SimulatorProcess(unittest.TestCase):
    def test_a_manager_orders_until_it_retires(self) -> None:
        listed = {"SYNC": {"How": 0, "Entries": [ENTRY]}}
        ended = play(batch(ATTACH, listed, CONNECTED), batch({"RETIRE": {}}))
        self.assertEqual((ended.returncode, ended.stderr), (0, ""))
        first, last = [json.loads(line) for line in ended.stdout.splitlines()]
        names = [next(iter(action)) for action in first["managers"][0]["outbox"]]
        self.assertIn("DEFER", names)
        self.assertIn("UPSERT", names)
        self.assertEqual(last, {"managers": []})

    def test_each_fault_is_one_line_and_status_2(self) -> None:
        faults: list[tuple[Any, str]] = [
            ([], "batch: not an object"),
            ({"SimTimeMs": 1}, "batch: field managers is missing"),
            (batch(7), "instance 0: an event is not an object with a single key"),
            (batch({"WAKE": {"Nonce": 1}}), "WAKE for instance 0: no ATTACH came before it"),
            (batch(ATTACH, {"NOPE": {}}), "NOPE for instance 0: unknown event"),
            (
                batch(ATTACH, {"WAKE": {"Nonce": "x"}}),
                "WAKE for instance 0: field Nonce has the wrong type (str)",
            ),
            (batch(ATTACH, {"SYNC": {"How": 4}}), "SYNC for instance 0: field How has an unknown value"),
            (
                batch(ATTACH, {"SYNC": {"How": 0, "Entries": [{**ENTRY, "Mode": 3}]}}),
                "SYNC for instance 0: field Mode has an unknown value",
            ),
            (
                batch(ATTACH, {"SYNC": {"How": 0, "Entries": [{**ENTRY, "Locality": "no"}]}}),
                "SYNC for instance 0: unknown zone",
            ),
        ]
        for faulty, line in faults:
            with self.subTest(line):
                ended = play(faulty)
                self.assertEqual((ended.returncode, ended.stderr), (2, line + "\n"))


if __name__ == "__main__":
    unittest.main()
