"""Calls of hooks by wasmtime's C interface.

Reaches below the library's public names, as its version is pinned; `tests/plugins/test_plugins.py` holds what
it must do.
"""

from __future__ import annotations

import ctypes
from typing import Any

import wasmtime
from wasmtime import _ffi as ffi
from wasmtime._func import maybe_raise_last_exn


class HookCall:
    """One hook of an instance, as a function of (store, length of the record) that gives its result.

    The library's own call asks the engine for the function's type and converts by it each time: two thirds of
    a call.  A hook's type was checked at the load.
    """

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
            store._context(),
            ctypes.byref(self._func._func),
            self._params,
            1,
            self._results,
            1,
            ctypes.byref(trap),
        )
        if error:
            failed = wasmtime.WasmtimeError._from_ptr(error)
            maybe_raise_last_exn()  # what a call to the host raised
            raise failed
        if trap:
            fault = wasmtime.Trap._from_ptr(trap)
            maybe_raise_last_exn()
            raise fault
        return int(self._results[0].of.i64)
