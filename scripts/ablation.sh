#!/usr/bin/env bash
# What each policy of the direct mode is worth: plays deployments with one after the other switched off.
# usage: BENCH=<the users' bench> scripts/ablation.sh "<options of worth.py>" SITE...
# Prints the means of quiet and troubled days with each policy off, and first with all of them on.
# Works in a copy of the committed tree, so that the settings of this one stay as they are; the copy's journal
# entries are brought back.
set -euo pipefail
cd "$(dirname "$0")/.."
ROOT="$(pwd)"
BENCH="$(realpath "$BENCH")"
export BENCH
OPTIONS="$1"
shift
SITES=()
for site in "$@"; do SITES+=("$(realpath "$site")"); done
COPY="$(mktemp -d)"
trap 'cp -rn "$COPY/journal/." "$ROOT/journal/"; rm -rf "$COPY"' EXIT
git clone -q . "$COPY"
cd "$COPY"
mapfile -t POLICIES < <(grep -oP '{"\K\w+(?=", &Policies::)' src/core/policies.cpp)
for policy in "" "${POLICIES[@]}"; do
	sed -i "s/^policiesOff: .*/policiesOff: [$policy]/" deploy/router.yaml
	for site in "${SITES[@]}"; do
		# shellcheck disable=SC2086 # Options are several words.
		scripts/worth.py $OPTIONS --why "ablation: without ${policy:-nothing}" "$site" |
			awk -v policy="${policy:-all on}" -v site="$(basename "$site" .toml)" \
				'/^quiet|^TROUBLED/ {printf "%-16s %-20s %-9s %s %s\n", policy, site, $1, $2, $6}'
	done
done
