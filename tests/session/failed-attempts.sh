# Guards against attempts that fail unseen when the budget of log lines is used up:
# each is counted by its reason, at a gateway on 127.43.0.0/16 that writes no lines on
# requests.
. tests/lib.sh
store=http://127.43.9.1:7900
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
cat >"$WORK/gateway.json" <<END
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.43.1.1:7901", "readiness": "127.43.1.1:7902",
              "lookups": "127.43.1.1:7903", "metrics": "127.43.1.1:7904" },
  "store": { "address": "127.43.9.1:7900", "poll_ms": 100 },
  "retry": { "ratio": 1, "slack": 100 }, "cold": { "multiplier": 100, "slack": 100 },
  "log_lines_per_s": 1 }
END
start store "$BUILD/standin" metadata --listen 127.43.9.1:7900
start u1 "$BUILD/standin" faulty-upstream --listen 127.43.2.1:9000 --stamp s
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
start g1 "$BUILD/citroncleat" gateway -f "$WORK/gateway.json"
put op/config '{"version":1,"routes":[{"name":"jobs","host":"shop.example","prefix":"/jobs/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":3000,"priority":1,"service":"desk","max_attempts":1}],"services":[{"name":"desk"}]}'
put servers/i-1 '{"service":"desk","address":"127.43.2.1:9000","zone":"north-a","slots":200,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}'
wait_for 5 curl -sf -o /dev/null http://127.43.1.1:7902/ready
# An upstream that broke off may be doubted for a while, so the breaks come last.
for fault in sized refusal sized-unstamped slow-head close-in-body close-start; do
  curl -s -m 5 -o /dev/null -w "$fault: %{http_code}\n" -X POST -d order -H 'Host: shop.example' -H "Request-Id: f-$fault" -H 'Deadline-Ms: 1000' -H 'X-Body: 9' -H 'X-Form: length' -H "X-Fault: $fault" http://127.43.1.1:7901/jobs/1
done
curl -s http://127.43.1.1:7904/metrics | grep '^citroncleat_failed_attempts_total' | sort
