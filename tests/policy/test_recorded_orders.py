"""The managers' output for seeded inputs, compared byte for byte with recorded digests.

The digests in `tests/recorded/orders.json` cover the simulator's replies (without the texts of their log
lines), RESP2 messages, datagrams and snapshot files, and no Python names.  Renames and restructuring leave
them unchanged; they change only if the program behaves differently.  After an intended change of behaviour,
`python -m tests.policy.test_recorded_orders` prints the new digests.
"""

from __future__ import annotations

import json
import unittest
from pathlib import Path
from typing import TypedDict

import structlog

from cottonladder.simulator.host import SimulatorHost
from tests.support.simulated_run import SimulatedRun
from tests.support.simulated_run_settings import RUN_SETTINGS
from tests.support.wire_manager import run_two_incarnations

RECORDED = Path(__file__).parents[1] / "recorded" / "orders.json"
INCARNATION_S = 30
ALL_ACTIONS = {
    *("DEFER", "WATCH", "BROADCAST_TO", "SOUND_OUT", "ADMIT", "UPSERT", "PIN", "STAMP", "REMARK", "CORDON"),
}


class RecordedRun(TypedDict):
    """The digest of a simulated run's replies, and the number of actions of each type."""

    digest: str
    actions: dict[str, int]


def run_simulations() -> dict[str, RecordedRun]:
    """Returns the result of each simulated run, by name."""
    results: dict[str, RecordedRun] = {}
    for name in RUN_SETTINGS:
        simulated_run = SimulatedRun(name, SimulatorHost().handle_batch)
        digest = simulated_run.run()
        results[name] = {"digest": digest, "actions": dict(sorted(simulated_run.action_counts.items()))}
    return results


class RecordedOrderTests(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
        self.addCleanup(structlog.reset_defaults)
        self.recorded = json.loads(RECORDED.read_text())

    def test_replies_to_the_simulator_are_as_recorded(self) -> None:
        results = run_simulations()
        for name, run in results.items():
            with self.subTest(name):
                self.assertEqual(run, self.recorded["simulated"][name])
        self.assertEqual({action for run in results.values() for action in run["actions"]}, ALL_ACTIONS)

    def test_resp2_messages_datagrams_and_snapshots_are_as_recorded(self) -> None:
        self.assertEqual(run_two_incarnations(INCARNATION_S), self.recorded["wire"])


if __name__ == "__main__":
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    print(json.dumps({"simulated": run_simulations(), "wire": run_two_incarnations(INCARNATION_S)}, indent=2))
