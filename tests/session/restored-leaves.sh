# One entry, and a store that comes back from an older copy.  Right after that the
# records of three upstreams vanish: one that leaves, one that has ended, and one
# whose lease ended.  Guards against requests to upstreams that have left, which
# the store doesn't tell from those whose leases ended with what it lost.
. tests/lib.sh

store=http://127.32.9.1:7900
upstream_record () { # N: the registry entry of the upstream at 127.32.2.N
  echo "{\"service\":\"desk\",\"address\":\"127.32.2.$1:7910\",\"zone\":\"north-a\",\"slots\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$1}"
}
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
drop () { curl -s -X PUT "$store/_drop?key=$1" -o /dev/null; }
set_mode () { curl -s -X PUT "http://127.32.2.$1:7910/_mode?mode=$2" -o /dev/null; } # N MODE
runs () { curl -s "http://127.32.2.$1:7910/_runs" | sed 's/ ran.*//'; }
call () { # KEY: prints the status
  curl -s -m 2 -o /dev/null -w '%{http_code}\n' -H 'Host: shop.example' -H "Request-Id: r-$RANDOM$RANDOM" -H "Cookie: Affinity-Key=$1" "http://127.32.1.1:7901/look/$1"
}
# call_many: calls of many objects; prints which statuses they got.
call_many () {
  local key
  for key in $(seq 40); do call "$key"; done | sort -u | tr '\n' ' '
  echo
}
count () { grep -c "$1" "$WORK/g.log"; }
has_count () { [ "$(count "$1")" -ge "$2" ]; } # TEXT N: whether the log has N such lines
is_in_log () { grep -q "\"upstream\",\"change\":\"$1\",\"id\":\"i-$2\"" "$WORK/g.log"; } # CHANGE N

cat >"$WORK/g.json" <<END
{ "name": "g", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.32.1.1:7901", "readiness": "127.32.1.1:7902",
              "lookups": "127.32.1.1:7903", "metrics": "127.32.1.1:7904" },
  "store": { "address": "127.32.9.1:7900" },
  "retry": { "ratio": 1, "slack": 100 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 6, "log_lines_per_s": 10000 }
END
start store "$BUILD/standin" metadata --listen 127.32.9.1:7900
for i in 1 2 3 4; do start "w$i" "$BUILD/standin" worker --listen 127.32.2.$i:7910 --id i-$i; done
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config '{"version":1,"routes":[{"name":"look","host":"shop.example","prefix":"/look/","kind":"safe","timeout_ms":1200,"target_latency_ms":400,"priority":1,"service":"desk","max_attempts":2,"sticky_sessions":true,"allowed_regions":[]}],"services":[{"name":"desk","health_path":"/healthz","max_connections":100,"cold_start_s":1.0,"cold_per_s":10.0}],"limits":{"max_body_bytes":100000}}'
for i in 1 2 3 4; do put servers/i-$i "$(upstream_record $i)"; done
start g "$BUILD/citroncleat" gateway -f "$WORK/g.json"
wait_for 5 curl -sf -o /dev/null http://127.32.1.1:7902/ready
sleep 3.5 # an entry that has just started asks upstreams before it sends more to them
call_many
for i in 1 2 3 4; do [ "$(runs $i)" -gt 0 ] || echo "i-$i has no calls"; done

echo "# the store comes back, and the records of i-2, i-3 and i-4 vanish"
curl -s -X PUT "$store/_copy" -o /dev/null
curl -s -X PUT "$store/_restore" -o /dev/null
wait_for 3 has_count '"store-restored"' 1 && echo "restored"
set_mode 3 leaving
kill -KILL "$(pid_of w4)" && wait "$(pid_of w4)" 2>/dev/null
for i in 2 3 4; do drop servers/i-$i; done
wait_for 3 is_in_log lapsed 2 || echo "i-2 has not lapsed"
ran_2=$(runs 2)
ran_3=$(runs 3)
sleep 1.2
call_many
echo "i-3, which leaves: $(($(runs 3) - ran_3)) more calls"
[ "$(runs 2)" -gt "$ran_2" ] && echo "i-2, which stays, is in use"
for i in 2 3 4; do
  if is_in_log "has left" $i; then echo "i-$i has left"; fi
done

echo "# the record of i-2 is written again"
put servers/i-2 "$(upstream_record 2)"
sleep 2.5
ran_2=$(runs 2)
call_many
[ "$(runs 2)" -gt "$ran_2" ] && echo "i-2 is in use"
is_in_log "lapse not renewed" 3 && echo "i-3 was used for the grace period"
true
