"""Plug-ins for tests, as WebAssembly text."""

from __future__ import annotations

from dataclasses import dataclass

from cottonladder.testbed.fleet import ROOT

EXAMPLE_PATH = ROOT / "deploy" / "plugins" / "audit-trail.wat"
LOG_IMPORT = '(import "cottonladder" "log" (func $log (param i32 i32)))'
RANDOM_IMPORT = '(import "cottonladder" "random" (func $random (result i64)))'
NO_ANSWER = "(i64.const 0)"
TEMPLATE = """(module {imports} (memory (export "memory") 1 {max_pages})
  (func (export "interface") (result i32) (i32.const {version}))
  (func (export "input") (result i32) (i32.const 1024))
  (func (export "capacity") (result i32) (i32.const 8192))
  (global $count (mut i32) (i32.const 0)) {definitions} (data (i32.const 0) "{data}")
  (func $hook (export "{hook}") (param $len i32) (result i64) {body}))"""


def module(
    body: str = NO_ANSWER,
    *,
    hook: str = "route",
    imports: str = "",
    max_pages: int = 4,
    version: int = 1,
    definitions: str = "",
    data: str = "",
) -> str:
    """Returns a plug-in with one hook, whose function has this body."""
    return TEMPLATE.format(
        body=body,
        hook=hook,
        imports=imports,
        max_pages=max_pages,
        version=version,
        definitions=definitions,
        data=data,
    )


def answering(answer: str, hook: str = "route") -> str:
    """Returns a plug-in whose hook always returns this answer."""
    return module(f"(i64.const {len(answer)})", hook=hook, data=answer.replace("\n", "\\0a"))


@dataclass(frozen=True)
class HostileModule:
    """A plug-in whose hook always fails, and the fault that a call raises."""

    text: str
    fault_kind: str
    fault: str


HOSTILE_MODULES = {
    "loops": HostileModule(
        module("(loop $l (br $l)) (i64.const 0)"),
        "out_of_fuel",
        "wasm trap: all fuel consumed by WebAssembly",
    ),
    "recurses": HostileModule(
        module("(call $hook (i32.const 0))"), "stack_overflow", "wasm trap: call stack exhausted"
    ),
    "traps": HostileModule(
        module("(unreachable)"), "unreachable", "wasm trap: wasm `unreachable` instruction executed"
    ),
    "reads outside": HostileModule(
        module("(i64.load (i32.const 2000000000))"),
        "memory_out_of_bounds",
        "wasm trap: out of bounds memory access",
    ),
    "answers outside": HostileModule(
        module("(i64.const 0x7fffffff00000010)"),
        "answer",
        "answer: expected it within the 65536 bytes of memory, got 16 bytes at address 2147483647",
    ),
    "answers too many bytes": HostileModule(
        module("(i64.const 0xfffff)"), "answer", "answer: expected at most 4096 bytes, got 1048575"
    ),
    "answers invalid UTF-8": HostileModule(
        answering("\\ff\\fe=1"), "answer", "answer: expected UTF-8, got invalid start byte at offset 0"
    ),
    "contradicts itself": HostileModule(
        answering("deny=a\ndeny=b"), "answer", "answer field deny: expected at most one line, got 2"
    ),
    "answers unknown names": HostileModule(
        answering("drain=s-1"),
        "answer",
        "answer: expected fields deny, drop, factor, forbid, kind, need, prefer, set, got 'drain'",
    ),
    "calls the host a million times": HostileModule(
        module(
            "(local $i i32) (loop $l (call $log (i32.const 0) (i32.const 1))"
            "(local.set $i (i32.add (local.get $i) (i32.const 1)))"
            "(br_if $l (i32.lt_u (local.get $i) (i32.const 1000000)))) (i64.const 0)",
            imports=LOG_IMPORT,
        ),
        "host calls",
        "host functions: expected at most 64 calls, got 65",
    ),
}
