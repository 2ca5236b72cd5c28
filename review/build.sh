#!/bin/sh
# Checks that every stand-in and every case compiles; they need nothing but what the deploy file's build leaves.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
