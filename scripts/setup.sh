#!/usr/bin/env bash
# Installs what the build and the tests need, from Debian 12's packages. Does nothing if all is there.
set -euo pipefail
PACKAGES=(
	g++ cmake ninja-build clang-format clang-tidy
	libboost-dev libboost-fiber-dev libboost-context-dev libboost-system-dev
	libwebsocketpp-dev nlohmann-json3-dev prometheus-cpp-dev libyaml-cpp-dev
	libabsl-dev libfmt-dev libxxhash-dev libssl-dev
	libgtest-dev libgmock-dev librapidcheck-dev
)
MISSING=()
for package in "${PACKAGES[@]}"; do
	dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || MISSING+=("$package")
done
if [ "${#MISSING[@]}" -gt 0 ]; then
	SUDO=""
	[ "$(id -u)" = 0 ] || SUDO=sudo
	export DEBIAN_FRONTEND=noninteractive
	$SUDO apt-get update -qq
	$SUDO apt-get install -y -qq --no-install-recommends "${MISSING[@]}"
fi
