#!/usr/bin/env bash
# Installs, builds and runs the main job on stand-ins: both deployments of today, under load.
# Exits non-zero on any lost, doubled or wrong answer; leaves no process.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${SPANPLANK_SKIP_SETUP:-}" = 1 ] || scripts/setup.sh
cmake -S . -B build -G Ninja >/dev/null
ninja -C build spanplank_router spanplank_agent spanplank_fakes spanplank_load spanplank_cli
source scripts/system.sh
trap stopSystem EXIT
SECONDS_OF_LOAD="${1:-10}"
SUMMARY=()
CODE=0

# runDeployment NAME ENGINE_AGENTS SERVICE_AGENTS VERSIONS SERVICE
runDeployment()
{
	echo "== $1: 3 routers, $2 engines, $3 plain services"
	startSystem 3 "$2" "$3" "$4" "$5" 8 2
	"$BIN/spanplank" apply --f "examples/$1-resources.yaml" --router "$ROUTERS" --boxes "$PLATFORM" --wait 20
	for router in ${ROUTERS//,/ }; do
		waitFor 10 isReady "$router"
	done
	sleep 1 # Lets the homes of non-repeatable calls settle.
	"$BIN/spanplank" status --boxes "$PLATFORM"
	"$BIN/spanplank-load" --workload "examples/$1.yaml" --routers "$ROUTERS" --services "$SERVICES" \
		--seconds "$SECONDS_OF_LOAD" | tee "$DIR/load.out" || CODE=1
	SUMMARY+=("$(tail -1 "$DIR/load.out")")
	stopSystem
	DIR="$(mktemp -d)"
}

runDeployment exams 18 3 "marker-small@1, marker-large@1" scores
runDeployment lumivia 12 3 "writer-small@1, writer-large@1" work-orders
echo "== summary"
printf '%s\n' "${SUMMARY[@]}"
exit "$CODE"
