#!/bin/sh
# Puts the run-time libraries and the package under target/deps. The libraries are kept while the
# lock, the interpreter and the kind of machine are unchanged; the package is copied anew each time,
# with a digest of its sources, which entries log as they start.
set -eu
deps=target/deps
stamp="$deps/.requirements"
wanted=target/requirements.wanted
mkdir -p target
python3 -c 'import platform, sys; print(sys.implementation.cache_tag, platform.machine())' >"$wanted"
cat deploy/requirements.lock >>"$wanted"
if ! cmp -s "$wanted" "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --no-deps \
        --target "$deps" -r deploy/requirements.lock
    cp "$wanted" "$stamp"
fi
rm -rf "$deps/cicadatiller"
cp -r src/cicadatiller "$deps/cicadatiller"
find "$deps/cicadatiller" -name '*.py' | LC_ALL=C sort | xargs cat | sha256sum | cut -c 1-12 \
    >"$deps/cicadatiller/build-digest.txt"
python3 -m compileall -q "$deps"
