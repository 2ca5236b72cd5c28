"""What managers write on the wire for recorded inputs, compared byte for byte.

The digests in `tests/recorded/orders.json` are of the simulator's replies (without the texts of their log
lines) and of RESP2 messages, datagrams and snapshot files, never of Python names.  They stay the same through
every rename and restructuring, and change only if the program behaves differently.  After an intended change
of behaviour, `python -m tests.policy.test_recorded_orders` prints the new digests.
"""

from __future__ import annotations

import json
import unittest
from pathlib import Path
from typing import TypedDict

import structlog

from cottonladder.simulator.host import SimulatorHost
from tests.support.simulated_day_settings import DAYS
from tests.support.simulated_days import SimulatedDay
from tests.support.wire_manager import play_two_incarnations

RECORDED = Path(__file__).parents[1] / "recorded" / "orders.json"
INCARNATION_S = 30
ALL_ACTIONS = {
    *("DEFER", "WATCH", "BROADCAST_TO", "SOUND_OUT", "ADMIT", "UPSERT", "PIN", "STAMP", "REMARK", "CORDON"),
}


class RecordedRun(TypedDict):
    """The digest of a simulated run's replies, and the number of actions of each type."""

    digest: str
    actions: dict[str, int]


def play_simulated_runs() -> dict[str, RecordedRun]:
    """Returns the result of each simulated run, by name."""
    played: dict[str, RecordedRun] = {}
    for name in DAYS:
        run = SimulatedDay(name, SimulatorHost().handle_batch)
        digest = run.play()
        played[name] = {"digest": digest, "actions": dict(sorted(run.action_counts.items()))}
    return played


class RecordedOrderTests(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
        self.addCleanup(structlog.reset_defaults)
        self.recorded = json.loads(RECORDED.read_text())

    def test_replies_to_the_simulator(self) -> None:
        played = play_simulated_runs()
        for name, run in played.items():
            with self.subTest(name):
                self.assertEqual(run, self.recorded["simulated"][name])
        self.assertEqual({action for run in played.values() for action in run["actions"]}, ALL_ACTIONS)

    def test_resp2_messages_datagrams_and_snapshots_are_as_recorded(self) -> None:
        self.assertEqual(play_two_incarnations(INCARNATION_S), self.recorded["wire"])


if __name__ == "__main__":
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    print(
        json.dumps(
            {"simulated": play_simulated_runs(), "wire": play_two_incarnations(INCARNATION_S)}, indent=2
        )
    )
