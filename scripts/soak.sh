#!/usr/bin/env bash
# Fault soak of the direct mode: scripts/soak.sh [MINUTES] [FIRST_SEED]. Runs seed after seed, a few at once; prints
# each seed that broke a promise, with its schedule and the folder of its logs. Exit 1 if any did. Odd seeds do planned
# work alone; every fourth, even, has as many routers as the fault needs whose way through them is long; in every third
# upstreams state limits, say that they leave or ask for rest in their answers.
set -euo pipefail
cd "$(dirname "$0")/.."
MINUTES="${1:-3}"
SEED="${2:-$(date +%s)}"
AT_ONCE=4
cmake -S . -B build -G Ninja >/dev/null
ninja -C build soak >/dev/null
mkdir -p build/soak-logs
END=$((SECONDS + MINUTES * 60))
FAILED=0
RUNS=0
while [ "$SECONDS" -lt "$END" ]; do
	PIDS=()
	for ((ii = 0; ii < AT_ONCE; ++ii)); do
		SHAPE=()
		(((SEED + ii) % 2 == 0)) || SHAPE+=(--planned)
		(((SEED + ii) % 4 != 0)) || SHAPE+=(--routers=12)
		(((SEED + ii) % 3 != 0)) || SHAPE+=(--notices)
		build/soak --seed="$((SEED + ii))" --seconds=20 "${SHAPE[@]}" >"build/soak-logs/$((SEED + ii)).out" 2>&1 &
		PIDS+=("$!")
	done
	for ((ii = 0; ii < AT_ONCE; ++ii)); do
		wait "${PIDS[$ii]}" || { FAILED=1; echo "seed $((SEED + ii)) failed: build/soak-logs/$((SEED + ii)).out"; }
	done
	tail -qn 1 $(for ((ii = 0; ii < AT_ONCE; ++ii)); do echo "build/soak-logs/$((SEED + ii)).out"; done)
	RUNS=$((RUNS + AT_ONCE))
	SEED=$((SEED + AT_ONCE))
done
echo "$RUNS seeds"
exit "$FAILED"
