# Two entries, of which one doesn't run for some seconds (SIGSTOP).  Meanwhile the
# other one stops, and an upstream starts again, cold.  Guards against an entry that
# wakes and sends callers to the one that has gone, or floods the upstream, in its
# first moments.
. tests/lib.sh

store=http://127.47.9.1:7900
cold_ms=6000
allowed=20 # 10 a second * 1.5 + 5
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
upstream_record () { # N BORN COLD_MS
  echo "{\"service\":\"desk\",\"address\":\"127.47.2.$1:7910\",\"zone\":\"north-a\",\"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":$3,\"sequence\":1,\"born\":$2}"
}
start_upstream () { # N COLD_MS
  start "w$1" "$BUILD/standin" worker --listen 127.47.2.$1:7910 --id "i-$1" --slots 16 --cold-ms "$2"
  wait_for 5 curl -s -o /dev/null "http://127.47.2.$1:7910/healthz"
}
lookup () { curl -s -m 9 "http://127.47.1.1:7903/resolve?region=north"; }
call () { # PATH
  curl -s -m 9 -o /dev/null -H 'Host: shop.example' -H "Request-Id: p-$RANDOM$RANDOM$RANDOM" -H 'Deadline-Ms: 9000' "http://127.47.1.1:7901$1"
}
names () { # FILES: how many of the responses name each entry
  cat "$@" | grep -oE '127\.47\.1\.[0-9]' | sort | uniq -c | sed 's/^ *//'
}

start store "$BUILD/standin" metadata --listen 127.47.9.1:7900
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config '{"version":1,"routes":[{"name":"look","host":"shop.example","prefix":"/look/","kind":"safe","timeout_ms":9000,"target_latency_ms":400,"priority":1,"service":"desk","max_attempts":2,"sticky_sessions":false,"allowed_regions":[]}],"services":[{"name":"desk","health_path":"/healthz","max_connections":100,"cold_start_s":6.0,"cold_per_s":10.0}],"limits":{"max_body_bytes":100000}}'
for n in 1 2; do
  cat >"$WORK/e$n.json" <<END
{ "name": "e$n", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.47.1.$n:7901", "readiness": "127.47.1.$n:7902",
              "lookups": "127.47.1.$n:7903", "metrics": "127.47.1.$n:7904" },
  "store": { "address": "127.47.9.1:7900", "lease_ms": 2000 },
  "retry": { "ratio": 1, "slack": 100 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 2, "log_lines_per_s": 10000 }
END
  start_upstream $n 0
  put servers/i-$n "$(upstream_record $n $n 0)"
  start e$n "$BUILD/citroncleat" gateway -f "$WORK/e$n.json"
done
for n in 1 2; do wait_for 5 curl -sf -o /dev/null "http://127.47.1.$n:7902/ready"; done
both_named () { lookup | grep -q '127\.47\.1\.1.*127\.47\.1\.2\|127\.47\.1\.2.*127\.47\.1\.1'; }
wait_for 5 both_named && echo "both entries are named"
for n in $(seq 20); do call /look/$n; done

kill -STOP "$(pid_of e1)"
kill -TERM "$(pid_of e2)"
{ kill -KILL "$(pid_of w1)" && wait "$(pid_of w1)"; } 2>/dev/null
start_upstream 1 $cold_ms
put servers/i-1 "$(upstream_record 1 11 $cold_ms)"
sleep 0.5
for n in $(seq 10); do lookup >"$WORK/lookup.$n" & lookups="${lookups:-} $!"; done
for n in $(seq 60); do call /look/$n & calls="${calls:-} $!"; done
sleep 4
kill -CONT "$(pid_of e1)"
wait $lookups $calls
echo "# look-ups that waited while it was paused"
names "$WORK"/lookup.*
echo "# requests that waited, at the cold upstream"
most=$(curl -s http://127.47.2.1:7910/_rush)
if [ "${most%% *}" -le $allowed ]; then echo "in any second no more than it may get"
else echo "$most, allowed $allowed"; fi
