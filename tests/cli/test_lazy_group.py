"""The command group imports the module of a command when the command is used."""

from __future__ import annotations

import unittest

import click

from cottonladder.cli.lazy_group import LazyGroup


class LazyGroupTests(unittest.TestCase):
    def setUp(self) -> None:
        self.group = LazyGroup(
            lazy_commands={"schema": "operator_schema:schema", "rows": "output:print_rows"}
        )
        self.context = click.Context(self.group)

    def test_a_lazy_command_is_imported_by_its_name(self) -> None:
        self.assertEqual(self.group.list_commands(self.context), ["rows", "schema"])
        command = self.group.get_command(self.context, "schema")
        self.assertIsInstance(command, click.Command)
        self.assertIsNone(self.group.get_command(self.context, "unknown"))

    def test_an_attribute_that_is_no_command_is_a_type_error(self) -> None:
        with self.assertRaises(TypeError) as error:
            self.group.get_command(self.context, "rows")
        self.assertEqual(str(error.exception), "output:print_rows must be a click.Command, got function")


if __name__ == "__main__":
    unittest.main()
