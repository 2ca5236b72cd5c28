"""The runbook lists each event that the code can log, with its fields, and no other event.

The runbook also lists the name of each event in earlier releases.
"""

from __future__ import annotations

import ast
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

from cottonladder.model import ControllerState, LatencyHistogram, WorkerRecord
from cottonladder.model.state_changes import WorkerEvent, WorkerState, WorkerStateChanged
from cottonladder.policy.worker_states import apply_event
from cottonladder.state.order_errors import RejectionReason
from tests.support.deployment_parameters import DEFAULT_PARAMETERS

ROOT = Path(__file__).parents[2]
LOG_METHODS = {"debug", "info", "warning", "error", "exception", "critical"}
REASON_ROW = re.compile(r"^\| `worker_state_changed reason=([a-z_]+)` \|", re.MULTILINE)
FIELDS_CELL = re.compile(r"^\| `([a-z_]+)` \| ([^|]+) \|", re.MULTILINE)
TABLE_ROW = re.compile(r"^\| `([a-z_]+)` \|", re.MULTILINE)
OLD_EVENT_ROW = re.compile(
    r"^\| (?:[a-z][^|`]*)(?:`[^|`]+` )?\| `([^`|]+)`( \(never logged\))? \|$", re.MULTILINE
)
REASON_PREFIX = "worker_state_changed reason="


def program_modules() -> list[Path]:
    """Returns the modules whose events operators see, which are all except the testbed."""
    modules = (ROOT / "cottonladder").rglob("*.py")
    return [path for path in modules if "testbed" not in path.relative_to(ROOT).parts]


def is_log_call(call: ast.Call) -> bool:
    """Returns whether a call logs an event, such as `log.info(..)` or `self._log.info(..)`."""
    function = call.func
    if not isinstance(function, ast.Attribute) or function.attr not in LOG_METHODS:
        return False
    return ast.unparse(function.value).split(".")[-1] in ("log", "_log")


def is_fault_log(call: ast.Call) -> bool:
    """Returns whether a call creates a rate-limited fault log, whose argument is the event."""
    return ast.unparse(call.func).split(".")[-1] == "RateLimitedFaultLog"


def event_names(tree: ast.AST) -> Iterator[str]:
    """Yields each event that a call can log, with all values of a variable or a conditional expression."""
    values_by_name: dict[str, list[ast.expr]] = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Name):
            values_by_name.setdefault(node.targets[0].id, []).append(node.value)
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and node.args and (is_log_call(node) or is_fault_log(node)):
            event = node.args[0]
            for value in values_by_name.get(event.id, []) if isinstance(event, ast.Name) else [event]:
                yield from constants(value)


def event_fields(tree: ast.AST) -> Iterator[tuple[str, str]]:
    """Yields event and field for each field of a log call whose event is a constant."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and node.args and is_log_call(node):
            for event in constants(node.args[0]):
                yield from ((event, keyword.arg) for keyword in node.keywords if keyword.arg)


def constants(value: ast.expr) -> Iterator[str]:
    """Yields the string constants to which an expression can evaluate."""
    if isinstance(value, ast.IfExp):
        yield from constants(value.body)
        yield from constants(value.orelse)
    elif isinstance(value, ast.Constant) and isinstance(value.value, str):
        yield value.value


def runbook() -> str:
    """Returns the text of the runbook."""
    return (ROOT / "docs" / "runbook.md").read_text()


def runbook_section(title: str) -> str:
    """Returns one section of the runbook, up to the next heading of the same level."""
    _, _, section = runbook().partition(f"\n## {title}\n")
    return section.partition("\n## ")[0]


def event_table() -> str:
    """Returns the section of the runbook that lists each event."""
    return runbook_section("Log events")


def table_rows(section: str) -> list[str]:
    """Returns the rows of a section's table, without its heading rows."""
    return [line for line in section.splitlines() if line.startswith("|")][2:]


def reported_changes() -> Iterator[WorkerStateChanged]:
    """Yields each state change that the policy can report: each event in each state of a worker."""
    for event in WorkerEvent:
        for former in WorkerState:
            state = ControllerState(DEFAULT_PARAMETERS)
            worker = WorkerRecord(LatencyHistogram(0.01, 1.5, 16), 10)
            worker.state = former
            state.workers.by_index[0] = worker
            apply_event(state, 0, event)
            for order in state.pending_orders.pop_all():
                if isinstance(order, WorkerStateChanged):
                    yield order


class LogEventTests(unittest.TestCase):
    def test_code_and_runbook_have_the_same_events(self) -> None:
        logged: set[str] = set()
        for path in program_modules():
            logged.update(event_names(ast.parse(path.read_text())))
        described = set(TABLE_ROW.findall(event_table()))
        self.assertEqual(logged, described)
        self.assertGreater(len(logged), 40)

    def test_runbook_lists_the_fields_of_each_event(self) -> None:
        described = dict(FIELDS_CELL.findall(event_table()))
        for path in program_modules():
            for event, field in event_fields(ast.parse(path.read_text())):
                with self.subTest(event=event, field=field, module=path.name):
                    self.assertRegex(described[event], rf"\b{field}\b")

    def test_each_event_has_one_row(self) -> None:
        section = event_table()
        names = TABLE_ROW.findall(section) + REASON_ROW.findall(section)
        self.assertEqual(len(table_rows(section)), len(names))
        self.assertEqual(len(names), len(set(names)))

    def test_runbook_lists_the_reasons_of_a_state_change_that_are_logged(self) -> None:
        described = set(REASON_ROW.findall(event_table()))
        self.assertEqual(described, {change.event.value for change in reported_changes()})

    def test_runbook_lists_the_states_that_are_logged(self) -> None:
        (row,) = re.findall(r"^\| `worker_state_changed` \|.*$", event_table(), re.MULTILINE)
        (states,) = re.findall(r"from_state and to_state \(([a-z_, ]+)\)", row)
        changes = list(reported_changes())
        self.assertEqual(set(states.split(", ")), {change.from_state.value for change in changes})
        self.assertEqual(set(states.split(", ")), {change.to_state.value for change in changes})

    def test_symptoms_name_only_reasons_and_states_that_are_logged(self) -> None:
        symptoms, _, _ = runbook().partition("\n## Log events\n")
        changes = list(reported_changes())
        reasons = set(re.findall(r"\breason=([a-z_]+)", symptoms))
        self.assertLessEqual(reasons, {change.event.value for change in changes})
        from_states = set(re.findall(r"\bfrom_state=([a-z_]+)", symptoms))
        self.assertLessEqual(from_states, {change.from_state.value for change in changes})
        to_states = set(re.findall(r"\bto_state=([a-z_]+)", symptoms))
        self.assertLessEqual(to_states, {change.to_state.value for change in changes})
        self.assertGreater(min(len(reasons), len(from_states), len(to_states)), 0)

    def test_runbook_lists_one_old_name_for_each_event_and_reason(self) -> None:
        section = runbook_section("Old event names")
        rows = OLD_EVENT_ROW.findall(section)
        self.assertEqual(len(rows), len(table_rows(section)))
        names = [name for name, _ in rows]
        self.assertEqual(len(names), len(set(names)))
        reasons = {name.removeprefix(REASON_PREFIX) for name in names if name.startswith(REASON_PREFIX)}
        self.assertEqual(reasons, {event.value for event in WorkerEvent})
        events = {name for name in names if not name.startswith(REASON_PREFIX)}
        self.assertEqual(events, set(TABLE_ROW.findall(event_table())))
        never_logged = {name.removeprefix(REASON_PREFIX) for name, mark in rows if mark}
        self.assertEqual(never_logged, reasons - set(REASON_ROW.findall(event_table())))

    def test_runbook_names_each_reason_of_a_rejected_order(self) -> None:
        (row,) = re.findall(r"^\| `order_rejected` \|.*$", event_table(), re.MULTILINE)
        for reason in RejectionReason:
            self.assertRegex(row, rf"\b{reason.value}\b")
