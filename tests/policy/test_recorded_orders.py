"""What the managers say on the wire for recorded inputs, to the byte.

The digests in `tests/recorded/orders.json` are taken of the simulator's replies (less the words of their log
lines) and of RESP2 messages, datagrams and snapshot files, never of Python names: they stand through every
rename and change of shape, and change only where the program does something else.  After a change that is
meant to, `python -m tests.policy.test_recorded_orders` prints them anew.
"""

from __future__ import annotations

import json
import unittest
from pathlib import Path
from typing import Any

import structlog

from cottonladder.simulator.__main__ import SimulatorHost
from tests.support.simulated_days import DAYS, SimulatedDay
from tests.support.wire_fleet import play_two_lives

RECORDED = Path(__file__).parents[1] / "recorded" / "orders.json"
LIFE_S = 30
ALL_ACTIONS = {
    *("DEFER", "WATCH", "BROADCAST_TO", "SOUND_OUT", "ADMIT", "UPSERT", "PIN", "STAMP", "REMARK", "CORDON"),
}


def simulated() -> dict[str, Any]:
    """Digest and number of actions by day."""
    played: dict[str, Any] = {}
    for name in DAYS:
        day = SimulatedDay(name, SimulatorHost().handle_batch)
        digest = day.play()
        played[name] = {"digest": digest, "actions": dict(sorted(day.actions.items()))}
    return played


class RecordedOrders(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
        self.addCleanup(structlog.reset_defaults)
        self.recorded = json.loads(RECORDED.read_text())

    def test_the_simulator_s_replies(self) -> None:
        played = simulated()
        for name, day in played.items():
            with self.subTest(name):
                self.assertEqual(day, self.recorded["simulated"][name])
        self.assertEqual({name for day in played.values() for name in day["actions"]}, ALL_ACTIONS)

    def test_resp2_messages_datagrams_and_snapshots(self) -> None:
        self.assertEqual(play_two_lives(LIFE_S), self.recorded["wire"])


if __name__ == "__main__":
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    print(json.dumps({"simulated": simulated(), "wire": play_two_lives(LIFE_S)}, indent=2))
