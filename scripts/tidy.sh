#!/usr/bin/env bash
# clang-tidy over our sources, in parallel. A file is looked at again only after it or a header changed.
set -euo pipefail
cd "$(dirname "$0")/.."
# A compile database without the precompiled header, which belongs to another compiler.
mkdir -p build/tidy
sed -E 's/ -Winvalid-pch -include [^ ]+cmake_pch.hxx//g' build/compile_commands.json >build/tidy/compile_commands.json
HEADERS="$(git ls-files '*.h' .clang-tidy | xargs sha256sum | sha256sum | cut -d' ' -f1)"
tidyOne()
{
	local file="$1" stamp
	stamp="build/tidy/$(cat "$file" <(echo "$2") | sha256sum | cut -d' ' -f1).ok"
	[ -e "$stamp" ] && return 0
	clang-tidy --quiet -p build/tidy "$file" 2>/dev/null && touch "$stamp"
}
export -f tidyOne
git ls-files 'src/*.cpp' 'platform/*.cpp' 'tools/*.cpp' 'tests/*.cpp' 'bench/*.cpp' 'examples/*.cpp' |
	xargs -P "$(nproc)" -I{} bash -c 'tidyOne "$1" "$2"' _ {} "$HEADERS"
