"""One plug-in: a WebAssembly module run by wasmtime, its instance, and the limits on it.

Fuel limits the time of a call: each instruction takes one unit.  Bulk instructions such as memory.fill are
disabled, because one of them takes as long as thousands of others.  Memory, tables, the stack and calls of
host functions have limits of their own.  A plug-in has no access to files, the network or a clock.  It gets
random numbers, of a seeded generator, only if that is granted.
"""

from __future__ import annotations

import ctypes
import random
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import wasmtime

from .abi import (
    EMPTY_ANSWER,
    HOOKS,
    IMPORT_MODULE,
    INTERFACE_VERSION,
    MAX_ANSWER_BYTES,
    MAX_QUOTED_NAME_LENGTH,
    MAX_RECORD_BYTES,
    SELF_TEST,
    Answer,
    parse_answer,
)
from .errors import AnswerError, PluginFault, PluginLoadError
from .hook_call import HookCall

# Limit of a call, in instructions; this many take less than a millisecond.
FUEL_PER_CALL = 200_000
# The fuel of one call in this many is read, and counted for all of them: reading takes as long as setting it.
FUEL_SAMPLE_INTERVAL_CALLS = 16
# Limit of an instance's start and its self-test together, in instructions.
FUEL_AT_START = 2_000_000
# Limit of an instance's memory.
MAX_MEMORY_BYTES = 1 << 20
# Limit of an instance's table.
MAX_TABLE_ELEMENTS = 4096
MAX_STACK_BYTES = 256 << 10
# Limit of a module's file.
MAX_MODULE_BYTES = 4 << 20
# Limit of calls of host functions in one call of a hook.
MAX_HOST_CALLS = 64
# Limit of the one log line that a call may write.
MAX_LOG_BYTES = 200
# Characters of a message of wasmtime that an error quotes.
MAX_SUMMARY_LENGTH = 200
# Characters of the list of a module's exports that an error quotes.
MAX_QUOTED_EXPORTS_LENGTH = 60
# Precedes each cause in a message of wasmtime that lists several.
CAUSE_NUMBER = re.compile(r"^\d+: ")
# The first bytes of a module in the binary format.
BINARY_MAGIC = b"\0asm"
# Precedes the line and column in an error of wasmtime's text parser.
TEXT_POSITION_PREFIX = "--> <anon>:"
# A random number of this many bits fits a signed 64-bit integer.
RANDOM_BITS = 63
# A hook returns the address of its answer in the upper 32 bits, and the length in the lower ones.  Both are
# unsigned, but the returned integer is signed, so the mask is applied to the shifted address too.
ADDRESS_SHIFT_BITS = 32
LENGTH_MASK = 0xFFFFFFFF


@dataclass(slots=True)
class CallCounts:
    """Totals of a plug-in's calls.

    `clipped` counts answers of the whole chain that asked for more than is allowed.  `skipped` counts calls
    that the circuit breaker or the call time budget prevented.
    """

    calls: int = 0
    faults: int = 0
    clipped: int = 0
    skipped: int = 0
    duration_s: float = 0.0
    longest_s: float = 0.0
    fuel: int = 0


def create_engine() -> wasmtime.Engine:
    """Creates an engine that counts fuel; features whose time fuel does not limit are disabled."""
    config = wasmtime.Config()
    config.consume_fuel = True
    config.max_wasm_stack = MAX_STACK_BYTES
    config.wasm_bulk_memory = False
    config.wasm_threads = False
    config.wasm_multi_memory = False
    config.wasm_memory64 = False
    config.parallel_compilation = False
    return wasmtime.Engine(config)


class Plugin:
    """A module, which is compiled once, and its instance, which is replaced after each fault."""

    def __init__(
        self, name: str, path: str, grants: frozenset[str], seed: int, log: Callable[[str, str], None]
    ) -> None:
        """Compiles, checks and self-tests the module; raises PluginLoadError if it can't be used."""
        self.name = name
        self.path = path
        self.counts = CallCounts()
        self._grants = grants
        self._log = log
        self._random = random.Random(seed)
        self._host_calls = 0  # of the current call
        self._has_logged = False  # in the current call
        self._engine = create_engine()
        self._module = self._compile()
        self.hooks = self._check_exports()
        self._check_imports()
        self._store: wasmtime.Store | None = None  # None if a new instance is needed
        self._exports: Any = None
        self._calls: dict[str, HookCall] = {}
        try:
            self._instantiate()
            self._self_test()
        except PluginFault as exc:
            raise PluginLoadError(path, str(exc)) from None

    def _compile(self) -> wasmtime.Module:
        try:
            data = Path(self.path).read_bytes()
        except OSError as exc:
            raise PluginLoadError(self.path, exc.strerror) from None
        if len(data) > MAX_MODULE_BYTES:
            raise PluginLoadError(
                self.path, f"module: expected at most {MAX_MODULE_BYTES} bytes, got {len(data)}"
            )
        binary = data if data.startswith(BINARY_MAGIC) else self._assemble(data)
        try:
            return wasmtime.Module(self._engine, binary)
        except wasmtime.WasmtimeError as exc:
            raise PluginLoadError(self.path, f"module can't be compiled: {_summary_line(exc)}") from None

    def _assemble(self, data: bytes) -> bytes:
        """Translates a module from the WebAssembly text format to the binary format."""
        try:
            return bytes(wasmtime.wat2wasm(data.decode()))
        except UnicodeDecodeError as exc:
            raise PluginLoadError(
                self.path,
                f"module: expected binary WebAssembly or UTF-8, got {exc.reason} at offset {exc.start}",
            ) from None
        except wasmtime.WasmtimeError as exc:
            raise PluginLoadError(self.path, f"WebAssembly text: {_text_error(exc)}") from None

    def _check_exports(self) -> tuple[str, ...]:
        """Checks the exports; returns the hooks among them."""
        exports = {export.name: export.type for export in self._module.exports}
        if not isinstance(exports.get("memory"), wasmtime.MemoryType):
            raise PluginLoadError(
                self.path, f"export memory: expected a memory, got {_type_text(exports.get('memory'))}"
            )
        for name in ("interface", "input", "capacity"):
            if not isinstance(exports.get(name), wasmtime.FuncType):
                raise PluginLoadError(
                    self.path, f"export {name}: expected a function, got {_type_text(exports.get(name))}"
                )
        hooks = tuple(hook for hook in HOOKS if hook in exports)
        if not hooks:
            names = ", ".join(sorted(exports))[:MAX_QUOTED_EXPORTS_LENGTH]
            raise PluginLoadError(
                self.path, f"exports: expected at least one of the hooks {', '.join(HOOKS)}, got {names!r}"
            )
        for hook in hooks:
            if not _is_hook_type(exports[hook]):
                raise PluginLoadError(
                    self.path,
                    f"export {hook}: expected a function (i32) -> (i64), got {_type_text(exports[hook])}",
                )
        return hooks

    def _check_imports(self) -> None:
        allowed = {"log"} | (self._grants & {"random"})
        for wanted in self._module.imports:
            if wanted.module != IMPORT_MODULE or wanted.name not in allowed:
                expected = " or ".join(f"{IMPORT_MODULE}.{name}" for name in sorted(allowed))
                module = wanted.module[:MAX_QUOTED_NAME_LENGTH]
                name = (wanted.name or "")[:MAX_QUOTED_NAME_LENGTH]
                raise PluginLoadError(
                    self.path,
                    f"import: expected {expected}, got {module + '.' + name!r}, which is not granted",
                )

    def _instantiate(self) -> None:
        """Creates a new instance; raises PluginFault if it does not start or has no valid input buffer."""
        store = self._create_store()
        linker = self._create_linker()
        self._host_calls = 0
        self._has_logged = False
        try:
            exports = linker.instantiate(store, self._module).exports(store)
            version = exports["interface"](store)  # type: ignore[operator]
            address = exports["input"](store)  # type: ignore[operator]
            capacity = exports["capacity"](store)  # type: ignore[operator]
        except (wasmtime.WasmtimeError, wasmtime.Trap) as exc:
            raise PluginFault("start", f"instance can't be started: {_summary_line(exc)}") from None
        if version != INTERFACE_VERSION:
            raise PluginFault("start", f"interface version: expected {INTERFACE_VERSION}, got {version}")
        memory = exports["memory"]
        assert isinstance(memory, wasmtime.Memory)
        memory_bytes = memory.data_len(store)
        if not (address >= 0 and capacity > 0 and address + capacity <= memory_bytes):
            raise PluginFault(
                "start",
                f"input buffer: expected it within the {memory_bytes} bytes of memory,"
                f" got address {address} and capacity {capacity}",
            )
        self._calls = {hook: HookCall(exports[hook]) for hook in self.hooks}  # type: ignore[arg-type]
        self._store = store
        self._exports = exports
        self._memory = memory
        self._input_address = address
        self._input_capacity = min(capacity, MAX_RECORD_BYTES)

    def _create_store(self) -> wasmtime.Store:
        store = wasmtime.Store(self._engine)
        store.set_limits(
            memory_size=MAX_MEMORY_BYTES, table_elements=MAX_TABLE_ELEMENTS, instances=1, tables=1, memories=1
        )
        store.set_fuel(FUEL_AT_START)
        return store

    def _create_linker(self) -> wasmtime.Linker:
        """Links the host's functions; the module's imports were checked when it was loaded."""
        linker = wasmtime.Linker(self._engine)
        i32 = wasmtime.ValType.i32()
        i64 = wasmtime.ValType.i64()
        linker.define_func(IMPORT_MODULE, "log", wasmtime.FuncType([i32, i32], []), self._host_log)
        linker.define_func(IMPORT_MODULE, "random", wasmtime.FuncType([], [i64]), self._host_random)
        return linker

    def _self_test(self) -> None:
        test = self._exports.get(SELF_TEST) if hasattr(self._exports, "get") else None
        if test is None:
            return
        assert self._store is not None
        try:
            result = test(self._store)
        except (wasmtime.WasmtimeError, wasmtime.Trap) as exc:
            raise PluginFault(
                "self-test", f"self-test: expected 0, got a failed call: {_summary_line(exc)}"
            ) from None
        if result != 0:
            raise PluginFault("self-test", f"self-test: expected 0, got {result}")

    def _count_host_call(self) -> None:
        self._host_calls += 1
        if self._host_calls > MAX_HOST_CALLS:
            raise PluginFault(
                "host calls",
                f"host functions: expected at most {MAX_HOST_CALLS} calls, got {self._host_calls}",
            )

    def _host_log(self, address: int, size: int) -> None:
        """Implements `log`: logs the first text of a call, unless it is too long or out of bounds."""
        self._count_host_call()
        if self._has_logged or self._store is None:
            return
        self._has_logged = True
        if address >= 0 and 0 <= size <= MAX_LOG_BYTES:
            end = address + size
            if end <= self._memory.data_len(self._store):
                text = bytes(self._memory.read(self._store, address, end)).decode("utf-8", "replace")
                self._log(self.name, "".join(char if char.isprintable() else "?" for char in text))

    def _host_random(self) -> int:
        """Implements `random`: returns a number of the plug-in's own seeded generator."""
        self._count_host_call()
        return self._random.getrandbits(RANDOM_BITS)

    def call(self, hook: str, data: bytes) -> Answer:
        """Calls a hook with a record; a failed call raises PluginFault and drops the instance."""
        started_at = time.perf_counter()
        self.counts.calls += 1
        try:
            return self._call(hook, data)
        except Exception:  # a PluginFault, or an error of wasmtime
            self.counts.faults += 1
            self._store = None
            raise
        finally:
            duration_s = time.perf_counter() - started_at
            self.counts.duration_s += duration_s
            self.counts.longest_s = max(self.counts.longest_s, duration_s)

    def _call(self, hook: str, data: bytes) -> Answer:
        if self._store is None:
            self._instantiate()
        store = self._store
        assert store is not None
        self._host_calls = 0
        self._has_logged = False
        try:
            # A record that does not fit the plug-in's buffer is truncated.
            return self._read_answer(store, self._run_hook(store, hook, data[: self._input_capacity]))
        except PluginFault as exc:
            raise PluginFault(exc.kind, f"hook {hook}: {exc.reason}") from None

    def _read_answer(self, store: wasmtime.Store, packed: int) -> Answer:
        """Reads the answer at a packed address and length from the plug-in's memory."""
        address = (packed >> ADDRESS_SHIFT_BITS) & LENGTH_MASK
        size = packed & LENGTH_MASK
        if size == 0:
            return EMPTY_ANSWER
        if size > MAX_ANSWER_BYTES:
            raise PluginFault("answer", f"answer: expected at most {MAX_ANSWER_BYTES} bytes, got {size}")
        memory_bytes = self._memory.data_len(store)
        if address + size > memory_bytes:
            raise PluginFault(
                "answer",
                f"answer: expected it within the {memory_bytes} bytes of memory,"
                f" got {size} bytes at address {address}",
            )
        try:
            return parse_answer(bytes(self._memory.read(store, address, address + size)))
        except AnswerError as exc:
            raise PluginFault("answer", str(exc)) from None

    def _run_hook(self, store: wasmtime.Store, hook: str, data: bytes) -> int:
        """Writes the record and calls the hook; returns the packed address and length of its answer."""
        try:
            store.set_fuel(FUEL_PER_CALL)
            buffer = self._memory.get_buffer_ptr(store, len(data), self._input_address)
            ctypes.memmove(buffer, data, len(data))
            packed = self._calls[hook](store, len(data))
            if self.counts.calls % FUEL_SAMPLE_INTERVAL_CALLS == 1:
                self.counts.fuel += FUEL_SAMPLE_INTERVAL_CALLS * (FUEL_PER_CALL - store.get_fuel())
            return packed
        except wasmtime.Trap as exc:
            kind = str(exc.trap_code).rsplit(".", 1)[-1].lower() if exc.trap_code is not None else "trap"
            raise PluginFault(kind, _summary_line(exc)) from None
        except wasmtime.WasmtimeError as exc:
            raise PluginFault("trap", _summary_line(exc)) from None


def _is_hook_type(export_type: object) -> bool:
    """Returns whether an export is a function of type (i32) -> (i64)."""
    return (
        isinstance(export_type, wasmtime.FuncType)
        and [str(parameter) for parameter in export_type.params] == ["i32"]
        and [str(result) for result in export_type.results] == ["i64"]
    )


def _type_text(export_type: object) -> str:
    """Returns the type of an export for an error; `None` is an export that the module does not have."""
    if export_type is None:
        return "no such export"
    if isinstance(export_type, wasmtime.FuncType):
        parameters = ", ".join(str(parameter) for parameter in export_type.params)
        results = ", ".join(str(result) for result in export_type.results)
        return f"a function ({parameters}) -> ({results})"
    return f"a {type(export_type).__name__.removesuffix('Type').lower()}"


def _text_error(exc: wasmtime.WasmtimeError) -> str:
    """Returns the first line of an error of the text parser, and its position as line:column."""
    lines = [line.strip() for line in str(exc).splitlines()]
    positions = [line for line in lines if line.startswith(TEXT_POSITION_PREFIX)]
    place = f" at {positions[0].removeprefix(TEXT_POSITION_PREFIX)}" if positions else ""
    return f"{lines[0] if lines else type(exc).__name__}{place}"[:MAX_SUMMARY_LENGTH]


def _summary_line(exc: Exception) -> str:
    """Returns the last line of a message of wasmtime, which names the fault."""
    lines = [line.strip() for line in str(exc).splitlines() if line.strip()]
    summary = CAUSE_NUMBER.sub("", lines[-1]) if lines else type(exc).__name__
    return summary[:MAX_SUMMARY_LENGTH]
