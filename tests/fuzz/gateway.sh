#!/bin/bash
# Random requests at a gateway on 127.43.0.0/16 before upstreams that violate the
# protocol, judged by what the callers and the upstreams see
# (tests/standin/fuzz_callers.c).
#
#   FUZZ_SEEDS     seeds, one run each, with a new gateway (default: 1)
#   FUZZ_REQUESTS  requests of a run (default: 2000)
#   FUZZ_FIRST     number of the first one, to play a part of a run again
#   FUZZ_WITHOUT   classes of faults that are left out, such as copies,slow
#   FUZZ_STATES    "yes": pauses of the gateway and new configurations meanwhile
#   FUZZ_THREADS   callers at a time (default: 8)
#   GATEWAY        the program whose gateway runs (default: $BUILD/citroncleat)
#
# Prints each request that broke a rule, and last "fuzz-gateway: N requests, M
# broken".  Exit status: 0 if none did, 1 if one did or the gateway ended or a
# sanitizer reported something, 2 if the rules could not be judged.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib.sh
gateway_program=${GATEWAY:-$BUILD/citroncleat}
store=http://127.43.9.1:7900
max_body=3000000
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
route () { # NAME PREFIX KIND SERVICE TIMEOUT-MS
  echo "{\"name\":\"$1\",\"host\":\"shop.example\",\"prefix\":\"$2\",\"kind\":\"$3\",\"timeout_ms\":$5,\"target_latency_ms\":1500,\"priority\":1,\"service\":\"$4\",\"max_attempts\":2}"
}
upstream () { # SERVICE HOST BORN
  echo "{\"service\":\"$1\",\"address\":\"127.43.$2:9000\",\"zone\":\"north-a\",\"slots\":200,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$3}"
}

put_config () { # VERSION TIMEOUT-MS
  put op/config "{\"version\":$1,\"routes\":[$(route look /look/ safe desk "$2"),$(route jobs /jobs/ unsafe desk "$2"),$(route archive /jobs/archive/ safe shop "$2"),$(route up /up/ upload desk "$2"),$(route none /none/ upload none "$2")],\"services\":[{\"name\":\"desk\"},{\"name\":\"shop\"},{\"name\":\"none\"}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":$max_body}}"
}
# change_states: until it is killed.
change_states () {
  local version=1
  while sleep 0.7; do
    version=$((version + 1))
    put_config $version $((2500 + version % 2 * 500))
    kill -STOP "$(pid_of g1)"
    sleep 0.$((version % 7 + 1))
    kill -CONT "$(pid_of g1)"
  done
}

# The callers take part of an address for the service (desk: 2, shop: 3).
start_deployment () {
  local n listen=
  for n in 1 2 3 4; do listen="$listen --listen 127.43.2.$n:9000 --listen 127.43.3.$n:9000"; done
  start store "$BUILD/standin" metadata --listen 127.43.9.1:7900
  start upstreams "$BUILD/standin" faulty-upstream $listen
  cat >"$WORK/gateway.json" <<END
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.43.1.1:7901", "readiness": "127.43.1.1:7902",
              "lookups": "127.43.1.1:7903", "metrics": "127.43.1.1:7904" },
  "store": { "address": "127.43.9.1:7900", "poll_ms": 100 },
  "retry": { "ratio": 1, "slack": 1000 }, "cold": { "multiplier": 100, "slack": 100 },
  "log_lines_per_s": 10000 }
END
  wait_for 10 curl -s -o /dev/null "$store/kv-range?prefix=x" || return 1
  put_config 1 3000
  for n in 1 2 3 4; do
    put servers/i-desk-$n "$(upstream desk 2.$n $n)"
    put servers/i-shop-$n "$(upstream shop 3.$n $((n + 20)))"
  done
  # Servers that were replaced at their addresses, of which the store says still
  # that they are ready.
  for n in 1 2 3 4; do
    put servers/i-gone-$n "$(upstream desk 2.$n $((n + 40)))"
    put servers/i-lost-$n "$(upstream desk 2.$n $((n + 60)))"
  done
  start g1 "$gateway_program" gateway -f "$WORK/gateway.json"
  wait_for 10 curl -sf -o /dev/null http://127.43.1.1:7902/ready
}

# run_seed SEED: plays one run; adds its figures to `requests' and `broken'.
run_seed () {
  local status line timeout=3000
  # A paused gateway may be late.
  [ -z "${FUZZ_STATES:-}" ] || timeout=0
  start_deployment || { echo "fuzz-gateway: the deployment didn't start" >&2; tail -n 3 "$WORK"/*.log >&2; exit 2; }
  [ -z "${FUZZ_STATES:-}" ] || { change_states & PIDS="$PIDS $!"; }
  "$BUILD/standin" fuzz-callers --connect 127.43.1.1:7901 --upstream 127.43.2.1:9000 --seed "$1" \
    --requests "${FUZZ_REQUESTS:-2000}" --first "${FUZZ_FIRST:-0}" --threads "${FUZZ_THREADS:-8}" \
    --without "${FUZZ_WITHOUT:-}" --max-body $max_body --timeout $timeout >"$WORK/result"
  status=$?
  sed '$d' "$WORK/result"
  line=$(tail -n 1 "$WORK/result")
  set -- "$1" $(echo "$line" | sed 's/[^0-9 ]//g')
  requests=$((requests + ${2:-0}))
  broken=$((broken + ${3:-0}))
  [ $status != 2 ] || unjudged=yes
  if ! kill -0 "$(pid_of g1)" 2>/dev/null || grep -qE 'Sanitizer|runtime error' "$WORK/g1.log"; then
    echo "broken: seed $1: the gateway ended, or a sanitizer reported something:"
    grep -E -A 12 'Sanitizer|runtime error' "$WORK/g1.log" | head -40
    broken=$((broken + 1))
  fi
  { kill -KILL $PIDS; wait; } 2>/dev/null
  PIDS=""
}

requests=0 broken=0 unjudged=
for seed in ${FUZZ_SEEDS:-1}; do run_seed "$seed"; done
[ -z "$unjudged" ] || echo "fuzz-gateway: too few requests were served to judge by"
echo "fuzz-gateway: $requests requests, $broken broken"
[ $broken = 0 ] || exit 1
[ -z "$unjudged" ] || exit 2
