# An entry that starts while the store is away, beside another one that has been in
# service.  Guards against an entry that refuses all calls though its neighbour knows
# the configuration, and against a copy of the store that puts an upstream that had
# left in use again.
. tests/lib.sh

store=http://127.36.9.1:7900
upstream_record () { # N STATE SEQUENCE: the registry entry of the upstream at 127.36.2.N
  echo "{\"service\":\"desk\",\"address\":\"127.36.2.$1:7910\",\"zone\":\"north-a\",\"slots\":4,\"state\":\"$2\",\"cold_remaining_ms\":0,\"sequence\":$3,\"born\":$1}"
}
config () { # VERSION ROUTE
  echo "{\"version\":$1,\"routes\":[{\"name\":\"$2\",\"host\":\"shop.example\",\"prefix\":\"/$2/\",\"kind\":\"safe\",\"timeout_ms\":1200,\"target_latency_ms\":400,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\"sticky_sessions\":true,\"allowed_regions\":[]}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":100,\"cold_start_s\":1.0,\"cold_per_s\":10.0}],\"limits\":{\"max_body_bytes\":100000}}"
}
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
drop () { curl -s -X PUT "$store/_drop?key=$1" -o /dev/null; }
set_store_mode () { curl -s -X PUT "$store/_mode?mode=$1" -o /dev/null; }
start_entry () { # N
  cat >"$WORK/s$1.json" <<EOF
{ "name": "s$1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.36.1.$1:7901", "readiness": "127.36.1.$1:7902",
              "lookups": "127.36.1.$1:7903", "metrics": "127.36.1.$1:7904",
              "copies": "127.36.1.$1:7905" },
  "seeds": ["127.36.1.2:7905", "127.36.1.1:7905"],
  "store": { "address": "127.36.9.1:7900", "in_force_ms": 2500, "leaving_ms": 2500 },
  "retry": { "ratio": 0.2, "slack": 100 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 6, "log_lines_per_s": 10000 }
EOF
  start "s$1" "$BUILD/citroncleat" gateway -f "$WORK/s$1.json"
}
has_status () { # STATUS URL
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' -H "Request-Id: p-$RANDOM$RANDOM" "$2")" = "$1" ]
}
is_serving () { has_status 200 "http://127.36.1.$1:7901/$2/$RANDOM"; }
is_started () { grep -q '"started"' "$WORK/s$1.log"; }
runs () { curl -s "http://127.36.2.$1:7910/_runs" | sed 's/ ran.*//'; }

start store "$BUILD/standin" metadata --listen 127.36.9.1:7900
for i in 1 2 3; do start "w$i" "$BUILD/standin" worker --listen 127.36.2.$i:7910 --id i-$i; done
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config "$(config 1 first)"
for i in 1 2 3; do put servers/i-$i "$(upstream_record $i ready 1)"; done
for i in 1 2; do start_entry $i; done
for i in 1 2; do wait_for 5 has_status 200 "http://127.36.1.$i:7902/ready"; done
for i in 1 2; do wait_for 5 is_serving $i first && echo "s$i serves"; done

echo "# an upstream leaves, another is removed, the store goes away, an entry is killed and started"
put servers/i-2 "$(upstream_record 2 draining 2)"
drop servers/i-3
sleep 4
set_store_mode silent
sleep 4
ran="$(runs 2) $(runs 3)"
kill -KILL "$(pid_of s2)"
start_entry 2
wait_for 5 is_started 2 && echo "s2 started"
wait_for 3 is_serving 2 first && echo "s2 serves within 3 s"
for n in 1 2 3 4 5 6 7 8; do is_serving 1 first || echo "s1 refuses"; is_serving 2 first || refused=yes; done
[ -z "${refused:-}" ] && echo "s2 goes on serving"
[ "$(runs 2) $(runs 3)" = "$ran" ] && echo "nothing more ran at those that had left"

echo "# the store is back: changes are followed"
set_store_mode normal
put op/config "$(config 2 second)"
for i in 1 2; do wait_for 5 is_serving $i second && echo "s$i serves"; done
[ "$(runs 2) $(runs 3)" = "$ran" ] && echo "nothing more ran at those that had left"
