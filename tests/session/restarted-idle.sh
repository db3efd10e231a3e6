# An upstream ends while nobody has a request there, and starts again under its id,
# cold; its record is the old one.  One entry has an idle connection to it, and one
# starts afterwards.  Guards against entries that send to it as to the process that
# ended, since no request of theirs was lost.
. tests/lib.sh

store=http://127.45.9.1:7900
cold_ms=3000
cold_per_s=10
multiplier=1.5
slack=5
allowed=20 # cold_per_s * multiplier + slack
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
upstream_record () { # N
  echo "{\"service\":\"desk\",\"address\":\"127.45.2.$1:7910\",\"zone\":\"north-a\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$1}"
}
start_upstream () { # N COLD_MS
  start "w$1" "$BUILD/standin" worker --listen 127.45.2.$1:7910 --id "i-$1" --slots 8 --cold-ms "$2"
  wait_for 5 curl -s -o /dev/null "http://127.45.2.$1:7910/healthz"
}
restart_upstream () { # N: ends at once, and starts again cold
  { kill -KILL "$(pid_of "w$1")" && wait "$(pid_of "w$1")"; } 2>/dev/null
  start_upstream "$1" $cold_ms
}
start_entry () { # N
  cat >"$WORK/n$1.json" <<END
{ "name": "n$1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.45.1.$1:7901", "readiness": "127.45.1.$1:7902",
              "lookups": "127.45.1.$1:7903", "metrics": "127.45.1.$1:7904" },
  "store": { "address": "127.45.9.1:7900", "lease_ms": 20000 },
  "retry": { "ratio": 0.2, "slack": 100 },
  "cold": { "multiplier": $multiplier, "slack": $slack },
  "stop_s": 6, "log_lines_per_s": 10000 }
END
  start "n$1" "$BUILD/citroncleat" gateway -f "$WORK/n$1.json"
  wait_for 5 curl -sf -o /dev/null "http://127.45.1.$1:7902/ready"
}
# call ENTRY KEY: prints the upstream that ran it.
call () {
  curl -s -m 5 -H 'Host: shop.example' -H "Request-Id: k-$BASHPID-$RANDOM$RANDOM" -H "Cookie: Affinity-Key=$2" "http://127.45.1.$1:7901/look/1" | sed 's/ .*//'
}
# find_key ID: prints a key whose requests at n1 go to the upstream ID.
find_key () {
  local key
  for key in $(seq 100 400); do [ "$(call 1 "$key")" = "$1" ] && echo "$key" && return; done
  echo "no request reaches $1" >&2
}
# rush ENTRY KEY: 60 calls in about half a second; prints whether the upstream of the
# key, which is cold, got more of them than it may.
rush () {
  local most calls="" i
  for i in $(seq 60); do call "$1" "$2" >/dev/null & calls="$calls $!"; done
  wait $calls
  most=$(curl -s http://127.45.2.1:7910/_rush)
  if [ "${most%% *}" -eq 0 ]; then echo "no request while it was cold"
  elif [ "${most%% *}" -le $allowed ]; then echo "in any second no more than it may get"
  else echo "$most, allowed $allowed"; fi
}

start store "$BUILD/standin" metadata --listen 127.45.9.1:7900
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config "{\"version\":1,\"routes\":[{\"name\":\"look\",\"host\":\"shop.example\",\"prefix\":\"/look/\",\"kind\":\"safe\",\"timeout_ms\":4000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\"sticky_sessions\":true,\"allowed_regions\":[]}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":100,\"cold_start_s\":$((cold_ms / 1000)).0,\"cold_per_s\":$cold_per_s.0}],\"limits\":{\"max_body_bytes\":100000}}"
for i in 1 2 3; do start_upstream $i 0; put servers/i-$i "$(upstream_record $i)"; done
start_entry 1
key=$(find_key i-1)
other=$(find_key i-2)

echo "# an entry with an idle connection"
call 1 "$key"
restart_upstream 1
sleep 1 # libcurl looks at idle connections once a second
call 1 "$other"
sleep 0.3
rush 1 "$key"
grep -ch '"reason":"it closed an idle connection early"' "$WORK/n1.log"

echo "# an entry that starts afterwards"
restart_upstream 1
start_entry 2
rush 2 "$key"
grep -ch '"reason":"this entry has just started"' "$WORK/n2.log" | sed 's/[1-9][0-9]*/doubted/'

echo "# when it is warm it gets requests again"
sleep 3
call 1 "$key"
call 2 "$key"
