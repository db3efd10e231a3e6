# Functions for the scripts of the second review; each sources this file from
# its own folder.  A script exits with 1 if the rule was broken, with 0 if it
# held, and with 2 if the case could not run.
#
# NET is a loopback network, chosen at random, so that two runs don't meet.
# WORK is a temporary folder.  RECORD gets what was sent, answered and run.

HERE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$HERE/../.." && pwd)
GATEWAY=$ROOT/target/citroncleat
STANDIN=$ROOT/build/standin
PEER=$ROOT/build/peer-2
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d "${TMPDIR:-/tmp}/review-2.XXXXXX") || exit 2
RECORD=$HERE/record.txt
NET=127.$((64 + RANDOM % 128)).$((RANDOM % 256))
STORE=$NET.9:7900
gateway_ip () { echo "$NET.$((10 + $1))"; }
upstream_ip () { echo "$NET.$((100 + $1))"; }
PIDS=""
CALLERS=""
: >"$RECORD" || exit 2

stop_all () {
  [ -z "$PIDS" ] || kill -KILL $PIDS 2>/dev/null
  sleep 0.2
  rm -rf "$WORK"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

# cannot_run REASON: ends the script.
cannot_run () { echo "could not run: $1"; exit 2; }
for program in "$GATEWAY" "$STANDIN" "$PEER"; do
  [ -x "$program" ] || cannot_run "$program is missing"
done

# start NAME COMMAND...: starts a process in the background.
start () {
  local name=$1
  shift
  "$@" >"$WORK/$name.log" 2>&1 &
  echo $! >"$WORK/$name.pid"
  PIDS="$PIDS $!"
  disown $!
}
pid_of () { cat "$WORK/$1.pid"; }

# count PATTERN: the lines of the record that match.
count () { grep -c "$1" "$RECORD"; }

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for () {
  local until=$(($(date +%s) + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s)" -lt "$until" ] || return 1
    sleep 0.05
  done
}

# request METHOD IP:PORT TARGET [BODY]: makes one HTTP request without a client
# program and prints the status and the body.
request () {
  local line status="" body=${4:-}
  exec 9<>"/dev/tcp/${2%:*}/${2#*:}" || return 1
  printf '%s %s HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "${#body}" "$body" >&9
  while IFS= read -r -t 5 line <&9; do
    line=${line%$'\r'}
    [ -n "$status" ] || { status=${line#* }; echo "${status%% *}"; }
    [ -n "$line" ] || break
  done
  cat <&9
  exec 9<&- 9>&-
}
put () { request PUT "$STORE" "/_put?key=$1" "$2" >/dev/null; }
answers () { [ "$(request GET "$1" "$2" 2>/dev/null | head -1)" = 200 ]; }

start_store () {
  start store "$STANDIN" metadata --listen "$STORE"
  wait_for 5 answers "$STORE" "/kv-range?prefix=x" || cannot_run "the store does not answer"
}

# start_gateway N [MEMORY_MB]: gateway N, with the command of the deploy file and
# settings as of a small deployment.
start_gateway () {
  local ip
  ip=$(gateway_ip "$1")
  cat >"$WORK/gateway$1.json" <<END
{ "name": "front-$1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "$ip:8144", "readiness": "$ip:8140",
              "lookups": "$ip:8143", "metrics": "$ip:9464", "copies": "$ip:8146" },
  "seeds": ["$(gateway_ip 1):8146"],
  "store": { "address": "$STORE", "in_force_ms": 2500, "leaving_ms": 2500 },
  "stop_s": 6, "lookup_most_s": 5,
  "retry": { "ratio": 0.2, "slack": 64 },
  "cold": { "multiplier": 1.5, "slack": 5 },
  "machine": { "link_mbps": 1000.0, "cores": 0.2, "memory_mb": ${2:-260} },
  "region_shift": 0.15 }
END
  start "gateway$1" "$GATEWAY" gateway -f "$WORK/gateway$1.json"
}
is_ready () { answers "$(gateway_ip "$1"):8140" /ready; }

# start_upstream N OPTIONS...: upstream N; it is registered by `register'.
start_upstream () {
  local n=$1
  shift
  start "upstream$n" "$PEER" upstream --listen "$(upstream_ip "$n"):8080" --id "i-$n" --record "$RECORD" "$@"
}
# start_callers N PREFIX OPTIONS...: callers at gateway N, in the background.
start_callers () {
  local n=$1 prefix=$2
  shift 2
  start "$prefix" "$PEER" callers --connect "$(gateway_ip "$n"):8144" --record "$RECORD" --prefix "$prefix" --target /r/ "$@"
  CALLERS="$CALLERS $!"
}
# wait_callers: waits until all callers are done.
wait_callers () {
  local pid
  for pid in $CALLERS; do
    while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
  done
  CALLERS=""
}
# register N [SLOTS]: the upstream N in the store.
register () {
  put "servers/i-$1" "{\"service\":\"desk\",\"address\":\"$(upstream_ip "$1"):8080\",\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":${2:-9},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$1}"
}
# configure KIND [TIMEOUT_MS [TARGET_MS]]: a configuration with one route, /r/.
configure () {
  put op/config "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"shop.example\",\"prefix\":\"/r/\",\"kind\":\"$1\",\"timeout_ms\":${2:-4000},\"target_latency_ms\":${3:-1200},\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\"sticky_sessions\":false,\"allowed_regions\":[]}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":390,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":16.0}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
}
