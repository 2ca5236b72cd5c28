"""The text of each class of configuration error, and the descriptions of invalid values in them."""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory

from cottonladder.config.described_value import MAX_SHOWN_CHARACTERS, describe_value
from cottonladder.config.errors import (
    ConfigError,
    ConfigFileError,
    DuplicateValueError,
    FieldTooLargeError,
    FieldTypeError,
    FieldValueError,
    InputError,
    MissingFieldError,
    NotAnObjectError,
    OperatorFileError,
    UnknownNameError,
    UnknownValueError,
)
from cottonladder.config.fields import parse_host_port, read_field, read_integer, read_names, read_number
from cottonladder.config.manager_config import ManagerFile, overflows_as_config_errors
from cottonladder.config.operator_file import MAX_FILE_CHARACTERS, read_operator_config
from cottonladder.control.startup_config import read_startup_config
from tests.support.json_object import JsonObject
from tests.support.manager_program import SETTINGS, ManagerProgram

ADDRESS_FORM = "an address host:port with a port of at most 65535"
NAMES_FORM = "an array of one or more different, non-empty strings"
FORWARDER: JsonObject = {
    "node": 1,
    "zone": "a",
    "zones": ["a", "b"],
    "listen": "h:1",
    "discovery": "h:2",
    "managers": ["h:3"],
    "kinds": [{"name": "fetch"}],
}


@dataclass(frozen=True, slots=True)
class ErrorCase:
    """A call that fails, with the class and the complete text of its error."""

    call: Callable[[], object]
    error: type[InputError]
    text: str


class ErrorTextTestCase(unittest.TestCase):
    def check(self, *cases: ErrorCase) -> None:
        for case in cases:
            with self.subTest(case.text):
                with self.assertRaises(case.error) as caught:
                    case.call()
                self.assertIs(type(caught.exception), case.error)
                self.assertEqual(str(caught.exception), case.text)


class DescribedValueTests(unittest.TestCase):
    def test_a_value_is_described_by_its_json_type_or_its_text(self) -> None:
        described = (
            (None, "null"),
            (True, "true"),
            (False, "false"),
            (7, "7"),
            (1e308, "1e+308"),
            (float("nan"), "nan"),
            ("zone", "'zone'"),
            ({"a": 1}, "an object"),
            (["a", "b"], "an array of length 2"),
        )
        for value, text in described:
            with self.subTest(text):
                self.assertEqual(describe_value(value), text)

    def test_a_long_or_unprintable_value_becomes_at_most_60_printable_characters(self) -> None:
        for value in ("x" * 10_000, "\n" * 100, "é" * 59, "\x1b[31m" * 20, 10**400, -1e-300):
            with self.subTest(value):
                text = describe_value(value)
                self.assertLessEqual(len(text), MAX_SHOWN_CHARACTERS)
                self.assertTrue(text.isascii() and text.isprintable(), text)
        self.assertEqual(describe_value("x" * 100), "'" + "x" * 56 + "...")
        self.assertEqual(describe_value("x" * 58), "'" + "x" * 58 + "'")


class FieldErrorTextTests(ErrorTextTestCase):
    def test_an_error_of_a_field_states_the_expected_and_the_given_value(self) -> None:
        self.check(
            ErrorCase(
                partial(read_field, [1], "port", int, "file"),
                NotAnObjectError,
                "file: must be an object, got an array of length 1",
            ),
            ErrorCase(
                partial(read_field, {}, "port", int, "file"),
                MissingFieldError,
                "file: field port is missing, expected an integer",
            ),
            ErrorCase(
                partial(read_field, {"port": "x"}, "port", int, "file"),
                FieldTypeError,
                "file: field port must be an integer, got 'x'",
            ),
            ErrorCase(
                partial(read_number, {"rate": True}, "rate", "file"),
                FieldTypeError,
                "file: field rate must be a number, got true",
            ),
            ErrorCase(
                partial(read_number, {"rate": 1e13}, "rate", "file"),
                FieldTooLargeError,
                "file: field rate is too large: must be at most 1e+12, got 10000000000000.0",
            ),
            ErrorCase(
                partial(read_integer, {"count": 2}, "count", "file", minimum=3),
                FieldValueError,
                "file: field count must be at least 3, got 2",
            ),
            ErrorCase(
                partial(parse_host_port, "h:65536", "listen", "file"),
                FieldValueError,
                f"file: field listen must be {ADDRESS_FORM}, got 'h:65536'",
            ),
        )

    def test_an_invalid_list_of_names_is_reported_with_its_first_invalid_item(self) -> None:
        for names, got in (([], "an array of length 0"), (["a", ""], "''"), ([None], "null")):
            self.check(
                ErrorCase(
                    partial(read_names, {"Zones": names}, "Zones", "file"),
                    FieldValueError,
                    f"file: field Zones must be {NAMES_FORM}, got {got}",
                )
            )
        self.check(
            ErrorCase(
                partial(read_names, {"Zones": ["a", "b", "a"]}, "Zones", "file"),
                DuplicateValueError,
                "file: field Zones must not list 'a' more than once",
            )
        )

    def test_an_unknown_value_is_reported_with_the_known_values(self) -> None:
        error = UnknownValueError("event", "Mode", (0, 1, 2), 3)
        self.assertEqual(str(error), "event: field Mode must be one of 0, 1, 2, got 3")

    def test_the_summary_leaves_out_the_received_value(self) -> None:
        for error, summary in (
            (ConfigError("file", "not JSON", "'x'"), "file: not JSON"),
            (OperatorFileError("file", "$.node", "not a number"), "file: $.node: not a number"),
            (NotAnObjectError("file", 7), "file: must be an object"),
            (
                UnknownNameError("file", "zone", "x"),
                "file: unknown zone, expected one from the settings",
            ),
            (MissingFieldError("file", "a", "a string"), "file: field a is missing, expected a string"),
            (FieldTypeError("file", "a", "a string", 7), "file: field a must be a string"),
            (FieldTooLargeError("file", "a", 5, 7), "file: field a is too large: must be at most 5"),
            (FieldValueError("file", "a", "at least 8", 7), "file: field a must be at least 8"),
            (DuplicateValueError("file", "a", "x"), "file: field a must not list a value more than once"),
            (UnknownValueError("file", "a", (1, 2), 7), "file: field a must be one of 1, 2"),
        ):
            with self.subTest(type(error).__name__):
                self.assertEqual(error.summary, summary)


class ManagerFileErrorTextTests(ErrorTextTestCase):
    def setUp(self) -> None:
        self.path = str(Path(self.enterContext(TemporaryDirectory())) / "manager.json")
        self.valid = ManagerProgram("127.0.0.1:1").config

    def read(self, text: str) -> object:
        Path(self.path).write_text(text)
        return read_startup_config(self.path)

    def test_a_file_that_can_not_be_decoded_is_reported_with_its_path(self) -> None:
        self.check(
            ErrorCase(
                partial(ManagerFile.load, ""),
                ConfigFileError,
                "manager's file: no path given, expected --config or ROUTER_CONFIG",
            ),
            ErrorCase(
                partial(ManagerFile.load, self.path),
                ConfigFileError,
                f"{self.path}: No such file or directory",
            ),
            ErrorCase(
                partial(self.read, "[1"),
                ConfigFileError,
                f"{self.path}: not JSON: Expecting ',' delimiter: line 1 column 3 (char 2)",
            ),
            ErrorCase(
                partial(self.read, "[" * 100_000),
                ConfigFileError,
                f"{self.path}: not JSON: nested too deeply",
            ),
        )

    def test_an_invalid_value_is_reported_with_path_and_field(self) -> None:
        slices = {**SETTINGS, "FamilyInfo": {**SETTINGS["FamilyInfo"], "KeyRanges": 4}}
        self.check(
            ErrorCase(
                partial(self.read, json.dumps({**self.valid, "seed": "xyz"})),
                FieldValueError,
                f"{self.path}: field seed must be a hexadecimal number, got 'xyz'",
            ),
            ErrorCase(
                partial(self.read, json.dumps({**self.valid, "settings": slices})),
                FieldValueError,
                f"{self.path}: settings: field KeyRanges must be 0 (the wire protocol has no slices), got 4",
            ),
        )

    def test_an_unknown_name_is_reported_with_its_kind(self) -> None:
        settings = read_startup_config(self.write(json.dumps(self.valid))).settings
        self.check(
            ErrorCase(
                partial(settings.zone_index, "z", "file"),
                UnknownNameError,
                "file: unknown zone 'z', expected one from the settings",
            ),
            ErrorCase(
                partial(settings.request_class_index, "c", "file"),
                UnknownNameError,
                "file: unknown request class 'c', expected one from the settings",
            ),
        )

    def test_an_integer_beyond_the_range_of_a_float_is_reported_with_the_path(self) -> None:
        def overflow() -> None:
            with overflows_as_config_errors(self.path):
                float(10**400)

        self.check(
            ErrorCase(
                overflow,
                ConfigError,
                f"{self.path}: a number is too large: int too large to convert to float",
            )
        )

    def write(self, text: str) -> str:
        Path(self.path).write_text(text)
        return self.path


class OperatorFileErrorTextTests(ErrorTextTestCase):
    def setUp(self) -> None:
        self.path = str(Path(self.enterContext(TemporaryDirectory())) / "operator.json5")

    def read(self, text: str) -> object:
        Path(self.path).write_text(text)
        return read_operator_config(self.path)

    def check_section(self, section: str, body: JsonObject, error: type[InputError], text: str) -> None:
        case = ErrorCase(partial(self.read, json.dumps({section: body})), error, f"{self.path}: {text}")
        self.check(case)

    def test_a_file_that_can_not_be_decoded_is_reported_with_its_path(self) -> None:
        self.check(
            ErrorCase(
                partial(self.read, " " * (MAX_FILE_CHARACTERS + 1)),
                ConfigFileError,
                f"{self.path}: too large: must have at most 1048576 characters",
            ),
            ErrorCase(
                partial(self.read, "[" * 100_000),
                ConfigFileError,
                f"{self.path}: not JSON5: nested too deeply",
            ),
        )
        Path(self.path).write_bytes(b"{\xff}")
        self.check(
            ErrorCase(
                partial(read_operator_config, self.path), ConfigFileError, f"{self.path}: not UTF-8 (byte 1)"
            )
        )

    def test_a_value_of_the_wrong_type_is_reported_with_its_json_path(self) -> None:
        text = "$.forwarder.node: Expected `int`, got `str`"
        self.check_section("forwarder", {**FORWARDER, "node": "x"}, OperatorFileError, text)

    def test_an_invalid_forwarder_section_is_reported_with_its_json_path(self) -> None:
        faults: tuple[tuple[JsonObject, str], ...] = (
            ({"zone": "z"}, "$.forwarder.zone: must be one of $.forwarder.zones, got 'z'"),
            ({"zones": ["a", "a"]}, "$.forwarder.zones: must not list 'a' more than once"),
            ({"kinds": [{"name": "x"}] * 2}, "$.forwarder.kinds: must not list 'x' more than once"),
            ({"managers": ["h:3", "h:3"]}, "$.forwarder.managers: must not list 'h:3' more than once"),
            (
                {"kinds": [{"name": "a+b"}]},
                "$.forwarder.kinds[0].name: must not contain '+', which joins names on the wire, got 'a+b'",
            ),
        )
        for changes, text in faults:
            self.check_section("forwarder", {**FORWARDER, **changes}, OperatorFileError, text)
        text = f"$.forwarder: field managers[1] must be {ADDRESS_FORM}, got 'h:70000'"
        changes = {"managers": ["h:3", "h:70000"]}
        self.check_section("forwarder", {**FORWARDER, **changes}, FieldValueError, text)

    def test_an_invalid_advice_section_is_reported_with_its_json_path(self) -> None:
        dfp = {"protocol": "dfp", "listen": "h:1"}
        sasp = {"protocol": "sasp", "at": "h:1"}
        faults: tuple[tuple[JsonObject, str], ...] = (
            (
                {"serve": [dfp, dfp]},
                "$.advice.serve[1]: must have a different address from the earlier entries, got 'h:1'",
            ),
            (
                {"serve": [{**dfp, "tls": {}}]},
                "$.advice.serve[0].tls: is valid only with protocol sasp (DFP has no TLS), got dfp",
            ),
            (
                {"follow": [{**sasp, "secret": {"key": 1, "file": "f"}}]},
                "$.advice.follow[0].secret: is valid only with protocol dfp, got sasp",
            ),
        )
        for body, text in faults:
            self.check_section("advice", body, OperatorFileError, text)
        for body, text in (
            ({"serve": [{**dfp, "listen": "h:65536"}]}, "$.advice.serve[0]: field listen"),
            ({"follow": [{**sasp, "at": "h:65536"}]}, "$.advice.follow[0]: field at"),
        ):
            text = f"{text} must be {ADDRESS_FORM}, got 'h:65536'"
            self.check_section("advice", body, FieldValueError, text)


if __name__ == "__main__":
    unittest.main()
