# Starts a whole system of separate processes on loopback, with stand-ins for the platform.
# Sourced by the other scripts; sets ROUTERS, PLATFORM, SERVICES, PIDS and DIR.
set -euo pipefail

BIN="${BIN:-$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/build}"
DIR="$(mktemp -d)"
PIDS=()
OPERATOR_TOKEN="operator-token"
export SPANPLANK_TOKEN="$OPERATOR_TOKEN"
NEXT_PORT=$((10000 + RANDOM % 20000)) # Below the ports that the kernel gives to outgoing connections.

# Prints a port that nobody listens on.
freePort()
{
	while (exec 3<>"/dev/tcp/127.0.0.1/$NEXT_PORT") 2>/dev/null; do
		NEXT_PORT=$((NEXT_PORT + 1))
	done
	PORT="$NEXT_PORT"
	NEXT_PORT=$((NEXT_PORT + 1))
}

startProcess()
{
	local name="$1"
	shift
	"$@" >"$DIR/$name.out" 2>"$DIR/$name.log" &
	PIDS+=("$!")
}

stopSystem()
{
	local pid
	for pid in "${PIDS[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in "${PIDS[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	PIDS=()
	rm -rf "$DIR"
}

commonSettings()
{
	cat <<YAML
box: $1
hall: $2
listen: 127.0.0.1:$3
store: $PLATFORM
boxList: $PLATFORM
linkKeys: [a-link-key-of-32-characters-1234]
drainMs: 5000
balancerMs: 200
YAML
}

# waitFor SECONDS COMMAND...: until the command succeeds.
waitFor()
{
	local tries=$(($1 * 10))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ "$tries" -gt 0 ] || return 1
		sleep 0.1
	done
}

httpGet()
{
	local host="${1%%:*}" port="${1##*:}"
	exec 3<>"/dev/tcp/$host/$port" || return 1
	printf 'GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n' "$2" "$host" >&3
	cat <&3
	exec 3>&-
}

isReady()
{
	httpGet "$1" /readyz | head -1 | grep -q ' 200 '
}

# startSystem ROUTERS ENGINE_AGENTS SERVICE_AGENTS VERSIONS SERVICE SLOTS TOKEN_MS
startSystem()
{
	local routers="$1" engines="$2" services="$3" versions="$4" service="$5" slots="$6" tokenMs="$7"
	local engineAddresses=() serviceAddresses=() boxes=() ii box
	freePort && PLATFORM="127.0.0.1:$PORT"
	for ((ii = 0; ii < engines; ++ii)); do freePort && engineAddresses+=("127.0.0.1:$PORT"); done
	for ((ii = 0; ii < services; ++ii)); do freePort && serviceAddresses+=("127.0.0.1:$PORT"); done
	SERVICES="$(IFS=,; echo "${serviceAddresses[*]}")"
	ENGINES="$(IFS=,; echo "${engineAddresses[*]}")"
	startProcess fakes "$BIN/spanplank-fakes" --platform "$PLATFORM" --engines "$ENGINES" \
		--services "$SERVICES" --slots "$slots" --token_ms "$tokenMs"
	ROUTERS=""
	for ((ii = 0; ii < routers; ++ii)); do
		freePort
		box="entry-$ii"
		ROUTERS="${ROUTERS:+$ROUTERS,}127.0.0.1:$PORT"
		boxes+=("{\"box\":\"$box\",\"role\":\"router\",\"address\":\"127.0.0.1:$PORT\",\"hall\":\"hall-$((ii % 3))\"}")
		{
			commonSettings "$box" "hall-$((ii % 3))" "$PORT"
			echo "sessionKeys: [a-session-key-of-32-characters-1]"
			echo "operatorTokens: [$(printf %s "$OPERATOR_TOKEN" | sha256sum | cut -d' ' -f1)]"
			echo "kinds: {dimming: 0, score: 1, heartbeat: 2, hint: 3, draft: 6}"
		} >"$DIR/$box.yaml"
	done
	local pool upstream link http
	for ((ii = 0; ii < engines + services; ++ii)); do
		freePort && link="127.0.0.1:$PORT"
		freePort && http="$PORT"
		if [ "$ii" -lt "$engines" ]; then
			box="engine-$ii" pool="engines" upstream="${engineAddresses[$ii]}"
		else
			box="service-$((ii - engines))" pool="services" upstream="${serviceAddresses[$((ii - engines))]}"
		fi
		boxes+=("{\"box\":\"$box\",\"role\":\"agent\",\"address\":\"127.0.0.1:$http\",\"link\":\"$link\",\"hall\":\"hall-$((ii % 3))\",\"pool\":\"$pool\"}")
		{
			commonSettings "$box" "hall-$((ii % 3))" "$http"
			echo "pool: $pool"
			echo "link: $link"
			echo "upstream: $upstream"
			echo "ratings: $PLATFORM"
			echo "slots: $slots"
			if [ "$pool" = engines ]; then echo "versions: [$versions]"; else echo "services: [$service]"; fi
		} >"$DIR/$box.yaml"
	done
	local list
	list="$(IFS=,; echo "[${boxes[*]}]")"
	waitFor 5 httpGet "$PLATFORM" /counts
	local host="${PLATFORM%%:*}" port="${PLATFORM##*:}"
	exec 3<>"/dev/tcp/$host/$port"
	printf 'POST /boxes HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "${#list}" "$list" >&3
	cat <&3 >/dev/null
	exec 3>&-
	for box in "$DIR"/entry-*.yaml; do
		startProcess "$(basename "$box" .yaml)" "$BIN/spanplank-router" --settings "$box"
	done
	for box in "$DIR"/engine-*.yaml "$DIR"/service-*.yaml; do
		startProcess "$(basename "$box" .yaml)" "$BIN/spanplank-agent" --settings "$box"
	done
	for box in ${ROUTERS//,/ }; do
		waitFor 10 httpGet "$box" /healthz
	done
}
