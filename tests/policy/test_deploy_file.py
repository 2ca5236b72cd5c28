"""The list of policy files in the deploy file."""

from __future__ import annotations

import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]


class DeployFileTests(unittest.TestCase):
    def test_policy_lists_exactly_the_files_of_the_package(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        package = ROOT / "cottonladder" / "policy"
        files = sorted(str(path.relative_to(ROOT)) for path in package.rglob("*.py"))
        self.assertEqual(sorted(deploy["policy"]), files)


if __name__ == "__main__":
    unittest.main()
