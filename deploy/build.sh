#!/usr/bin/env bash
# Installs the run-time dependencies of an instance into target/deps. The
# packages of this repository are copied, because a build on the platform may
# write only below target/, and pip would build them in their source
# directories.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
if [ ! "$deps/.installed" -nt requirements-platform.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r requirements-platform.txt
    touch "$deps/.installed"
fi
for package in packages/core packages/gateway platform; do
    cp -R "$package"/src/wagtailtide_* "$deps"/
done
