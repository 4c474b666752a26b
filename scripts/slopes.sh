#!/usr/bin/env bash
# Measures the control costs behind docs/CAPACITY.md: about two minutes, up to 110 processes on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${SPANPLANK_SKIP_SETUP:-}" = 1 ] || scripts/setup.sh
cmake -S . -B build -G Ninja >/dev/null
ninja -C build
build/slopes docs/slopes.json
