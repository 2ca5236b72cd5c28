"""Each event that the code can log stands in the runbook, and the reverse."""

from __future__ import annotations

import ast
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

from cottonladder.model.state_changes import WorkerEvent
from cottonladder.state.order_errors import RejectionReason

ROOT = Path(__file__).parents[2]
LOG_METHODS = {"debug", "info", "warning", "error"}
REASON_ROW = re.compile(r"^\| `worker_state_changed reason=([a-z_]+)` \|", re.MULTILINE)
TABLE_ROW = re.compile(r"^\| `([a-z_]+)` \|", re.MULTILINE)


def is_log_call(call: ast.Call) -> bool:
    """`log.info(..)` and the like, whoever holds the logger."""
    function = call.func
    if not isinstance(function, ast.Attribute) or function.attr not in LOG_METHODS:
        return False
    return ast.unparse(function.value).split(".")[-1] == "log"


def is_fault_log(call: ast.Call) -> bool:
    """A log of summed faults, which is made with the name of its event."""
    return ast.unparse(call.func).split(".")[-1] == "RateLimitedFaultLog"


def event_names(tree: ast.AST) -> Iterator[str]:
    """Every text that a call logs as its event; a name or a conditional counts with all that it may be."""
    texts: dict[str, list[ast.expr]] = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Name):
            texts.setdefault(node.targets[0].id, []).append(node.value)
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and node.args and (is_log_call(node) or is_fault_log(node)):
            event = node.args[0]
            for value in texts.get(event.id, []) if isinstance(event, ast.Name) else [event]:
                yield from constants(value)


def constants(value: ast.expr) -> Iterator[str]:
    """The texts of an expression's results; the test of a conditional is none of them."""
    if isinstance(value, ast.IfExp):
        yield from constants(value.body)
        yield from constants(value.orelse)
    elif isinstance(value, ast.Constant) and isinstance(value.value, str):
        yield value.value


def event_table() -> str:
    """The part of the runbook that lists each event."""
    page = (ROOT / "docs" / "runbook.md").read_text()
    return page[page.index("## Log events") :]


class LogEventTests(unittest.TestCase):
    def test_code_and_runbook_name_the_same_events(self) -> None:
        logged: set[str] = set()
        for path in (ROOT / "cottonladder").rglob("*.py"):
            if "testbed" not in path.parts:
                logged.update(event_names(ast.parse(path.read_text())))
        described = set(TABLE_ROW.findall(event_table()))
        self.assertEqual(logged, described)
        self.assertGreater(len(logged), 40)

    def test_code_and_runbook_name_the_same_reasons_of_a_state_change(self) -> None:
        described = set(REASON_ROW.findall(event_table()))
        self.assertEqual(described, {event.value for event in WorkerEvent})

    def test_runbook_names_each_reason_of_a_rejected_order(self) -> None:
        (row,) = re.findall(r"^\| `order_rejected` \|.*$", event_table(), re.MULTILINE)
        for reason in RejectionReason:
            self.assertRegex(row, rf"\b{reason.value}\b")
