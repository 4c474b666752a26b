#!/usr/bin/env bash
# The story of one request over the logs of all processes, in order of time:
#   scripts/explain.sh REQUEST_ID LOG...
# Prints every line that names the request, and around it what its processes believed: the configuration in force,
# the store lost or regained, upstreams ejected or gone, roll-outs, starts and stops, up to 10 s before.
set -euo pipefail
[ "$#" -ge 2 ] || { echo "usage: $0 REQUEST_ID LOG..." >&2; exit 2; }
ID="$1"
shift
# Lines may carry a prefix of whatever collected them: the story starts at ts=.
LINES="$(cat "$@" | grep -a -o 'ts=[0-9-]*T.* proc=.*' | sort -u)" || true
STORY="$(grep -a -F "request=\"$ID\"" <<<"$LINES" || true)"
[ -n "$STORY" ] || { echo "no line names request $ID" >&2; exit 1; }
PROCESSES="$(grep -o 'proc=[^ ]*' <<<"$STORY" | sort -u)"
UPSTREAMS="$(grep -o 'upstream="[^"]*"' <<<"$STORY" | sort -u || true)"
FIRST="$(head -1 <<<"$STORY" | cut -d' ' -f1)"
LAST="$(tail -1 <<<"$STORY" | cut -d' ' -f1)"
SINCE="ts=$(date -u -d "$(cut -c4- <<<"$FIRST" | tr 'TZ' '  ') UTC - 10 seconds" +%Y-%m-%dT%H:%M:%S)"
{
	echo "$STORY"
	BELIEFS='event=(config_|store_|rollout_|started|stopping|stopped|settings_|upstreams_listed)'
	awk -v since="$SINCE" -v last="$LAST" '$1 >= since && $1 <= last' <<<"$LINES" |
		grep -a -F "$PROCESSES" | grep -a -E "$BELIEFS" || true
	if [ -n "$UPSTREAMS" ]; then
		awk -v since="$SINCE" -v last="$LAST" '$1 >= since && $1 <= last' <<<"$LINES" |
			grep -a -F "$UPSTREAMS" | grep -a -E 'event=upstream_' || true
	fi
} | sort -u
