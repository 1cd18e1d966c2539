#!/bin/sh
# Builds the stand-ins of cases 6 to 10: they need Python's standard library only, so this checks
# that they compile and that the build of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/cicadatiller || { echo "run deploy/build.sh first" >&2; exit 1; }
python3 - review/lib-2/*.py review/[6-9]/*.py review/10/*.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(), name, "exec")
CHECK
