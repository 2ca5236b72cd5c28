"""`python -m cottonladder`: the command line of one real manager."""

import os
import sys

from .control import signals

if __name__ == "__main__":
    signals.install_early_handlers(sys.argv)  # before the imports, which are most of a start
    # aiohttp reads the system's certificates as it is imported, a fifth of a start.  Calls here are plain
    # HTTP, and where the operators' file asks for TLS it names the authorities itself.
    os.environ["SSL_CERT_FILE"] = os.devnull
    from .cli.main import main

    main(prog_name="cottonladder")
