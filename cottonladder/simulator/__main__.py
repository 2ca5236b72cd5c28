"""The simulator's child process: batches of events on standard input, actions on standard output.

The process ends when its input ends, or with status 2 if a batch does not conform to the simulator's
protocol.
"""

from __future__ import annotations

import json
import sys

from ..config.errors import InputError
from .host import SimulatorHost

INVALID_INPUT_STATUS = 2  # exit status


def main() -> int:
    """Handles batches until the input ends; returns the exit status."""
    host = SimulatorHost()
    for line in sys.stdin:
        if not line.strip():
            continue
        try:
            reply = host.handle_batch(line)
        except InputError as exc:
            print(exc, file=sys.stderr)
            return INVALID_INPUT_STATUS
        sys.stdout.write(json.dumps(reply, separators=(",", ":"), allow_nan=False) + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
