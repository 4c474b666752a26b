#!/bin/sh
# Builds the stand-ins and the scripts' programs of the review into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for CASE in review/[1-9]/*.cpp; do
	[ -e "$CASE" ] || continue
	g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review/$(basename "$CASE" .cpp)" \
		review/standin/standin.cpp "$CASE"
done
