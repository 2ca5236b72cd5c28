"""Calls of hooks through wasmtime's C interface.

The module uses private names of the library, whose version is pinned; `tests/plugins/test_host.py` tests the
behaviour of calls.
"""

from __future__ import annotations

import ctypes
from typing import Any

import wasmtime
from wasmtime import _ffi as ffi
from wasmtime._func import maybe_raise_last_exn


class HookCall:
    """A hook of an instance; a call takes the store and the length of the record, and returns the result.

    The library's own call looks up the function's type and converts arguments by it each time, which takes
    two thirds of a call's duration.  The type of a hook is checked once, when its module is loaded.
    """

    __slots__ = ("_func", "_params", "_results")

    def __init__(self, func: wasmtime.Func) -> None:
        self._func: Any = func
        self._params: Any = (ffi.wasmtime_val_t * 1)()
        self._results: Any = (ffi.wasmtime_val_t * 1)()
        self._params[0].kind = ctypes.c_ubyte(ffi.WASMTIME_I32.value)

    def __call__(self, store: wasmtime.Store, length: int) -> int:
        """Calls the hook; raises WasmtimeError, Trap, or the exception of a host function."""
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
            failure = wasmtime.WasmtimeError._from_ptr(error)
            maybe_raise_last_exn()  # an exception of a host function takes precedence
            raise failure
        if trap:
            fault = wasmtime.Trap._from_ptr(trap)
            maybe_raise_last_exn()
            raise fault
        return int(self._results[0].of.i64)
