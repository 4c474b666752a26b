#!/bin/sh
# Compiles the cases of the second review, review/[4-8]/*.cpp, each with the stand-ins in review/standin-2/.
# The programs stand in build-review-2/, which git ignores.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++17 -O1 -c review/standin-2/standin.cpp -o build-review-2/standin.o
for source in review/[4-8]/*.cpp; do
	[ -e "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	g++ -std=c++17 -O1 "$source" build-review-2/standin.o -o "build-review-2/case-$number" -pthread
done
