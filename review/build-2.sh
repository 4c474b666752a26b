#!/bin/sh
# Compiles the programs of the second review's scripts (review/4 to review/8), each with the stand-ins beside it in
# review/standin-2/. They stand in build-review-2/, which git ignores. Needs nothing that the deploy file doesn't list.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++17 -O1 -c review/standin-2/standin.cpp -o build-review-2/standin.o
for source in review/standin-2/*.cpp; do
	name=$(basename "$source" .cpp)
	[ "$name" = standin ] || g++ -std=c++17 -O1 "$source" build-review-2/standin.o -o "build-review-2/$name" -pthread
done
