"""One plug-in: what can be loaded, and what a hostile module can take."""

from __future__ import annotations

import tempfile
import time
import unittest
from pathlib import Path

from cottonladder.plugins.chain import request_record
from cottonladder.plugins.errors import PluginFault, PluginLoadError
from cottonladder.plugins.host import Plugin
from tests.plugins.modules import (
    EXAMPLE_PATH,
    HOSTILE_MODULES,
    LOG_IMPORT,
    RANDOM_IMPORT,
    module,
)

MAX_FAILED_CALL_S = 0.1


class PluginTestCase(unittest.TestCase):
    """Plug-ins from text, whose log lines are kept."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.messages: list[str] = []

    def load(self, text: str, *grants: str) -> Plugin:
        path = self.folder / "plugin.wat"
        path.write_text(text)
        return Plugin("p", str(path), frozenset(grants), 7, self.keep_message)

    def keep_message(self, _: str, message: str) -> None:
        self.messages.append(message)


class LoadTest(PluginTestCase):
    def test_modules_that_break_the_interface_are_not_loaded(self) -> None:
        bulk = "(memory.fill (i32.const 0) (i32.const 0) (i32.const 60000)) (i64.const 0)"
        for text, error in (
            (module(version=2), "interface 2, 1 expected"),
            (module(version=0), "interface 0"),
            (module(hook="other"), "none of the hooks"),
            (module().replace('(export "memory")', ""), "no export memory"),
            (module().replace('(export "capacity")', ""), "no export capacity"),
            (module().replace("(result i64) (i64.const 0))", ")"), "route is not"),
            (module(imports='(import "wasi" "fd_write" (func))'), "imports wasi.fd_write"),
            (module(imports='(import "cottonladder" "random" (func (result i64)))'), "not granted"),
            (module().replace("i32.const 1024", "i32.const 99999999"), "not within its memory"),
            (
                module(definitions='(func (export "self_test") (result i32) (i32.const 3))'),
                "self-test gives 3",
            ),
            (
                module(definitions='(func (export "self_test") (result i32) unreachable)'),
                "self-test fails",
            ),
            (module(bulk), "bulk memory"),
            ("(module", "plugin.wat"),
            ("", "plugin.wat"),
        ):
            with self.subTest(error), self.assertRaisesRegex(PluginLoadError, error):
                self.load(text)

    def test_a_module_that_starts_with_too_much_memory_is_not_loaded(self) -> None:
        with self.assertRaises(PluginLoadError):
            self.load(module().replace("1 4)", "100 200)"))


class CallTest(PluginTestCase):
    def test_the_example_asks_for_the_audit_trail_if_a_request_names_a_matter(self) -> None:
        plugin = Plugin("audit", str(EXAMPLE_PATH), frozenset(), 0, self.keep_message)
        for headers, labels in (
            ({"X-Matter": "42"}, ("audit-trail",)),
            ({"Y": "x", "X-Matter": "42"}, ("audit-trail",)),
            ({"Y": "header:x-matter=1"}, ()),
            ({}, ()),
            ({f"H{n}": "v" * 150 for n in range(48)}, ()),
        ):
            record = request_record("route", "POST", "/release", "release", headers)
            self.assertEqual(plugin.call("route", record).required_labels, labels, headers)

    def test_hostile_calls_are_faults_and_the_next_call_has_a_new_instance(self) -> None:
        for name, hostile in HOSTILE_MODULES.items():
            with self.subTest(name):
                plugin = self.load(hostile.text)
                for _ in range(2):
                    started_at = time.perf_counter()
                    with self.assertRaises(PluginFault) as raised:
                        plugin.call("route", b"x")
                    self.assertEqual(raised.exception.kind, hostile.fault_kind, raised.exception)
                    self.assertLess(time.perf_counter() - started_at, MAX_FAILED_CALL_S)

    def test_memory_does_not_grow_over_its_limit(self) -> None:
        grow = "(if (i32.ne (memory.grow (i32.const 1000)) (i32.const -1)) (then unreachable)) (i64.const 0)"
        self.load(module(grow, max_pages=60000)).call("route", b"x")

    def test_an_instance_s_state_is_gone_after_a_fault(self) -> None:
        fails_at_third_call = """(global.set $count (i32.add (global.get $count) (i32.const 1)))
          (if (i32.eq (global.get $count) (i32.const 3)) (then unreachable)) (i64.const 0)"""
        plugin = self.load(module(fails_at_third_call))
        succeeded = [self.does_call_succeed(plugin) for _ in range(6)]
        self.assertEqual(succeeded, [True, True, False, True, True, False])

    def does_call_succeed(self, plugin: Plugin) -> bool:
        try:
            plugin.call("route", b"x")
        except PluginFault:
            return False
        return True

    def test_a_call_logs_one_printable_line(self) -> None:
        text = module(
            "(call $log (i32.const 0) (i32.const 5)) (call $log (i32.const 0) (i32.const 5))"
            "(drop (call $random)) (i64.const 0)",
            imports=LOG_IMPORT + RANDOM_IMPORT,
            data="a\\0ab\\ffc",
        )
        self.load(text, "random").call("route", b"")
        self.assertEqual(self.messages, ["a?b\ufffdc"])


if __name__ == "__main__":
    unittest.main()
