#!/bin/sh
# Builds what the cases 4 to 6 start beside the manager and the forwarder: stand-ins in Python, which need only
# the environment that `build` of the deploy file has made.  It exits with 0 if they can be started.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q review/rig review/4 review/5 review/6 || exit 1
PYTHONPATH=. .venv/bin/python -B -c "import aiohttp, review.rig.http_workers, review.rig.proxies, review.rig.relay"
