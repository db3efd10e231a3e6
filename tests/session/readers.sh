# Six entries of one zone: two read the store (readers), the others get its changes
# from them.  A change is in force at every entry in time, also with a reader that
# is dead, paused or cut off from the store.  Guards against entries that stay with
# a reader whose copy is old.
. tests/lib.sh

store=http://127.27.9.1:7900
max_in_force_ms=2500
upstream_record () { # N STATE SEQUENCE: the registry entry of the upstream at 127.27.2.N
  echo "{\"service\":\"desk\",\"address\":\"127.27.2.$1:7910\",\"zone\":\"north-a\",\"slots\":4,\"state\":\"$2\",\"cold_remaining_ms\":0,\"sequence\":$3,\"born\":$1}"
}
config () { # VERSION ROUTE
  echo "{\"version\":$1,\"routes\":[{\"name\":\"$2\",\"host\":\"shop.example\",\"prefix\":\"/$2/\",\"kind\":\"safe\",\"timeout_ms\":1200,\"target_latency_ms\":400,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\"sticky_sessions\":true,\"allowed_regions\":[]}],\"services\":[{\"name\":\"desk\",\"max_connections\":100,\"cold_start_s\":1.0,\"cold_per_s\":10.0}],\"limits\":{\"max_body_bytes\":100000}}"
}
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
drop () { curl -s -X PUT "$store/_drop?key=$1" -o /dev/null; }
set_path_mode () { # N MODE: of the path from entry rN to the store
  curl -s -X PUT "http://127.27.9.9:7900/_mode?pair=127.27.8.$1:7900&mode=$2" -o /dev/null
}
start_entry () { # N
  cat >"$WORK/r$1.json" <<EOF
{ "name": "r$1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.27.1.$1:7901", "readiness": "127.27.1.$1:7902",
              "lookups": "127.27.1.$1:7903", "metrics": "127.27.1.$1:7904" },
  "store": { "address": "127.27.8.$1:7900", "in_force_ms": $max_in_force_ms, "leaving_ms": $max_in_force_ms },
  "retry": { "ratio": 0.2, "slack": 100 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 6, "log_lines_per_s": 10000 }
EOF
  start "r$1" "$BUILD/citroncleat" gateway -f "$WORK/r$1.json"
}
has_status () { # STATUS URL
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' -H "Request-Id: p-$RANDOM$RANDOM" "$2")" = "$1" ]
}
metric () { # N NAME: of entry rN
  curl -s "http://127.27.1.$1:7904/metrics" | sed -n "s/^$2 //p"
}
store_calls () { metric "$1" 'citroncleat_store_calls_total{at="store"}'; }
# all_have_status STATUS ROUTE ENTRY...: whether a call of this route gets STATUS at each.
all_have_status () { local status=$1 route=$2 i; shift 2; for i in "$@"; do has_status "$status" "http://127.27.1.$i:7901/$route/1" || return 1; done; }
# change ROUTE ENTRY...: writes a configuration with this route only, and prints
# whether each entry follows it in time.
version=1
change () {
  local route=$1 began took
  shift
  version=$((version + 1))
  put op/config "$(config $version "$route")"
  began=${EPOCHREALTIME/./}
  wait_for 10 all_have_status 200 "$route" "$@" || echo "never"
  took=$(((${EPOCHREALTIME/./} - began) / 1000))
  if [ $took -le $max_in_force_ms ]; then echo "in force in time"; else echo "in force after $took ms"; fi
}

pairs=""
for i in 1 2 3 4 5 6; do pairs="$pairs,127.27.8.$i:7900=127.27.9.1:7900"; done
start store "$BUILD/standin" metadata --listen 127.27.9.1:7900
start proxy "$BUILD/standin" proxy --listen 127.27.9.9:7900 --pairs "${pairs#,}"
for i in 1 2; do start "w$i" "$BUILD/standin" worker --listen 127.27.2.$i:7910 --id i-$i; done
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config "$(config 1 first)"
for i in 1 2; do put servers/i-$i "$(upstream_record $i ready 1)"; done
for i in 1 2 3 4 5 6; do start_entry $i; done
for i in 1 2 3 4 5 6; do wait_for 5 has_status 200 "http://127.27.1.$i:7902/ready"; done
sleep 3

echo "# two entries read the store, four get changes from them"
for i in 1 2 3 4 5 6; do before[i]=$(store_calls $i); done
sleep 5
readers=""
others=""
for i in 1 2 3 4 5 6; do
  # Readers poll the store; the others only renew their lease, about once a second.
  if [ $(($(store_calls $i) - before[i])) -ge 8 ]; then readers="$readers $i"; else others="$others $i"; fi
done
set -- $readers
echo "$# readers, $(wc -w <<<"$others") others"
first=${1:-1}
second=${2:-2}

echo "# a change"
change second 1 2 3 4 5 6

echo "# upstreams write more than a response of the store holds"
curl -s -X PUT "$store/_renew?key=servers/i-2&count=5000" -o /dev/null
change many 1 2 3 4 5 6

echo "# one upstream leaves, another one only renews its registry entry"
put servers/i-2 "$(upstream_record 2 ready 2)"
put servers/i-1 "$(upstream_record 1 draining 2)"
sleep 2.5
runs () { curl -s "http://127.27.2.1:7910/_runs" | sed 's/ ran.*//'; }
ran=$(runs)
all_have_status 200 many 1 2 3 4 5 6 && echo "served"
[ "$(runs)" = "$ran" ] && echo "nothing more ran there"
put servers/i-1 "$(upstream_record 1 ready 3)"

echo "# one reader is paused"
kill -STOP "$(pid_of "r$first")"
change third $second $others
kill -CONT "$(pid_of "r$first")"

echo "# one reader is dead"
kill -KILL "$(pid_of "r$first")"
change fourth $second $others
start_entry "$first"
wait_for 5 has_status 200 "http://127.27.1.$first:7902/ready"

echo "# one reader is cut off from the store"
set_path_mode "$first" silent
change fifth $second $others
set_path_mode "$first" normal

echo "# both readers are cut off from the store"
set_path_mode "$first" silent
set_path_mode "$second" silent
change sixth $others
set_path_mode "$first" normal
set_path_mode "$second" normal
wait_for 10 all_have_status 200 sixth 1 2 3 4 5 6 && echo "the readers follow it too"

echo "# a zone is evacuated and restored"
put op/evacuate/north-a 1
sleep 2.5
all_have_status 503 sixth 1 2 3 4 5 6 && echo "no request is sent"
drop op/evacuate/north-a
wait_for 5 all_have_status 200 sixth 1 2 3 4 5 6 && echo "served"

echo "# the log tells why entries left a reader"
for reason in "no answer in time" "its copy is old"; do
  grep -qh "\"reader-left\",\"number\":[01],\"reason\":\"$reason\"" "$WORK"/r?.log && echo "$reason"
done
