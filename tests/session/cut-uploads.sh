# An upstream responds while a long body is still being sent to it, through a gateway
# on 127.50.0.0/16 and through an entry.  The response has a length, is chunked, or ends
# with its connection.  Guards against a part of a response that passes for the whole
# one when the connection is reset, and against whole ones that are lost.
. tests/session/deployment.sh
store=http://127.50.9.1:7900
gateway=http://127.50.1.1:7901
entry=http://127.23.0.1:7600
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }

start store "$BUILD/standin" metadata --listen 127.50.9.1:7900
start faulty-upstream "$BUILD/standin" faulty-upstream --listen 127.50.2.1:9000 --stamp s
cat >"$WORK/gateway.json" <<EOF
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.50.1.1:7901", "readiness": "127.50.1.1:7902",
              "lookups": "127.50.1.1:7903", "metrics": "127.50.1.1:7904" },
  "store": { "address": "127.50.9.1:7900", "poll_ms": 100 },
  "retry": { "ratio": 1, "slack": 200 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "log_lines_per_s": 10000 }
EOF
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
start g1 "$BUILD/citroncleat" gateway -f "$WORK/gateway.json"
put op/config '{"version":1,"routes":[{"name":"r","host":"shop.example","prefix":"/","kind":"unsafe","timeout_ms":5000,"target_latency_ms":900,"priority":1,"service":"desk","max_attempts":1}],"services":[{"name":"desk"}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864}}'
put servers/i-1 '{"service":"desk","address":"127.50.2.1:9000","zone":"north-a","slots":200,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}'

start_platform
cat >"$WORK/odd.json" <<EOF
{ "resources": [
  { "kind": "region", "name": "north", "spec": {} },
  { "kind": "zone", "name": "north-a", "spec": { "region": "north" } },
  { "kind": "service", "name": "shop", "spec": { "hosts": ["shop.example"], "deadline_ms": 5000 } },
  { "kind": "upstream-group", "name": "rude", "spec": { "service": "shop", "zone": "north-a", "slots": 9, "connections": 30 } },
  { "kind": "upstream", "name": "rude-1", "spec": { "group": "rude", "address": "127.50.2.1:9000" } }
] }
EOF
start_entry 1 north-a north
wait_for 5 client apply -f "$WORK/odd.json"
is_served () { # URL
  [ "$(curl -s -m 2 -X POST -d order -o /dev/null -w '%{http_code}' -H 'Host: shop.example' -H 'Request-Id: calm' -H 'X-Caller-Token: calm' -H 'Deadline-Ms: 1500' "$1/calm")" = 200 ]
}
wait_for 5 is_served $gateway
wait_for 5 is_served $entry

head -c 3145728 /dev/zero >"$WORK/upload"
# upload URL FAULT FORM SIZE RATE: prints how an upload at RATE bytes/s ended, whose
# response has SIZE bytes.
upload () {
  local token=$2-$3-$4-$5-${1##*:} status result=0 size
  : >"$WORK/body"
  status=$(curl -s -m 20 -X POST --limit-rate "$5" -T "$WORK/upload" -H 'Host: shop.example' -H "Request-Id: $token" \
    -H "X-Caller-Token: $token" -H 'Deadline-Ms: 4000' -H 'Expect:' -H "X-Fault: $2" -H "X-Form: $3" -H "X-Body: $4" \
    -o "$WORK/body" -w '%{http_code}' "$1/x") || result=$?
  size=$(stat -c %s "$WORK/body")
  if [ "$status" != 200 ]; then echo "$status"
  elif [ $result != 0 ]; then echo "cut off"
  elif [ "$size" = "$4" ]; then echo "whole"
  else echo "$size OF $4 BYTES AS A WHOLE RESPONSE"; fi
}
# play RATE FAULT: each form of the response, buffered whole by the gateway and streamed.
play () {
  local form size
  for form in length chunked close; do for size in 1000 600000; do
    echo "$2, $form, $size bytes at $1/s: gateway $(upload $gateway "$2" $form $size "$1"); entry $(upload $entry "$2" $form $size "$1")"
    is_served $gateway && is_served $entry || echo "not served any more"
  done; done
}
# What was forwarded before the reset shows whether the caller got a status already.
not_whole () { sed 's/: gateway \(50[24]\|cut off\); entry \(50[24]\|cut off\)$/: not taken for whole/'; }
if [ "${ENTRY_STREAMS:-}" = yes ]; then
  # Sourced by early-streamed.sh.
  for form in length chunked close; do echo "early, $form, 600000 bytes: entry $(upload $entry early $form 600000 1G)"; done
  exit 0
fi
echo "# the connection is reset in the response's body"
for rate in 4M 1G; do play $rate reset-early-body; done | not_whole
echo "# the response is whole, and the upstream reads the rest of the upload"
for form in length chunked close; do
  echo "early, $form, 1000 bytes: gateway $(upload $gateway early $form 1000 1G); entry $(upload $entry early $form 1000 1G)"
  echo "early, $form, 600000 bytes: gateway $(upload $gateway early $form 600000 1G)"
done
