"""A manager without an operators' file imports neither the extensions nor their libraries."""

from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
FILES = ROOT / "tests" / "recorded" / "files"
IMPORT_TIMEOUT_S = 60
# Imports what `serve` imports, reads the manager's file, and prints the names of all loaded modules.
PROGRAM = """
import sys
from cottonladder.cli import main
from cottonladder.cli.configuration import load_operator_config, load_startup_config
load_startup_config(sys.argv[1])
load_operator_config("")
print(*sys.modules, sep="\\n")
"""
EXTENSION_PACKAGES = {
    "cottonladder.forwarder",
    "cottonladder.membership",
    "cottonladder.planning",
    "cottonladder.plugins",
    "cottonladder.simulator",
    "cottonladder.snapshots",
    "cottonladder.testbed",
    "cottonladder.weight_advice",
}
# `rich` is not included, as structlog imports it if it is installed.
EXTENSION_LIBRARIES = {"httptools", "json5", "msgspec", "wasmtime"}


class ServeImportsTests(unittest.TestCase):
    def test_a_manager_without_operators_file_loads_no_extension(self) -> None:
        result = subprocess.run(
            [sys.executable, "-c", PROGRAM, str(FILES / "manager.json")],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            timeout=IMPORT_TIMEOUT_S,
        )
        modules = set(result.stdout.split())
        self.assertIn("cottonladder.control.manager", modules)
        self.assertEqual(modules & EXTENSION_PACKAGES, set())
        self.assertEqual(modules & EXTENSION_LIBRARIES, set())


if __name__ == "__main__":
    unittest.main()
