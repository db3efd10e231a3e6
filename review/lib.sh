# Functions for the scripts of the cases: a small deployment of the project's own
# gateway and stand-ins for store, servers and clients, all on loopback addresses.
# A script sources this file from the root of the tree.
#
# CASE is the folder of the case, RECORD its record.txt, WORK a temporary folder.
# Processes that are started with `start' end with the script.

TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX")
RECORD=$CASE/record.txt
PIDS=""
: >"$RECORD"

cannot_run () {
  echo "could not run: $*" | tee -a "$RECORD"
  exit 2
}
stop_all () {
  [ -z "$PIDS" ] || kill -KILL $PIDS 2>/dev/null
  wait 2>/dev/null
  rm -rf "$WORK"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

for program in target/citroncleat target/standin review/bin/server review/bin/caller; do
  [ -x "$program" ] || cannot_run "$program is missing: run the build of the deploy file and review/build.sh"
done

# start NAME COMMAND...: runs a command in the background, its output in
# $WORK/NAME.log and its pid in $WORK/NAME.pid.
start () {
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  echo $! >"$WORK/$name.pid"
  PIDS="$PIDS $!"
}
pid_of () { cat "$WORK/$1.pid"; }
# note EVENT...: adds a line to the record, with the time of the steady clock.
note () { echo "$(awk '{ printf "%d", $1 * 1000 }' /proc/uptime) script $*" >>"$RECORD"; }
# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for () {
  local until=$(($(date +%s) + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s)" -lt "$until" ] || return 1
    sleep 0.05
  done
}

# Addresses: a network of 127.0.0.0/8 that the project's tests do not use and in which
# nothing listens yet.
is_free () { ! (exec 3<>"/dev/tcp/$1.9.1/7900") 2>/dev/null && ! (exec 3<>"/dev/tcp/$1.1.1/7901") 2>/dev/null; }
for _ in 1 2 3 4 5; do
  NET=127.$((RANDOM % 34 + 220))
  is_free $NET && break
done
STORE=$NET.9.1:7900

# http METHOD IP:PORT TARGET [BODY]: makes one call; whether its status is 200.
http () {
  local status
  {
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "$1" "$3" "$2" "${#4}" "$4" >&3
    read -r -t 2 _ status _ <&3
  } 3<>"/dev/tcp/${2%:*}/${2#*:}" || return 1
  [ "$status" = 200 ]
} 2>/dev/null
put () { http PUT $STORE "/_put?key=$1" "$2" || cannot_run "the store took no $1"; }
start_store () {
  start store target/standin metadata --listen $STORE
  wait_for 5 http GET $STORE "/kv-range?prefix=x" "" || cannot_run "no store"
}
# route NAME PREFIX KIND SERVICE MAX-ATTEMPTS
route () {
  echo "{\"name\":\"$1\",\"host\":\"shop.example\",\"prefix\":\"$2\",\"kind\":\"$3\",\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"$4\",\"max_attempts\":$5,\"sticky_sessions\":false,\"allowed_regions\":[]}"
}
service () {
  echo "{\"name\":\"$1\",\"health_path\":\"/healthz\",\"max_connections\":390,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":16.0}"
}
# config VERSION ROUTES SERVICES
config () {
  echo "{\"version\":$1,\"routes\":[$2],\"services\":[$3],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
}
# start_server NUMBER SERVICE SLOTS OPTIONS...: a server and its entry in the store.
start_server () {
  local number=$1 service=$2 slots=$3
  shift 3
  start "server$number" review/bin/server --listen "$NET.2.$number:7910" --id "i-$number" --record "$RECORD" --slots "$slots" "$@"
  put "servers/i-$number" "{\"service\":\"$service\",\"address\":\"$NET.2.$number:7910\",\"zone\":\"gwent-a\",\"version\":\"v1\",\"slots\":$slots,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$number}"
}
# disturb SECONDS NUMBER...: the disruption of these servers begins, and ends after
# SECONDS; nothing with TROUBLE=0.
disturb () {
  local seconds=$1 n
  shift
  [ "$TROUBLE" != 0 ] || return 0
  note "disruption begins"
  for n; do kill -USR1 "$(pid_of "server$n")"; done
  sleep "$seconds"
  for n; do kill -USR1 "$(pid_of "server$n")"; done
  note "disruption ends"
}
# write_settings NUMBER: the settings of a gateway, as the template of the deploy
# file gives them with the bounds of Pryce Falls.
write_settings () {
  cat >"$WORK/gateway$1.json" <<END
{
  "name": "front-gwent-a-$1", "zone": "gwent-a", "region": "gwent",
  "zones": [{ "name": "gwent-a", "region": "gwent" }],
  "listen": { "callers": "$NET.1.$1:7901", "readiness": "$NET.1.$1:7902", "lookups": "$NET.1.$1:7903", "metrics": "$NET.1.$1:9464" },
  "store": { "address": "$STORE", "in_force_ms": 2500, "leaving_ms": 2500 },
  "stop_s": 6, "lookup_most_s": 5,
  "retry": { "ratio": 0.2, "slack": 64 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "machine": { "link_mbps": 1000.0, "cores": 0.2 }, "region_shift": 0.15
}
END
}
# keep_gateway NUMBER: runs a gateway and, as the platform does, starts it again
# after a short delay if it ends by itself, which is noted.  To be run in the
# background.
keep_gateway () {
  local status
  while [ ! -e "$WORK/done" ]; do
    target/citroncleat gateway -f "$WORK/gateway$1.json" >>"$WORK/gateway$1.log" 2>&1 &
    echo $! >"$WORK/gateway$1.pid"
    wait $!
    status=$?
    [ ! -e "$WORK/done" ] || return
    note "ended gateway$1 status $status"
    sleep 0.5
  done 2>/dev/null
}
is_ready () { http GET "$NET.1.$1:7902" /ready ""; }
start_gateway () {
  write_settings "$1"
  keep_gateway "$1" &
  PIDS="$PIDS $!"
  wait_for 10 is_ready "$1" || cannot_run "gateway $1 does not get ready"
}
# stop_gateways: ends them without a note.
stop_gateways () {
  local file
  touch "$WORK/done"
  for file in "$WORK"/gateway*.pid; do
    [ ! -e "$file" ] || kill -KILL "$(cat "$file")" 2>/dev/null
  done
  sleep 0.2
}
trap 'stop_gateways; stop_all' EXIT
# conclude BROKEN TEXT: ends the script with the result.
conclude () {
  stop_gateways
  note "result $2"
  echo "$2"
  exit "$1"
}
