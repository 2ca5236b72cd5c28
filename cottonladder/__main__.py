"""The command line, run by `python -m cottonladder`."""

import os
import sys

from .control import signals

if __name__ == "__main__":
    signals.install_early_handlers(sys.argv)  # before the imports, which take most of the startup time
    # Importing aiohttp loads the system's certificates, which takes a fifth of the startup time.  They are
    # not needed: HTTP calls use no TLS, and for TLS connections the operators' file names the authorities.
    os.environ["SSL_CERT_FILE"] = os.devnull
    from .cli.main import main

    main(prog_name="cottonladder")
