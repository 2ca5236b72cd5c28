"""The commands `advice show` and `advice probe` against a manager that serves advice."""

from __future__ import annotations

import asyncio
import json
import sys
import unittest
from dataclasses import dataclass

from cottonladder.planning.advertised_weights import MAX_WEIGHT
from cottonladder.testbed.fleet import ROOT
from tests.weight_advice.manager_case import EVENT_TIMEOUT_S, WORKER_ADDRESS, WORKER_COUNT, ManagerTestCase


@dataclass
class CommandResult:
    """Exit status and output of a command."""

    status: int
    output: str


async def run_advice(*arguments: str) -> CommandResult:
    """Runs `cottonladder advice` with these arguments and returns its result."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "cottonladder",
        "advice",
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await asyncio.wait_for(process.communicate(), EVENT_TIMEOUT_S)
    return CommandResult(process.returncode or 0, output.decode())


class AdviceCommandTest(ManagerTestCase):
    async def test_show_prints_weights_and_probe_reports_whether_an_advisor_replies(self) -> None:
        manager = await self.start_manager({"protocol": "sasp"}, {"protocol": "dfp"})
        sasp_address = f"127.0.0.1:{await self.advice_port(manager, 'sasp')}"
        dfp_address = f"127.0.0.1:{await self.advice_port(manager, 'dfp')}"
        members = ("--member", f"s-1@{WORKER_ADDRESS}:80", "--member", f"{WORKER_ADDRESS}:8002")
        shown = await run_advice("show", sasp_address, *members, "--json")
        self.assertEqual(shown.status, 0, shown.output)
        weights = [(entry["label"], entry["weight"]) for entry in json.loads(shown.output)]
        self.assertEqual(weights, [("s-1", MAX_WEIGHT), ("", MAX_WEIGHT)])
        shown = await run_advice("show", dfp_address, "--protocol", "dfp")
        host_count = shown.output.count(f"{WORKER_ADDRESS}:800")
        self.assertEqual((shown.status, host_count), (0, WORKER_COUNT), shown.output)
        for protocol, address in (("sasp", sasp_address), ("dfp", dfp_address)):
            probed = await run_advice("probe", address, "--protocol", protocol)
            self.assertEqual((probed.status, "speaks" in probed.output), (0, True), probed.output)
        for address in (f"127.0.0.1:{manager.port}", "here"):
            probed = await run_advice("probe", address)
            self.assertEqual((probed.status, probed.output.count("\n")), (1, 1), probed.output)


if __name__ == "__main__":
    unittest.main()
