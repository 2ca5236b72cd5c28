"""Invalid values in the manager's file: reading it raises an error of one line, or the controller runs."""

from __future__ import annotations

import asyncio
import copy
import json
import unittest
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, cast

from cottonladder.config.errors import FieldTypeError, InputError, MissingFieldError
from cottonladder.control.startup_config import StartupConfig, read_startup_config
from cottonladder.model.inputs import (
    ArrivalReport,
    Input,
    LoadReport,
    ProxyConnected,
    TimerFired,
)
from cottonladder.policy.controller import RoutingController
from tests.support.json_object import JsonObject
from tests.support.manager_program import ManagerProgram
from tests.support.manager_test_case import ManagerTestCase
from tests.support.timeouts import in_time

JsonPath = tuple[str | int, ...]  # names and indices that lead from the file's root to a value

UNREACHABLE_ADDRESS = "127.0.0.1:1"
EDGE_VALUES: tuple[Any, ...] = (
    # null and empty
    None,
    "",
    [],
    {},
    # at and beyond the ends of ranges
    0,
    -1,
    1e308,
    -1e308,
    10**30,
    # of another type
    "x",
    True,
    # not finite
    float("nan"),
    float("inf"),
    # lists of invalid and of equal items
    [None],
    ["a", "a"],
)
START_TIME_S = 1000.0
TICK_S = 0.25
TICK_COUNT = 40


@dataclass(frozen=True, slots=True)
class FieldFault:
    """An invalid value of a field, with the class of its error and the text after the path of the file."""

    path: JsonPath
    value: Any
    error: type[InputError]
    text: str


def json_paths(body: Any, parent: JsonPath = ()) -> Iterator[JsonPath]:
    """Yields the paths of all values of a file (of a list, only its first item)."""
    items: list[tuple[str | int, Any]] = []
    if isinstance(body, dict):
        items = list(body.items())
    elif isinstance(body, list):
        items = list(enumerate(body[:1]))
    for name, value in items:
        path = (*parent, name)
        yield path
        yield from json_paths(value, path)


def with_value_at(body: JsonObject, path: JsonPath, value: Any) -> JsonObject:
    """Returns a copy of the file with another value at this path."""
    changed = copy.deepcopy(body)
    parent: Any = changed
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    return changed


def default_manager_config(discovery_address: str) -> JsonObject:
    """Returns the content of a valid file."""
    return ManagerProgram(discovery_address).config


def run_controller(config: StartupConfig) -> None:
    """Runs a controller for `TICK_COUNT` ticks, with one proxy and the reports of one worker."""
    controller = RoutingController(config.settings.parameters)
    proxy = ProxyConnected(proxy=0, zone=0, requests_per_s=10.0, has_no_table=True)
    controller.decide_orders(START_TIME_S, [config.starting_list.endpoints, proxy])
    reports: list[Input] = [
        LoadReport(worker_index=0, zone=0, attempts=20, failed=1, interval_s=1.0, duration_s=0.1, metrics={}),
        ArrivalReport(proxy=0, class_index=0, requests=20, unanswered=0, interval_s=1.0),
    ]
    for tick in range(TICK_COUNT):
        now = START_TIME_S + TICK_S * (tick + 1)
        controller.decide_orders(now, [TimerFired(tick + 1), *reports])


class ManagerFileTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(TemporaryDirectory())
        self.path = Path(folder) / "config.json"
        self.valid = default_manager_config(UNREACHABLE_ADDRESS)

    def read(self, body: JsonObject) -> StartupConfig:
        self.path.write_text(json.dumps(body))
        return read_startup_config(str(self.path))

    def test_every_edge_value_in_every_field_is_rejected_or_usable(self) -> None:
        """Reading either raises an error of one line that states the fault, or a controller runs."""
        for path in json_paths(self.valid):
            for value in EDGE_VALUES:
                with self.subTest(path=path, value=value):
                    try:
                        config = self.read(with_value_at(self.valid, path, value))
                    except InputError as exc:
                        self.assertNotIn("\n", str(exc))
                        self.assertRegex(str(exc), "field|not JSON|object|zone|address|unknown")
                        continue
                    run_controller(config)

    def test_faults_are_reported_in_order(self) -> None:
        """Faults are reported first for the settings, then for the known list, then for the addresses."""
        faults = (
            FieldFault(("listen",), 1, FieldTypeError, "field listen must be a string, got 1"),
            FieldFault(
                ("known", "servers", 0, "zone"),
                None,
                MissingFieldError,
                "known: field zone is missing, expected a string",
            ),
            FieldFault(
                ("settings", "Rules"),
                None,
                MissingFieldError,
                "settings: field Rules is missing, expected an object",
            ),
        )
        body = self.valid
        for fault in faults:  # each is reported before the ones above it
            body = with_value_at(body, fault.path, fault.value)
            with self.subTest(path=fault.path):
                with self.assertRaises(fault.error) as raised:
                    self.read(body)
                self.assertEqual(str(raised.exception), f"{self.path}: {fault.text}")


class RejectedStartTests(ManagerTestCase):
    """Starts of the program with an invalid file."""

    INVALID_VALUES: tuple[tuple[JsonPath, Any], ...] = (
        (("settings", "Zones"), []),
        (("settings", "Profiles"), None),
        (("limits", "sockets"), 0),
        (("settings", "FamilyInfo", "EgressPerS"), 0),
        (("settings", "FamilyInfo", "Proxies"), -3),
        (("settings", "Rules", "ColdFrom"), "much"),
    )

    async def test_an_invalid_field_is_named_on_standard_error(self) -> None:
        programs: list[tuple[str, ManagerProgram]] = []
        for path, value in self.INVALID_VALUES:  # all programs are started first, so they run in parallel
            program = ManagerProgram(self.discovery_address)
            await program.start(json.dumps(with_value_at(program.config, path, value)))
            self.addAsyncCleanup(self.end, program)  # also runs if an assertion fails
            programs.append((str(path[-1]), program))
        for field_name, program in programs:
            with self.subTest(field_name):
                error_stream = cast(asyncio.StreamReader, program.process.stderr)
                errors = (await in_time(error_stream.read())).decode()
                self.assertEqual(await program.ended(), 2)
                self.assertEqual(errors.count("\n"), 1, errors)
                self.assertEqual(program.lines, [], errors)
                self.assertIn(f"field {field_name} ", errors)


if __name__ == "__main__":
    unittest.main()
