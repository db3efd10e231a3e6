# An entry, then an upstream, that doesn't run for some seconds (SIGSTOP), beside a
# stand-in of the store.  Guards against an entry that wakes and sends requests to
# an upstream that drained meanwhile, and against work of a silent upstream that is
# started again, or given up while its caller waits.
. tests/lib.sh

store=http://127.31.9.1:7900
upstream_record () { # N STATE SEQUENCE: the registry entry of the upstream at 127.31.2.N
  echo "{\"service\":\"desk\",\"address\":\"127.31.2.$1:7910\",\"zone\":\"north-a\",\"slots\":16,\"state\":\"$2\",\"cold_remaining_ms\":0,\"sequence\":$3,\"born\":$1}"
}
route () { # NAME KIND
  echo "{\"name\":\"$1\",\"host\":\"shop.example\",\"prefix\":\"/$1/\",\"kind\":\"$2\",\"timeout_ms\":9000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\"sticky_sessions\":true,\"allowed_regions\":[]}"
}
config () {
  echo "{\"version\":1,\"routes\":[$(route look safe),$(route jobs unsafe)],\"services\":[{\"name\":\"desk\",\"max_connections\":100,\"cold_start_s\":1.0,\"cold_per_s\":10.0}],\"limits\":{\"max_body_bytes\":100000}}"
}
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
set_mode () { # ADDRESS MODE: of a stand-in
  curl -s -X PUT "http://$1/_mode?mode=$2" -o /dev/null
}
runs () { curl -s "http://127.31.2.$1:7910/_runs"; } # N: what ran at upstream N
ran () { runs "$1" | sed 's/ ran.*//'; }
has_status () { # STATUS URL
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' -H "Request-Id: p-$RANDOM$RANDOM" "$2")" = "$1" ]
}
# call ID PATH [CURL-OPTIONS]: a call with a deadline of 9 s; prints the status.
call () {
  curl -s -m 10 -H 'Host: shop.example' -H "Request-Id: $1" -H 'Deadline-Ms: 9000' \
    -w '%{http_code}\n' -o /dev/null "${@:3}" "http://127.31.1.1:7901$2"
}
count () { sort | uniq -c | sed 's/^ *//'; }

cat >"$WORK/r1.json" <<END
{ "name": "r1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.31.1.1:7901", "readiness": "127.31.1.1:7902",
              "lookups": "127.31.1.1:7903", "metrics": "127.31.1.1:7904" },
  "store": { "address": "127.31.9.1:7900", "in_force_ms": 2500, "leaving_ms": 2500 },
  "retry": { "ratio": 1, "slack": 100 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 6, "log_lines_per_s": 10000 }
END
start store "$BUILD/standin" metadata --listen 127.31.9.1:7900
for i in 1 2 3; do start "w$i" "$BUILD/standin" worker --listen 127.31.2.$i:7910 --id i-$i --slots 16; done
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config "$(config)"
for i in 1 2; do put servers/i-$i "$(upstream_record $i ready 1)"; done
start r1 "$BUILD/citroncleat" gateway -f "$WORK/r1.json"
wait_for 5 has_status 200 http://127.31.1.1:7902/ready
for n in 1 2 3 4 5 6; do call "first-$n" /look/$n; done | count

# pause_entry SECONDS N: pauses the entry, in which upstream N drains and callers
# send; prints what callers got, and whether N ran anything.
pause_entry () {
  local before after n
  before=$(ran "$2")
  kill -STOP "$(pid_of r1)"
  sleep 0.1
  put "servers/i-$2" "$(upstream_record "$2" draining 2)"
  for n in 1 2 3 4 5 6 7 8; do call "paused-$1-$n" /jobs/$n -d order >>"$WORK/paused-$1" & done
  sleep "$1"
  kill -CONT "$(pid_of r1)"
  for n in 1 2 3 4; do call "woken-$1-$n" /jobs/$n -d order >>"$WORK/paused-$1"; done
  wait_for 10 has_lines 12 "$WORK/paused-$1"
  count <"$WORK/paused-$1"
  after=$(ran "$2")
  [ "$before" = "$after" ] && echo "nothing ran at the upstream that drained"
}
has_lines () { [ "$(wc -l <"$2")" = "$1" ]; }

echo "# the entry is paused for 3 s, in which an upstream drains"
pause_entry 3 1
put servers/i-1 "$(upstream_record 1 ready 3)"
sleep 1.5

echo "# for 6 s"
pause_entry 6 2
put servers/i-2 "$(upstream_record 2 ready 3)"
sleep 1.5

echo "# for 3 s, and the store doesn't answer when it wakes: what is known is used"
kill -STOP "$(pid_of r1)"
set_mode 127.31.9.1:7900 silent
sleep 3
kill -CONT "$(pid_of r1)"
for n in 1 2 3; do call "silent-$n" /jobs/$n -d order; done | count
set_mode 127.31.9.1:7900 normal
sleep 2

echo "# the upstreams are paused for 3 s while they run work that may run once"
for i in 1 2; do set_mode 127.31.2.$i:7910 long; done
for n in 1 2 3 4 5 6; do call "job-$n" /jobs/$n -d order >>"$WORK/jobs" & done
sleep 0.5
for i in 1 2; do kill -STOP "$(pid_of w$i)"; done
put servers/i-3 "$(upstream_record 3 ready 1)"
sleep 3
[ "$(ran 3)" = 0 ] && echo "none was started at another upstream"
for i in 1 2; do kill -CONT "$(pid_of w$i)"; done
wait_for 8 has_lines 6 "$WORK/jobs"
count <"$WORK/jobs"
for i in 1 2; do runs $i | sed 's/.* ran, //'; done
