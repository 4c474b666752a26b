#!/usr/bin/env bash
# Installs, builds with warnings as errors, checks format and lint, runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${SPANPLANK_SKIP_SETUP:-}" = 1 ] || scripts/setup.sh
mapfile -t FILES < <(git ls-files '*.cpp' '*.h')
clang-format --dry-run -Werror "${FILES[@]}"
cmake -S . -B build -G Ninja >/dev/null
ninja -C build
[ "${SPANPLANK_SKIP_TIDY:-}" = 1 ] || scripts/tidy.sh
ctest --test-dir build --output-on-failure -j 3 --timeout 120
