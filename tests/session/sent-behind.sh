# Callers that send more on a connection while the answer to their first request is under
# way and the gateway (127.51.0.0/16) or the entry closes the connection behind it.  Guards
# against answers that the close cuts, since the kernel resets a connection that is closed
# with unread bytes; and against callers that hold a stop or descriptors after the close.
. tests/session/deployment.sh
store=http://127.51.9.1:7900
metrics=http://127.51.1.1:7904/metrics
trap "" PIPE
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
start store "$BUILD/standin" metadata --listen 127.51.9.1:7900
start faulty-upstream "$BUILD/standin" faulty-upstream --listen 127.51.2.1:9000 --stamp s
cat >"$WORK/gateway.json" <<EOF
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.51.1.1:7901", "readiness": "127.51.1.1:7902",
              "lookups": "127.51.1.1:7903", "metrics": "127.51.1.1:7904" },
  "store": { "address": "127.51.9.1:7900", "poll_ms": 100 },
  "retry": { "ratio": 1, "slack": 200 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 6, "log_lines_per_s": 10000 }
EOF
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config '{"version":1,"routes":[{"name":"r","host":"shop.example","prefix":"/","kind":"safe","timeout_ms":9000,"target_latency_ms":900,"priority":1,"service":"desk","max_attempts":1}],"services":[{"name":"desk"}],"limits":{"max_body_bytes":1000000}}'
put servers/i-1 '{"service":"desk","address":"127.51.2.1:9000","zone":"north-a","slots":900,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}'
start_platform
cat >"$WORK/resources.json" <<EOF
{ "resources": [
  { "kind": "region", "name": "north", "spec": {} },
  { "kind": "zone", "name": "north-a", "spec": { "region": "north" } },
  { "kind": "service", "name": "shop", "spec": { "hosts": ["shop.example"], "deadline_ms": 9000 } },
  { "kind": "upstream-group", "name": "rude", "spec": { "service": "shop", "zone": "north-a", "slots": 90, "connections": 300 } },
  { "kind": "upstream", "name": "rude-1", "spec": { "group": "rude", "address": "127.51.2.1:9000" } }
] }
EOF
start_gateway () {
  start g1 "$BUILD/citroncleat" gateway -f "$WORK/gateway.json"
  wait_for 5 is_served 127.51.1.1/7901
}
# start_entry_for_stop: e1, which stops within 6 s and keeps idle connections.
start_entry_for_stop () {
  sed -i -e 's/"timeout_s": 30/"timeout_s": 6/' -e 's/"header_timeout_s": 1, "idle_timeout_s": 2/"header_timeout_s": 15, "idle_timeout_s": 60/' \
    "$(write_settings 1 north-a north)"
  start e1 "$BUILD/citroncleat" entry -f "$WORK/e1.json"
  wait_for 5 client apply -f "$WORK/resources.json"
  wait_for 5 is_served 127.23.0.1/7600
}
is_served () { # HOST/PORT
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' -H 'Request-Id: calm' -H 'X-Caller-Token: calm' \
    -H 'Deadline-Ms: 1500' "http://${1/\//:}/calm")" = 200 ]
}
# send CONNECTION FAULT BYTES [FIELD...]: sends a request for an answer of that size.
send () {
  local fd=$1 fault=$2 bytes=$3
  shift 3
  { printf 'GET /x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nX-Caller-Token: %s\r\nDeadline-Ms: 8000\r\n' "$fault" "$fault"
    printf 'X-Fault: %s\r\nX-Form: length\r\nX-Body: %s\r\n' "$fault" "$bytes"
    [ $# = 0 ] || printf '%s\r\n' "$@"
    printf '\r\n'; } 2>/dev/null >&"$fd"
}
read_head () { # CONNECTION
  local line
  while IFS= read -r -t 5 line <&"$1" && [ "$line" != $'\r' ]; do :; done
}
# rest CONNECTION BYTES [SECONDS]: reads an answer of that size, in about so many
# seconds, and prints whether it was whole.
rest () {
  local bytes=0 pieces=$((${3:-0} * 5 + 1)) piece
  read_head "$1"
  for _ in $(seq $pieces); do
    piece=$(timeout 5 head -c $(($2 / pieces)) <&"$1" 2>/dev/null | wc -c)
    bytes=$((bytes + piece))
    [ $pieces = 1 ] || sleep 0.2
  done
  if [ $bytes = $2 ]; then echo "whole"; else echo "cut after $bytes of $2 bytes"; fi
}
connect () { exec {fd}<>"/dev/tcp/$1"; }

# stopped PROCESS: waits for its end and prints its status.
stopped () { wait "$(pid_of "$1")"; echo "$who, status of the stop: $?"; }

# play WHO PROCESS HOST/PORT START: each moment at which a caller can send more.
play () {
  local who=$1 process=$2 at=$3 behind="" after="" reader
  $4
  connect "$at"
  send "$fd" sized-late 510000 'Connection: close'
  sleep 0.1
  send "$fd" sized 1000
  sleep 0.6
  echo "$who, no stop, a request behind: $(rest "$fd" 510000)"
  exec {fd}>&-
  connect "$at"
  send "$fd" sized 510000 'Connection: close'
  sleep 0.3
  send "$fd" sized 1000
  echo "$who, no stop, a request behind the end: $(rest "$fd" 510000)"
  exec {fd}>&-

  for _ in 1 2 3 4; do
    connect "$at"
    behind="$behind $fd"
    connect "$at"
    after="$after $fd"
  done
  for fd in $behind $after; do send "$fd" sized-late 510000; done
  sleep 0.1
  for fd in $behind; do send "$fd" sized 1000; done
  kill -TERM "$(pid_of "$process")"
  sleep 0.6
  for fd in $after; do send "$fd" sized 1000; done
  for fd in $behind; do echo "$who, in a stop, a request behind: $(rest "$fd" 510000)"; done
  for fd in $after; do echo "$who, in a stop, a request behind the end: $(rest "$fd" 510000)"; done
  for fd in $behind $after; do exec {fd}>&-; done
  stopped "$process"

  $4
  connect "$at"
  send "$fd" sized 910000
  rest "$fd" 910000 5 >"$WORK/slow" &
  reader=$!
  kill -TERM "$(pid_of "$process")"
  # By then the listener is closed, and nothing else is in progress.
  sleep 3.7
  send "$fd" sized 1000
  wait $reader
  echo "$who, at the end of a stop, a request behind: $(cat "$WORK/slow")"
  exec {fd}>&-
  stopped "$process"
}
play gateway g1 127.51.1.1/7901 start_gateway
play entry e1 127.23.0.1/7600 start_entry_for_stop
