"""Runs the program with changed constants, so that tests do not have to wait for long intervals.

TEST_CONSTANTS='{"package.module.NAME_S": 1.0}' python -m tests.support.program_with_constants serve
"""

from __future__ import annotations

import json
import os
import runpy
from collections.abc import Mapping
from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # not imported in the program under test
    from cottonladder.testbed.fleet import Process

CONSTANTS_VARIABLE = "TEST_CONSTANTS"


def set_constants(values: Mapping[str, float]) -> None:
    """Sets constants by their full names; raises AttributeError if one does not exist."""
    for name, value in values.items():
        module_name, _, constant = name.rpartition(".")
        module = import_module(module_name)
        if not hasattr(module, constant):
            raise AttributeError(name)
        setattr(module, constant, value)


def run_with(process: Process, values: Mapping[str, float]) -> None:
    """Configures a process, before it is started, to run with these constants."""
    process.module = "tests.support.program_with_constants"
    process.environment = {CONSTANTS_VARIABLE: json.dumps(values)}


if __name__ == "__main__":
    set_constants(json.loads(os.environ[CONSTANTS_VARIABLE]))
    runpy.run_module("cottonladder", run_name="__main__", alter_sys=True)
