"""The manager's file with values that are not valid: one line names the fault, or the manager can decide."""

from __future__ import annotations

import asyncio
import copy
import json
import unittest
from collections.abc import Iterator
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

Place = tuple[str | int, ...]  # names and indices that lead from the file's root to a value

ODD_VALUES: tuple[Any, ...] = (
    None,
    "",
    [],
    {},
    0,
    -1,
    1e308,
    -1e308,
    10**30,
    "x",
    True,
    float("nan"),
    float("inf"),
    [None],
    ["a", "a"],
)
START_TIME_S = 1000.0
TICK_S = 0.25
TICK_COUNT = 40  # ten seconds


def places_in(body: Any, parent: Place = ()) -> Iterator[Place]:
    """The places of all values of a file; of a list only its first item's."""
    items: list[tuple[str | int, Any]] = []
    if isinstance(body, dict):
        items = list(body.items())
    elif isinstance(body, list):
        items = list(enumerate(body[:1]))
    for name, value in items:
        place = (*parent, name)
        yield place
        yield from places_in(value, place)


def with_value(body: JsonObject, place: Place, value: Any) -> JsonObject:
    """A copy of the file with another value at this place."""
    changed = copy.deepcopy(body)
    parent: Any = changed
    for name in place[:-1]:
        parent = parent[name]
    parent[place[-1]] = value
    return changed


def decide_for_ten_seconds(config: StartupConfig) -> None:
    """Runs a controller on the configuration, with one proxy and reports of one worker."""
    controller = RoutingController(config.settings.parameters)
    controller.decide(START_TIME_S, [config.starting_list.endpoints, ProxyConnected(0, 0, 10.0, True)])
    reports: list[Input] = [
        LoadReport(0, 0, 20, 1, 1.0, 0.1, {}),
        ArrivalReport(0, 0, 20, 0, 1.0),
    ]
    for tick in range(TICK_COUNT):
        now = START_TIME_S + TICK_S * (tick + 1)
        controller.decide(now, [TimerFired(tick + 1), *reports])


class ManagerFileTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(TemporaryDirectory())
        self.path = Path(folder) / "config.json"
        self.valid = ManagerProgram("127.0.0.1:1").config

    def read(self, body: JsonObject) -> StartupConfig:
        self.path.write_text(json.dumps(body))
        return read_startup_config(str(self.path))

    def test_every_field_with_every_odd_value(self) -> None:
        """Either the error is one line that names a field, or a controller can decide."""
        for place in places_in(self.valid):
            for value in ODD_VALUES:
                with self.subTest(place=place, value=value):
                    try:
                        config = self.read(with_value(self.valid, place, value))
                    except InputError as exc:
                        self.assertNotIn("\n", str(exc))
                        self.assertRegex(str(exc), "field|not JSON|object|zone|address|unknown")
                        continue
                    decide_for_ten_seconds(config)

    def test_faults_are_reported_in_order(self) -> None:
        """Of several faults the first is reported: of the settings, the known list, then the addresses."""
        bad_listen = with_value(self.valid, ("listen",), 1)
        with self.assertRaises(FieldTypeError) as listen_error:
            self.read(bad_listen)
        self.assertEqual(str(listen_error.exception), "configuration: field listen has the wrong type (int)")
        bad_known = with_value(bad_listen, ("known", "servers", 0, "zone"), None)
        with self.assertRaises(MissingFieldError) as known_error:
            self.read(bad_known)
        self.assertEqual(str(known_error.exception), "configuration: known: field zone is missing")
        bad_settings = with_value(bad_known, ("settings", "Rules"), None)
        with self.assertRaises(MissingFieldError) as settings_error:
            self.read(bad_settings)
        self.assertEqual(str(settings_error.exception), "configuration: settings: field Rules is missing")


class RejectedStartTests(ManagerTestCase):
    """The program's start with a file that is not valid."""

    INVALID_VALUES: tuple[tuple[Place, Any], ...] = (
        (("settings", "Zones"), []),
        (("settings", "Profiles"), None),
        (("limits", "sockets"), 0),
        (("settings", "FamilyInfo", "EgressPerS"), 0),
        (("settings", "FamilyInfo", "Proxies"), -3),
        (("settings", "Rules", "ColdFrom"), "much"),
    )

    async def test_the_program_says_which_field(self) -> None:
        programs: list[tuple[str, ManagerProgram]] = []
        for place, value in self.INVALID_VALUES:  # all are started first, so that they run beside each other
            program = ManagerProgram(self.discovery_address)
            await program.start(json.dumps(with_value(program.config, place, value)))
            programs.append((str(place[-1]), program))
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
