"""A chain of plug-ins: circuit breakers, the call time budget, fail-closed plug-ins and reloads."""

from __future__ import annotations

import tempfile
import time
import unittest
from pathlib import Path

from structlog.testing import capture_logs

from cottonladder.planning.plugin_bounds import MAX_CALL_TIME_FRACTION, MAX_FAULTS
from cottonladder.plugins.chain import PluginChain, PluginSpec
from tests.plugins.modules import HOSTILE_MODULES, answering, module

TRAPPING = HOSTILE_MODULES["traps"].text
BUDGET_TEST_S = 1.0
MS_PER_S = 1000.0


class PluginChainTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def specs(self, *texts: str, fails_closed: bool = False) -> list[PluginSpec]:
        """Writes modules to files and returns their specifications."""
        specs = []
        for n, text in enumerate(texts):
            path = self.folder / f"{n}.wat"
            path.write_text(text)
            specs.append(PluginSpec(f"p-{n}", str(path), fails_closed))
        return specs

    def test_a_breaker_opens_for_a_plugin_that_keeps_failing(self) -> None:
        chain = PluginChain(self.specs(TRAPPING, answering("need=x")))
        for _ in range(40):
            answer = chain.call_hook("route", b"")
            self.assertEqual((answer.required_labels, answer.rejection_reason), (("x",), None))
        failing, sound = chain.status()
        self.assertEqual((failing["breaker"], sound["breaker"]), ("open", "closed"))
        self.assertLessEqual(int(str(failing["calls"])), MAX_FAULTS)

    def test_a_failing_plugin_that_fails_closed_rejects_requests(self) -> None:
        chain = PluginChain(self.specs(TRAPPING, fails_closed=True))
        for _ in range(10):
            self.assertEqual(chain.call_hook("route", b"").rejection_reason, "p-0 can't judge")

    def test_a_plugin_just_under_the_fuel_limit_is_limited_by_the_call_time_budget(self) -> None:
        slow = """(local $i i32) (loop $l (local.set $i (i32.add (local.get $i) (i32.const 1)))
          (br_if $l (i32.lt_u (local.get $i) (i32.const 24000)))) (i64.const 0)"""
        chain = PluginChain(self.specs(module(slow)))
        started_at = time.monotonic()
        while time.monotonic() - started_at < BUDGET_TEST_S:
            chain.call_hook("route", b"")
        (status,) = chain.status()
        spent_s = float(str(status["ms"])) / MS_PER_S
        # The budget is full at the start, and is refilled once in the second that the test takes.
        self.assertLess(spent_s, 2.5 * MAX_CALL_TIME_FRACTION)
        self.assertGreater(int(str(status["skipped"])), 0)

    def test_a_reload_replaces_all_plugins_or_none(self) -> None:
        chain = PluginChain(self.specs(answering("need=x")))
        specs = self.specs(module(version=2))
        with capture_logs() as lines:
            self.assertFalse(chain.reload(specs))
        (rejected,) = [line for line in lines if line["event"] == "plugins_rejected"]
        self.assertEqual(rejected["reason"], f"{specs[0].path}: interface version: expected 1, got 2")
        self.assertEqual(chain.call_hook("route", b"").required_labels, ("x",))
        self.assertTrue(chain.reload(self.specs(answering("need=y"))))
        self.assertEqual(chain.call_hook("route", b"").required_labels, ("y",))


if __name__ == "__main__":
    unittest.main()
