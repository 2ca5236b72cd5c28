"""One plug-in: a WebAssembly module by wasmtime, its instance, and everything that bounds it.

Fuel bounds the time of a call: every instruction costs, loops and calls too, and instructions that work in
bulk (memory.fill and the like) are not let in, as they cost one and take thousands.  Memory, tables, the
stack and calls to the host have bounds of their own.  No file, no network, no clock; chance only where it is
granted, and seeded.
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
from wasmtime import _ffi as ffi
from wasmtime._func import maybe_raise_last_exn

from ..config.errors import InputError
from .abi import (
    EMPTY_ANSWER,
    HOOKS,
    IMPORT_MODULE,
    INTERFACE_VERSION,
    MAX_ANSWER_SIZE,
    MAX_RECORD_SIZE,
    SELF_TEST,
    Answer,
    AnswerError,
    parse_answer,
)

FUEL_PER_CALL = 200_000  # instructions a call: under a millisecond
FUEL_SAMPLE_INTERVAL = 16  # calls of which one's fuel is counted for all: asking costs as much as setting it
FUEL_AT_START = 2_000_000  # of an instance's making and its self-test
MAX_MEMORY = 1 << 20  # bytes
MAX_TABLE_ELEMENTS = 4096  # elements
MAX_STACK = 256 << 10  # bytes of a call's stack
MAX_MODULE_SIZE = 4 << 20  # bytes of a file
MAX_HOST_CALLS = 64  # of one call
MAX_LOG_LENGTH = 200  # bytes of one log line; one each call


class PluginError(InputError):
    """A plug-in that can't be loaded; one plain line."""


class PluginFault(Exception):
    """A call that failed: `kind` is short, for counts."""

    def __init__(self, kind: str, why: str) -> None:
        super().__init__(why)
        self.kind = kind


@dataclass(slots=True)
class CallCounts:
    calls: int = 0
    faults: int = 0
    clipped: int = 0
    skipped: int = 0  # left alone by the breaker or the budget
    seconds: float = 0.0
    longest_s: float = 0.0
    fuel: int = 0


def create_engine() -> wasmtime.Engine:
    config = wasmtime.Config()
    config.consume_fuel = True
    config.max_wasm_stack = MAX_STACK
    config.wasm_bulk_memory = False
    config.wasm_threads = False
    config.wasm_multi_memory = False
    config.wasm_memory64 = False
    config.parallel_compilation = False
    return wasmtime.Engine(config)


class Plugin:
    """Compiled once; an instance is made anew after every fault, so that nothing poisoned stays."""

    def __init__(
        self, name: str, path: str, grants: frozenset[str], seed: int, log: Callable[[str, str], None]
    ) -> None:
        self.name, self.path, self._grants, self._log = name, path, grants, log
        self._chance = random.Random(seed)
        self.counts = CallCounts()
        self._host_calls = self._logged = 0
        try:
            data = Path(path).read_bytes()
        except OSError as exc:
            raise PluginError(f"{path}: {exc.strerror}") from None
        if len(data) > MAX_MODULE_SIZE:
            raise PluginError(f"{path}: over {MAX_MODULE_SIZE} bytes")
        self._engine = create_engine()
        try:
            text = data if data.startswith(b"\0asm") else bytes(wasmtime.wat2wasm(data.decode()))
            self._module = wasmtime.Module(self._engine, text)
        except (wasmtime.WasmtimeError, UnicodeDecodeError) as exc:
            raise PluginError(f"{path}: {_summary_line(exc)}") from None
        self._verify()
        self._store: wasmtime.Store | None = None
        self._exports: Any = None
        self._calls: dict[str, _Hook] = {}
        try:
            self._instance()
            self._self_test()
        except PluginFault as exc:
            raise PluginError(f"{path}: {exc}") from None

    def _verify(self) -> None:
        exports = {export.name: export.type for export in self._module.exports}
        if not isinstance(exports.get("memory"), wasmtime.MemoryType):
            raise PluginError(f"{self.path}: no export memory")
        for name in ("interface", "input", "capacity"):
            if not isinstance(exports.get(name), wasmtime.FuncType):
                raise PluginError(f"{self.path}: no export {name}")
        self.hooks = tuple(hook for hook in HOOKS if hook in exports)
        if not self.hooks:
            raise PluginError(f"{self.path}: none of the hooks {', '.join(HOOKS)}")
        for hook in self.hooks:
            kind = exports[hook]
            if not isinstance(kind, wasmtime.FuncType) or (
                [str(p) for p in kind.params] != ["i32"] or [str(r) for r in kind.results] != ["i64"]
            ):
                raise PluginError(f"{self.path}: {hook} is not (i32) -> i64")
        allowed = {"log"} | (self._grants & {"random"})
        for wanted in self._module.imports:
            if wanted.module != IMPORT_MODULE or wanted.name not in allowed:
                raise PluginError(f"{self.path}: imports {wanted.module}.{wanted.name}, which is not granted")

    def _instance(self) -> None:
        """A fresh one."""
        store = wasmtime.Store(self._engine)
        store.set_limits(
            memory_size=MAX_MEMORY, table_elements=MAX_TABLE_ELEMENTS, instances=1, tables=1, memories=1
        )
        store.set_fuel(FUEL_AT_START)
        linker = wasmtime.Linker(self._engine)
        i32, i64 = wasmtime.ValType.i32(), wasmtime.ValType.i64()
        linker.define_func(IMPORT_MODULE, "log", wasmtime.FuncType([i32, i32], []), self._host_log)
        linker.define_func(IMPORT_MODULE, "random", wasmtime.FuncType([], [i64]), self._host_random)
        self._host_calls = self._logged = 0
        try:
            instance = linker.instantiate(store, self._module)
            exports = instance.exports(store)
            version, at = exports["interface"](store), exports["input"](store)  # type: ignore[operator]
            capacity = exports["capacity"](store)  # type: ignore[operator]
        except (wasmtime.WasmtimeError, wasmtime.Trap) as exc:
            raise PluginFault("start", f"does not start: {_summary_line(exc)}") from None
        if version != INTERFACE_VERSION:
            raise PluginFault("start", f"interface {version}, {INTERFACE_VERSION} expected")
        memory = exports["memory"]
        assert isinstance(memory, wasmtime.Memory)
        if not (0 <= at and 0 < capacity and at + capacity <= memory.data_len(store)):
            raise PluginFault("start", "its input is not within its memory")
        self._calls = {hook: _Hook(exports[hook]) for hook in self.hooks}  # type: ignore[arg-type]
        self._store, self._exports, self._memory = store, exports, memory
        self._at, self._capacity = at, min(capacity, MAX_RECORD_SIZE)

    def _self_test(self) -> None:
        test = self._exports.get(SELF_TEST) if hasattr(self._exports, "get") else None
        if test is None:
            return
        assert self._store is not None
        try:
            said = test(self._store)
        except (wasmtime.WasmtimeError, wasmtime.Trap) as exc:
            raise PluginFault("self-test", f"its self-test fails: {_summary_line(exc)}") from None
        if said != 0:
            raise PluginFault("self-test", f"its self-test gives {said}")

    def _count(self) -> None:
        self._host_calls += 1
        if self._host_calls > MAX_HOST_CALLS:
            raise PluginFault("host calls", f"over {MAX_HOST_CALLS} calls to the host")

    def _host_log(self, at: int, size: int) -> None:
        self._count()
        if self._logged or self._store is None:
            return
        self._logged = 1
        if 0 <= at and 0 <= size <= MAX_LOG_LENGTH and at + size <= self._memory.data_len(self._store):
            words = bytes(self._memory.read(self._store, at, at + size)).decode("utf-8", "replace")
            self._log(self.name, "".join(c if c.isprintable() else "?" for c in words))

    def _host_random(self) -> int:
        self._count()
        return self._chance.getrandbits(63)

    def call(self, hook: str, data: bytes) -> Answer:
        """One call; a Fault whatever went wrong, after which the instance is another one."""
        begun = time.perf_counter()
        self.counts.calls += 1
        try:
            return self._call(hook, data)
        except Exception:  # a Fault, or the engine's own
            self.counts.faults += 1
            self._store = None
            raise
        finally:
            took = time.perf_counter() - begun
            self.counts.seconds += took
            self.counts.longest_s = max(self.counts.longest_s, took)

    def _call(self, hook: str, data: bytes) -> Answer:
        if self._store is None:
            self._instance()
        store = self._store
        assert store is not None
        self._host_calls = self._logged = 0
        data = data[: self._capacity]
        try:
            store.set_fuel(FUEL_PER_CALL)
            ctypes.memmove(self._memory.get_buffer_ptr(store, len(data), self._at), data, len(data))
            packed = self._calls[hook](store, len(data))
            if self.counts.calls % FUEL_SAMPLE_INTERVAL == 1:
                self.counts.fuel += FUEL_SAMPLE_INTERVAL * (FUEL_PER_CALL - store.get_fuel())
        except wasmtime.Trap as exc:
            kind = str(exc.trap_code).rsplit(".", 1)[-1].lower() if exc.trap_code is not None else "trap"
            raise PluginFault(kind, _summary_line(exc)) from None
        except wasmtime.WasmtimeError as exc:
            raise PluginFault("trap", _summary_line(exc)) from None
        at, size = (packed >> 32) & 0xFFFFFFFF, packed & 0xFFFFFFFF
        if size == 0:
            return EMPTY_ANSWER
        if size > MAX_ANSWER_SIZE or at + size > self._memory.data_len(store):
            raise PluginFault("answer", f"an answer of {size} bytes at {at}")
        try:
            return parse_answer(bytes(self._memory.read(store, at, at + size)))
        except AnswerError as exc:
            raise PluginFault("answer", str(exc)) from None


class _Hook:
    """A hook's call without the library's own, which asks the engine for the function's type and converts by
    it each time: two thirds of a call.  A hook's type was checked at the load.  Reaches below the library's
    public names, as its version is pinned; `tests/plugins/test_plugins.py` holds what it must do."""

    __slots__ = ("_func", "_params", "_results")

    def __init__(self, func: wasmtime.Func) -> None:
        self._func: Any = func
        self._params: Any = (ffi.wasmtime_val_t * 1)()
        self._results: Any = (ffi.wasmtime_val_t * 1)()
        self._params[0].kind = ctypes.c_ubyte(ffi.WASMTIME_I32.value)

    def __call__(self, store: wasmtime.Store, length: int) -> int:
        self._params[0].of.i32 = length
        trap: Any = ctypes.POINTER(ffi.wasm_trap_t)()
        error = ffi.wasmtime_func_call(
            store._context(), ctypes.byref(self._func._func), self._params, 1, self._results, 1,
            ctypes.byref(trap),
        )  # fmt: skip
        if error:
            failed = wasmtime.WasmtimeError._from_ptr(error)
            maybe_raise_last_exn()  # what a call to the host raised
            raise failed
        if trap:
            fault = wasmtime.Trap._from_ptr(trap)
            maybe_raise_last_exn()
            raise fault
        return int(self._results[0].of.i64)


def _summary_line(exc: Exception) -> str:
    """The telling line of an engine's long words."""
    lines = [line.strip() for line in str(exc).splitlines() if line.strip()]
    return (lines[-1] if lines else type(exc).__name__)[:200]
