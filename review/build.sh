#!/bin/sh
# Builds what the scripts start beside the entries: stand-ins in Python, of the standard library
# alone. None of the project's own stand-ins is used.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib/*.py [0-9]*/case.py left-out/*/case.py
