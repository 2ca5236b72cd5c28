"""What managers write on the wire for recorded inputs, compared to the byte.

The digests in `tests/recorded/orders.json` are of the simulator's replies (without the texts of their log
lines) and of RESP2 messages, datagrams and snapshot files, never of Python names.  They stay the same through
every rename and change of structure, and differ only where the program behaves differently.  After a change
that is meant to do so, `python -m tests.policy.test_recorded_orders` prints the new digests.
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


class RecordedDay(TypedDict):
    """The digest of a day's replies, and the number of actions of each type."""

    digest: str
    actions: dict[str, int]


def play_simulated_days() -> dict[str, RecordedDay]:
    """Returns what each simulated day gives, by name."""
    played: dict[str, RecordedDay] = {}
    for name in DAYS:
        day = SimulatedDay(name, SimulatorHost().handle_batch)
        digest = day.play()
        played[name] = {"digest": digest, "actions": dict(sorted(day.action_counts.items()))}
    return played


class RecordedOrderTests(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
        self.addCleanup(structlog.reset_defaults)
        self.recorded = json.loads(RECORDED.read_text())

    def test_replies_to_the_simulator(self) -> None:
        played = play_simulated_days()
        for name, day in played.items():
            with self.subTest(name):
                self.assertEqual(day, self.recorded["simulated"][name])
        self.assertEqual({name for day in played.values() for name in day["actions"]}, ALL_ACTIONS)

    def test_resp2_messages_datagrams_and_snapshots(self) -> None:
        self.assertEqual(play_two_incarnations(INCARNATION_S), self.recorded["wire"])


if __name__ == "__main__":
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    print(
        json.dumps(
            {"simulated": play_simulated_days(), "wire": play_two_incarnations(INCARNATION_S)}, indent=2
        )
    )
