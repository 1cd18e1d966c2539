#!/bin/sh
# Builds the stand-ins of cases 11 to 15: they need Python's standard library only, so this checks
# that they compile, and that the build of the deploy file is there, from which entries start.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/cicadatiller || { echo "build first: sh deploy/build.sh" >&2; exit 1; }
python3 - review/lib-3/*.py review/1[1-5]/*.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(), name, "exec")
CHECK
