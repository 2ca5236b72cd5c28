"""`python -m cottonladder`: the command line of one real manager."""

import sys

from .lifecycle import signals

if __name__ == "__main__":
    signals.hold(sys.argv)  # before the imports, which are most of a start
    from .lifecycle.cli import main

    main(prog_name="cottonladder")
