"""Relative links in the project's Markdown pages point to existing files."""

from __future__ import annotations

import re
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[2]
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
CODE = re.compile(r"```.*?```|`[^`]*`", re.DOTALL)


def markdown_pages() -> Iterator[Path]:
    for name in ("README.md", "CONTRIBUTING.md"):
        if (ROOT / name).exists():
            yield ROOT / name
    yield from sorted((ROOT / "docs").rglob("*.md"))


def relative_links(page: Path) -> Iterator[str]:
    """Yields the paths of a page's relative links, without their fragments."""
    for link in LINK.findall(CODE.sub("", page.read_text())):
        target = link.partition("#")[0]
        if target and not re.match(r"[a-z]+:", target):
            yield target


class LinkTests(unittest.TestCase):
    def test_target_of_each_relative_link_exists(self) -> None:
        for page in markdown_pages():
            for link in relative_links(page):
                with self.subTest(page=str(page.relative_to(ROOT)), link=link):
                    self.assertTrue((page.parent / link).exists())

    def test_pages_contain_relative_links(self) -> None:
        self.assertTrue(any(list(relative_links(page)) for page in markdown_pages()))


if __name__ == "__main__":
    unittest.main()
