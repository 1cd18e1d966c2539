#!/bin/sh
# Plays the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../../.." || exit 2
test -d target/deps/cicadatiller || { echo "build first: sh deploy/build.sh" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py"
