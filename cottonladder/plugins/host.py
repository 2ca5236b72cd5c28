"""One plug-in: a WebAssembly module run by wasmtime, its instance, and the limits on it.

Fuel limits the time of a call: each instruction takes one unit.  Bulk instructions such as memory.fill are
disabled, because one of them takes as long as thousands of others.  Memory, tables, the stack and calls to
the host have limits of their own.  A plug-in has no access to files, the network or a clock, and to random
numbers only if that is granted, from a seeded generator.
"""

from __future__ import annotations

import ctypes
import random
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
    MAX_RECORD_BYTES,
    SELF_TEST,
    Answer,
    parse_answer,
)
from .errors import AnswerError, PluginFault, PluginLoadError
from .hook_call import HookCall

# Instructions of a call, which take less than a millisecond.
FUEL_PER_CALL = 200_000
# Calls for which one call's fuel is counted, because reading it takes as long as setting it.
FUEL_SAMPLE_INTERVAL_CALLS = 16
# Instructions of an instance's start and its self-test.
FUEL_AT_START = 2_000_000
# Size of an instance's memory.
MAX_MEMORY_BYTES = 1 << 20
# Elements of an instance's tables.
MAX_TABLE_ELEMENTS = 4096
# Size of a call's stack.
MAX_STACK_BYTES = 256 << 10
# Size of a module's file.
MAX_MODULE_BYTES = 4 << 20
# Calls to the host in one call of a hook.
MAX_HOST_CALLS = 64
# Size of the one log line that a call may write.
MAX_LOG_BYTES = 200
# Characters of an engine's message that an error quotes.
MAX_SUMMARY_LENGTH = 200
# Bits of a random number for a plug-in, which fit a signed 64-bit integer.
RANDOM_BITS = 63
# Lower half of a packed answer, which is its length.
LENGTH_MASK = 0xFFFFFFFF
# Bits by which the address in a packed answer is shifted.
ADDRESS_SHIFT_BITS = 32


@dataclass(slots=True)
class CallCounts:
    """Totals of a plug-in's calls.

    `clipped` counts requests of any plug-in of the chain for more than is allowed, `skipped` the calls that
    the circuit breaker or the CPU budget prevented.
    """

    calls: int = 0
    faults: int = 0
    clipped: int = 0
    skipped: int = 0
    duration_s: float = 0.0
    longest_s: float = 0.0
    fuel: int = 0


def create_engine() -> wasmtime.Engine:
    """Creates an engine that counts fuel, without the features whose time fuel does not limit."""
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
    """A module that is compiled once, with an instance that is replaced after each fault."""

    def __init__(
        self, name: str, path: str, grants: frozenset[str], seed: int, log: Callable[[str, str], None]
    ) -> None:
        """Loads, checks and tests the module; raises PluginLoadError if it can't be used."""
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
            raise PluginLoadError(self.path, f"over {MAX_MODULE_BYTES} bytes")
        try:
            binary = data if data.startswith(b"\0asm") else bytes(wasmtime.wat2wasm(data.decode()))
            return wasmtime.Module(self._engine, binary)
        except (wasmtime.WasmtimeError, UnicodeDecodeError) as exc:
            raise PluginLoadError(self.path, _summary_line(exc)) from None

    def _check_exports(self) -> tuple[str, ...]:
        """Returns the hooks that the module exports, after a check of all exports."""
        exports = {export.name: export.type for export in self._module.exports}
        if not isinstance(exports.get("memory"), wasmtime.MemoryType):
            raise PluginLoadError(self.path, "no export memory")
        for name in ("interface", "input", "capacity"):
            if not isinstance(exports.get(name), wasmtime.FuncType):
                raise PluginLoadError(self.path, f"no export {name}")
        hooks = tuple(hook for hook in HOOKS if hook in exports)
        if not hooks:
            raise PluginLoadError(self.path, f"none of the hooks {', '.join(HOOKS)}")
        for hook in hooks:
            if not _is_hook_type(exports[hook]):
                raise PluginLoadError(self.path, f"{hook} is not (i32) -> i64")
        return hooks

    def _check_imports(self) -> None:
        allowed = {"log"} | (self._grants & {"random"})
        for wanted in self._module.imports:
            if wanted.module != IMPORT_MODULE or wanted.name not in allowed:
                raise PluginLoadError(
                    self.path, f"imports {wanted.module}.{wanted.name}, which is not granted"
                )

    def _instantiate(self) -> None:
        """Creates a new instance; raises PluginFault if it does not start."""
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
            raise PluginFault("start", f"does not start: {_summary_line(exc)}") from None
        if version != INTERFACE_VERSION:
            raise PluginFault("start", f"interface {version}, {INTERFACE_VERSION} expected")
        memory = exports["memory"]
        assert isinstance(memory, wasmtime.Memory)
        if not (address >= 0 and capacity > 0 and address + capacity <= memory.data_len(store)):
            raise PluginFault("start", "its input is not within its memory")
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
            raise PluginFault("self-test", f"its self-test fails: {_summary_line(exc)}") from None
        if result != 0:
            raise PluginFault("self-test", f"its self-test gives {result}")

    def _count_host_call(self) -> None:
        self._host_calls += 1
        if self._host_calls > MAX_HOST_CALLS:
            raise PluginFault("host calls", f"over {MAX_HOST_CALLS} calls to the host")

    def _host_log(self, address: int, size: int) -> None:
        """Implements `log`: one line in each call; a text that is too long or out of bounds is dropped."""
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
        """Implements `random` with the plug-in's own seeded generator."""
        self._count_host_call()
        return self._random.getrandbits(RANDOM_BITS)

    def call(self, hook: str, data: bytes) -> Answer:
        """Calls a hook with a record; a failed call raises PluginFault and drops the instance."""
        started_at = time.perf_counter()
        self.counts.calls += 1
        try:
            return self._call(hook, data)
        except Exception:  # a PluginFault, or an error of the engine
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
        # The plug-in's buffer may be smaller than a record, whose last line is then cut.
        packed = self._run(store, hook, data[: self._input_capacity])
        address = (packed >> ADDRESS_SHIFT_BITS) & LENGTH_MASK
        size = packed & LENGTH_MASK
        if size == 0:
            return EMPTY_ANSWER
        if size > MAX_ANSWER_BYTES or address + size > self._memory.data_len(store):
            raise PluginFault("answer", f"an answer of {size} bytes at {address}")
        try:
            return parse_answer(bytes(self._memory.read(store, address, address + size)))
        except AnswerError as exc:
            raise PluginFault("answer", str(exc)) from None

    def _run(self, store: wasmtime.Store, hook: str, data: bytes) -> int:
        """Writes the record and runs the hook; returns the packed address and length of its answer."""
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
    """Whether an export is a function with the type (i32) -> i64."""
    return (
        isinstance(export_type, wasmtime.FuncType)
        and [str(parameter) for parameter in export_type.params] == ["i32"]
        and [str(result) for result in export_type.results] == ["i64"]
    )


def _summary_line(exc: Exception) -> str:
    """The last line of an engine's message, which names the fault."""
    lines = [line.strip() for line in str(exc).splitlines() if line.strip()]
    return (lines[-1] if lines else type(exc).__name__)[:MAX_SUMMARY_LENGTH]
