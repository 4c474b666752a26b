#!/usr/bin/env bash
# Policies in virtual time beside the naive ones: the tables of docs/MEASUREMENTS.md, about 100 seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${SPANPLANK_SKIP_SETUP:-}" = 1 ] || scripts/setup.sh
cmake -S . -B build -G Ninja >/dev/null
ninja -C build policies
build/policies
