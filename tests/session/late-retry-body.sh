# Safe requests with a body of 1 MB at upstreams that read slowly, through a gateway on
# 127.57.0.0/16 whose retry budget is empty.  Guards against a late retry that isn't made and
# yet makes the attempt in progress send the body from its beginning again.
. tests/lib.sh
store=http://127.57.9.1:7900
gateway=http://127.57.1.1:7901
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
cat >"$WORK/gateway.json" <<END
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.57.1.1:7901", "readiness": "127.57.1.1:7902",
              "lookups": "127.57.1.1:7903", "metrics": "127.57.1.1:7904" },
  "store": { "address": "127.57.9.1:7900", "poll_ms": 100 },
  "retry": { "ratio": 0, "slack": 0 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "log_lines_per_s": 10000 }
END
start store "$BUILD/standin" metadata --listen 127.57.9.1:7900
for i in 1 2 3; do
  start u$i "$BUILD/standin" faulty-upstream --listen 127.57.2.$i:9000 --stamp s --mss 1460
done
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
start g1 "$BUILD/citroncleat" gateway -f "$WORK/gateway.json"
put op/config '{"version":1,"routes":[{"name":"r","host":"shop.example","prefix":"/","kind":"safe","timeout_ms":9000,"target_latency_ms":1000,"priority":1,"service":"desk","max_attempts":2}],"services":[{"name":"desk"}],"limits":{"max_body_bytes":67108864}}'
for i in 1 2 3; do
  put servers/i-$i "{\"service\":\"desk\",\"address\":\"127.57.2.$i:9000\",\"zone\":\"north-a\",\"slots\":200,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$i}"
done
# request TOKEN FAULT: prints the status.
request () {
  curl -s -m 9 -o /dev/null -w '%{http_code}\n' -H 'Host: shop.example' -H "Request-Id: $1" -H "X-Caller-Token: $1" \
    -H 'Deadline-Ms: 8000' -H 'Expect:' -H "X-Fault: $2" -H 'X-Form: length' -H 'X-Body: 10' --data-binary "@$WORK/body" "$gateway/x"
}
# bodies TOKEN: size and hash of the body of each run.
bodies () {
  local i
  for i in 1 2 3; do curl -s "http://127.57.2.$i:9000/_record/$1"; done | awk '{ print $3, $4 }' | sort -u
}
# No part of it is like another.
seq -f '%07.0f' 125000 >"$WORK/body"
wait_for 5 eval '[ "$(request calm sized)" = 200 ]'
# The time that a request takes is learned from these.
for n in $(seq 40); do request "quick-$n" sized; done | sort | uniq -c | sed 's/^ *//'
for n in $(seq 6); do request "slow-$n" sized-slow-upload >"$WORK/status.$n" & pids="${pids:-} $!"; done
wait $pids
cat "$WORK"/status.* | sort | uniq -c | sed 's/^ *//'
whole=$(bodies quick-1)
for n in $(seq 6); do
  if [ "$(bodies "slow-$n")" = "$whole" ]; then echo "ran with the caller's body"; else echo "RAN WITH ANOTHER BODY"; fi
done
