"""Relative links between the project's own pages lead to files that exist."""

from __future__ import annotations

import re
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[2]
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
CODE = re.compile(r"```.*?```|`[^`]*`", re.DOTALL)


def pages() -> Iterator[Path]:
    for name in ("README.md", "CONTRIBUTING.md"):
        if (ROOT / name).exists():
            yield ROOT / name
    yield from sorted((ROOT / "docs").rglob("*.md"))


def relative_links(page: Path) -> Iterator[str]:
    """Links to files, without the part of the page that they name."""
    for link in LINK.findall(CODE.sub("", page.read_text())):
        target = link.partition("#")[0]
        if target and not re.match(r"[a-z]+:", target):
            yield target


class Links(unittest.TestCase):
    def test_relative_links_resolve(self) -> None:
        for page in pages():
            for link in relative_links(page):
                with self.subTest(page=str(page.relative_to(ROOT)), link=link):
                    self.assertTrue((page.parent / link).exists())

    def test_links_are_found(self) -> None:
        self.assertTrue(any(list(relative_links(page)) for page in pages()))


if __name__ == "__main__":
    unittest.main()
