#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no key is removed.
HERE="$(cd "$(dirname "$0")" && pwd)"
cd "$HERE/../.." || exit 2
[ -x target/spanplank-router ] && [ -x target/review/removed_key ] || exit 2
FOLDER="$(mktemp -d)" || exit 2
timeout -k 5 110 target/review/removed_key target/spanplank-router "$FOLDER" "$HERE/record.txt" "${TROUBLE:-1}"
CODE=$?
rm -rf "$FOLDER"
[ "$CODE" -le 2 ] || CODE=2
exit "$CODE"
