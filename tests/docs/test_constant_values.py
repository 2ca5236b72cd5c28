"""Each constant in the capacity page's tables is defined in the named module with the given value."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
ROW = re.compile(r"^\| `([A-Z_]+)` \| `([a-z_/]+)` \| ([^|]+) \|", re.MULTILINE)


class ConstantValuesTests(unittest.TestCase):
    def test_each_constant_has_the_value_that_the_page_gives(self) -> None:
        rows = ROW.findall((ROOT / "docs" / "capacity.md").read_text())
        self.assertGreater(len(rows), 0)
        for name, module, value in rows:
            with self.subTest(constant=name, module=module):
                text = (ROOT / "cottonladder" / f"{module}.py").read_text()
                definition = rf"^{name}(: [^=]+)? = {re.escape(value)}(  #.*)?$"
                self.assertRegex(text, re.compile(definition, re.MULTILINE))


if __name__ == "__main__":
    unittest.main()
