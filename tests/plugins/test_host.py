"""Tests of a single plug-in: the modules that can be loaded, and the limits on calls of a hostile one."""

from __future__ import annotations

import gc
import tempfile
import time
import unittest
from dataclasses import dataclass
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
UNREACHABLE = "wasm trap: wasm `unreachable` instruction executed"
BULK_MEMORY_BODY = "(memory.fill (i32.const 0) (i32.const 0) (i32.const 60000)) (i64.const 0)"
NO_HOOK = "exports: expected at least one of the hooks route, further, upgrade, worker, move, event"


@dataclass(frozen=True, slots=True)
class InvalidModule:
    """A module in WebAssembly text, and the error that its loading raises, without the file's path."""

    text: str
    error: str


INVALID_MODULES = (
    InvalidModule(module(version=2), "interface version: expected 1, got 2"),
    InvalidModule(module(version=0), "interface version: expected 1, got 0"),
    InvalidModule(module(hook="other"), f"{NO_HOOK}, got 'capacity, input, interface, memory, other'"),
    InvalidModule(
        module().replace('(export "memory")', ""),
        "export memory: expected a memory, got no such export",
    ),
    InvalidModule(
        module().replace('(export "capacity")', ""),
        "export capacity: expected a function, got no such export",
    ),
    InvalidModule(
        module(definitions='(export "capacity" (memory 0))').replace('(export "capacity") (r', "(r"),
        "export capacity: expected a function, got a memory",
    ),
    InvalidModule(
        module().replace("(result i64) (i64.const 0))", ")"),
        "export route: expected a function (i32) -> (i64), got a function (i32) -> ()",
    ),
    InvalidModule(
        module(imports='(import "wasi" "fd_write" (func))'),
        "import: expected cottonladder.log, got 'wasi.fd_write', which is not granted",
    ),
    InvalidModule(
        module(imports='(import "cottonladder" "random" (func (result i64)))'),
        "import: expected cottonladder.log, got 'cottonladder.random', which is not granted",
    ),
    InvalidModule(
        module().replace("i32.const 1024", "i32.const 99999999"),
        "input buffer: expected it within the 65536 bytes of memory, got address 99999999 and capacity 8192",
    ),
    InvalidModule(
        module(definitions='(func (export "self_test") (result i32) (i32.const 3))'),
        "self-test: expected 0, got 3",
    ),
    InvalidModule(
        module(definitions='(func (export "self_test") (result i32) unreachable)'),
        f"self-test: expected 0, got a failed call: {UNREACHABLE}",
    ),
    InvalidModule(
        module(definitions="(func $start unreachable) (start $start)"),
        f"instance can't be started: {UNREACHABLE}",
    ),
    InvalidModule(
        module(BULK_MEMORY_BODY),
        "module can't be compiled: Invalid input WebAssembly code at offset 123:"
        " bulk memory support is not enabled",
    ),
    InvalidModule("(module", "WebAssembly text: expected `)` at 1:8"),
    InvalidModule("", "WebAssembly text: expected at least one module field at 1:1"),
)


class PluginTestCase(unittest.TestCase):
    """A test case that loads plug-ins from WebAssembly text, with the lines that they log in `messages`."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.messages: list[str] = []

    def load(self, text: str, *grants: str) -> Plugin:
        path = self.folder / "plugin.wat"
        path.write_text(text)
        return Plugin("p", str(path), frozenset(grants), seed=7, log=self.keep_message)

    def keep_message(self, _: str, message: str) -> None:
        self.messages.append(message)


class LoadTest(PluginTestCase):
    def test_modules_that_violate_the_interface_are_rejected_with_the_reason(self) -> None:
        for case in INVALID_MODULES:
            with self.subTest(case.error), self.assertRaises(PluginLoadError) as raised:
                self.load(case.text)
            self.assertEqual(str(raised.exception), f"{self.folder / 'plugin.wat'}: {case.error}")

    def test_files_that_are_not_modules_are_rejected_with_the_reason(self) -> None:
        path = self.folder / "plugin.wat"
        for data, error in (
            (
                b"\xff(module)",
                "module: expected binary WebAssembly or UTF-8, got invalid start byte at offset 0",
            ),
            (b";" * 4194305, "module: expected at most 4194304 bytes, got 4194305"),
        ):
            path.write_bytes(data)
            with self.subTest(error), self.assertRaises(PluginLoadError) as raised:
                Plugin("p", str(path), frozenset(), seed=7, log=self.keep_message)
            self.assertEqual(str(raised.exception), f"{path}: {error}")

    def test_a_module_that_starts_with_too_much_memory_is_not_loaded(self) -> None:
        # The initial and maximum size, 1 and 4 pages of 64 KiB, become 100 and 200; the limit is 1 MiB.
        with self.assertRaises(PluginLoadError):
            self.load(module().replace("1 4)", "100 200)"))


class CallTest(PluginTestCase):
    def test_the_example_requires_the_audit_trail_label_if_a_request_has_the_header_x_matter(self) -> None:
        plugin = Plugin("audit", str(EXAMPLE_PATH), frozenset(), seed=0, log=self.keep_message)
        long_headers = {f"H{n}": "v" * 150 for n in range(48)}
        for case, headers, labels in (
            ("only this header", {"X-Matter": "42"}, ("audit-trail",)),
            ("after another header", {"Y": "x", "X-Matter": "42"}, ("audit-trail",)),
            ("within the value of another header", {"Y": "header:x-matter=1"}, ()),
            ("no headers", {}, ()),
            ("as many headers as a record may have", long_headers, ()),
        ):
            with self.subTest(case):
                record = request_record("route", "POST", "/release", "release", headers)
                self.assertEqual(plugin.call("route", record).required_labels, labels, headers)

    def test_each_call_of_a_hostile_hook_raises_its_fault_within_the_time_limit(self) -> None:
        # A collection of all objects of the whole test run can take longer than the limit.
        gc.disable()
        self.addCleanup(gc.enable)
        for name, hostile in HOSTILE_MODULES.items():
            with self.subTest(name):
                plugin = self.load(hostile.text)
                for _ in range(2):  # the second call runs in a new instance
                    started_at = time.perf_counter()
                    with self.assertRaises(PluginFault) as raised:
                        plugin.call("route", b"x")
                    self.assertEqual(raised.exception.kind, hostile.fault_kind, raised.exception)
                    self.assertEqual(str(raised.exception), f"hook route: {hostile.fault}")
                    self.assertLess(time.perf_counter() - started_at, MAX_FAILED_CALL_S)

    def test_memory_does_not_grow_over_its_limit(self) -> None:
        # The hook traps unless memory.grow fails, although the module itself allows 60,000 pages.
        grow = "(if (i32.ne (memory.grow (i32.const 1000)) (i32.const -1)) (then unreachable)) (i64.const 0)"
        self.load(module(grow, max_pages=60000)).call("route", b"x")

    def test_a_fault_discards_the_state_of_the_instance(self) -> None:
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
        # Only the first of the two log calls takes effect.  The call of `random` shows that a granted import
        # can be linked and called.
        text = module(
            "(call $log (i32.const 0) (i32.const 5)) (call $log (i32.const 0) (i32.const 5))"
            "(drop (call $random)) (i64.const 0)",
            imports=LOG_IMPORT + RANDOM_IMPORT,
            data="a\\0ab\\ffc",  # "a", a line feed, "b", a byte that is not UTF-8, "c"
        )
        self.load(text, "random").call("route", b"")
        self.assertEqual(self.messages, ["a?b\ufffdc"])


if __name__ == "__main__":
    unittest.main()
