"""The simulator's process: actions for valid batches, one error line and a status for an invalid batch."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest
from typing import Any

from tests.support.simulated_run_settings import simulator_settings

Event = dict[str, Any]  # with its name as the only key
Batch = dict[str, Any]

ATTACH: Event = {"ATTACH": {"Info": {**simulator_settings(), "Me": 0}, "Prng": 7}}
RETIRE: Event = {"RETIRE": {}}
ENTRY = {"Worker": 5, "Mode": 1, "Locality": "east", "Size": 1.0, "CameUpMs": 0}
CONNECTED: Event = {"CONNECTED": {"Proxy": 1, "Locality": "east", "Size": 2.0, "Active": True}}


def batch(*events: Any) -> Batch:
    """Returns a batch of events for one manager; the events may be invalid."""
    return {"SimTimeMs": 1000.0, "managers": [{"ManagerId": 0, "arrivals": list(events)}]}


def endpoint_list(**changes: Any) -> Event:
    """Returns an event with a complete endpoint list of one entry, some of whose fields are replaced."""
    return {"SYNC": {"How": 0, "Entries": [{**ENTRY, **changes}]}}


def run_simulator(*batches: Any) -> subprocess.CompletedProcess[str]:
    """Runs the process with one batch in each line of its input."""
    lines = "".join(json.dumps(each) + "\n" for each in batches)
    command = [sys.executable, "-B", "-m", "cottonladder.simulator"]
    return subprocess.run(command, input=lines, capture_output=True, text=True, check=False)


class SimulatorProcessTest(unittest.TestCase):
    def test_a_manager_gives_actions_until_it_retires(self) -> None:
        ended = run_simulator(batch(ATTACH, endpoint_list(), CONNECTED), batch(RETIRE))
        self.assertEqual((ended.returncode, ended.stderr), (0, ""))
        first, last = [json.loads(line) for line in ended.stdout.splitlines()]
        names = [next(iter(action)) for action in first["managers"][0]["outbox"]]
        self.assertIn("DEFER", names)
        self.assertIn("UPSERT", names)
        self.assertEqual(last, {"managers": []})

    def test_an_invalid_batch_ends_the_process_with_one_line_and_status_2(self) -> None:
        invalid: list[tuple[Any, str]] = [
            ([], "batch: must be an object, got an array of length 0"),
            ({"SimTimeMs": 1}, "batch: field managers is missing, expected an array"),
            (batch(7), "instance 0: event is not an object with one key, got int"),
            (batch({"WAKE": {"Nonce": 1}}), "WAKE for instance 0: expected an ATTACH event before it"),
            (batch(ATTACH, {"NOPE": {}}), "NOPE for instance 0: unknown event"),
            (
                batch(ATTACH, {"WAKE": {"Nonce": "x"}}),
                "WAKE for instance 0: field Nonce must be an integer, got 'x'",
            ),
            (
                batch(ATTACH, {"SYNC": {"How": 4}}),
                "SYNC for instance 0: field How must be one of 0, 1, 2, 3, got 4",
            ),
            (
                batch(ATTACH, endpoint_list(Mode=3)),
                "SYNC for instance 0: field Mode must be one of 0, 1, 2, got 3",
            ),
            (
                batch(ATTACH, endpoint_list(Locality="no")),
                "SYNC for instance 0: unknown zone 'no', expected one from the settings",
            ),
        ]
        for invalid_batch, line in invalid:
            with self.subTest(line):
                ended = run_simulator(invalid_batch)
                self.assertEqual((ended.returncode, ended.stderr), (2, line + "\n"))


if __name__ == "__main__":
    unittest.main()
