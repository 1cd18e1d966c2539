#!/bin/sh
# Puts the run-time libraries and the package under target/deps. The libraries are kept while the
# lock is unchanged; the package is copied anew each time.
set -eu
deps=target/deps
stamp="$deps/.requirements"
if ! cmp -s deploy/requirements.lock "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --no-deps \
        --target "$deps" -r deploy/requirements.lock
    cp deploy/requirements.lock "$stamp"
fi
rm -rf "$deps/cicadatiller"
cp -r src/cicadatiller "$deps/cicadatiller"
python3 -m compileall -q "$deps"
