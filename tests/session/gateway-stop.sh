# A gateway that is stopped while callers keep their connections to it, on
# 127.36.0.0/16.  Guards against requests that a planned stop takes and cuts off.
. tests/lib.sh

store=http://127.36.9.1:7900
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
set_mode () {
  for i in 1 2 3; do curl -s -X PUT "http://127.36.2.$i:7910/_mode?mode=$1" -o /dev/null; done
}
run_counts () {
  for i in 1 2 3; do curl -s http://127.36.2.$i:7910/_runs | grep -o '^[0-9]*'; done
}
is_ready () { [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' http://127.36.1.1:7902/ready)" = 200 ]; }
total () { local n sum=0; for n in "$@"; do sum=$((sum + n)); done; echo $sum; }
# send CONNECTION ID DEADLINE-MS [METHOD-AND-PATH]: sends one request on a connection
# kept open.
send () {
  printf '%s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: %s\r\nContent-Length: 0\r\n\r\n' "${4:-POST /jobs/1}" "$2" "$3" >&"$1"
}
# receive CONNECTION: prints the status of the response, its outcome if it is the
# gateway's own, and whether the connection is to be closed.
receive () {
  local line length=0 status=none outcome="" end="" body
  IFS=' ' read -r -t 5 _ status _ <&"$1"
  while IFS= read -r -t 5 line <&"$1" && [ "$line" != $'\r' ]; do
    case ${line,,} in
      content-length:*) length=${line//[^0-9]/} ;;
      connection:\ close*) end=", close" ;;
    esac
  done
  [ "$length" = 0 ] || IFS= read -r -t 5 -N "$length" body <&"$1"
  [[ ${body:-} != *outcome* ]] || outcome=" $(grep -o '"outcome":"[a-z-]*"' <<<"$body" | cut -d'"' -f4)"
  echo "${status:-none}$outcome$end"
}
sleep_until () { # SECONDS after the signal
  local now=$EPOCHREALTIME
  sleep "$(awk -v t="$signal_at" -v s="$1" -v n="$now" 'BEGIN { w = t + s - n; print (w > 0 ? w : 0) }')"
}

cat >"$WORK/gateway.json" <<E2
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.36.1.1:7901", "readiness": "127.36.1.1:7902",
              "lookups": "127.36.1.1:7903", "metrics": "127.36.1.1:7904" },
  "store": { "address": "127.36.9.1:7900", "poll_ms": 100, "timeout_ms": 300, "lease_ms": 1000 },
  "retry": { "ratio": 1, "slack": 20 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 6, "log_lines_per_s": 10000 }
E2
start store "$BUILD/standin" metadata --listen 127.36.9.1:7900
for i in 1 2 3; do
  start w$i "$BUILD/standin" worker --listen 127.36.2.$i:7910 --id i-$i --work-ms 30 --slots 8
done
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
start g1 "$BUILD/citroncleat" gateway -f "$WORK/gateway.json"
put op/config '{"version":1,"routes":[{"name":"jobs","host":"shop.example","prefix":"/jobs/","kind":"unsafe","timeout_ms":20000,"target_latency_ms":400,"priority":1,"service":"desk","max_attempts":1,"sticky_sessions":false,"allowed_regions":[]},{"name":"look","host":"shop.example","prefix":"/look/","kind":"safe","timeout_ms":20000,"target_latency_ms":2000,"priority":1,"service":"desk","max_attempts":2,"sticky_sessions":false,"allowed_regions":[]}],"services":[{"name":"desk","max_connections":100,"cold_start_s":1.0,"cold_per_s":10.0}],"limits":{"max_body_bytes":100000}}'
for i in 1 2 3; do
  put servers/i-$i "{\"service\":\"desk\",\"address\":\"127.36.2.$i:7910\",\"zone\":\"north-a\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$i}"
done
wait_for 5 is_ready

for c in soon short long body look open; do
  exec {fd}<>/dev/tcp/127.36.1.1/7901
  declare "$c=$fd"
  send "$fd" "first-$c" 3000
  echo "before the stop: $(receive "$fd")"
done
# Until a response is expected in a quarter of the target latency.
for n in $(seq 30); do
  send "$look" "expected-$n" 3000 'GET /look/1'
  receive "$look"
done | sort | uniq -c | sed 's/^ *//'
set_mode lose
send "$open" open 12000
sleep 0.3
set_mode normal
signal_at=$EPOCHREALTIME
kill -TERM "$(pid_of g1)"
sleep_until 1
send "$soon" soon 12000
echo "soon after the signal: $(receive "$soon")"
set_mode lose
before=$(run_counts)
send "$look" look 12000 'GET /look/1'
sleep_until 3.5
[ "$(total $before)" = $(($(total $(run_counts)) - 1)) ] && echo "a late response: one run, not broken off for another"
set_mode normal
printf 'POST /jobs/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: body\r\nDeadline-Ms: 12000\r\nContent-Length: 2\r\n\r\n1' >&"$body"
sleep_until 4
send "$short" short 700
echo "late, its deadline before the end of the stop: $(receive "$short")"
set_mode lose
before=$(run_counts)
send "$long" long 12000
echo "late, its deadline after the end of the stop: $(receive "$long")"
sleep_until 5.42
printf 2 >&"$body"
echo "taken early, its body complete 0.2 s before the end of the stop: $(receive "$body")"
[ "$before" = "$(run_counts)" ] && echo "neither ran"
echo "in progress at the end of the stop: $(receive "$open")"
while kill -0 "$(pid_of g1)" 2>/dev/null; do sleep 0.1; done
awk -v t="$signal_at" -v n="$EPOCHREALTIME" 'BEGIN { if (n - t < 6) print "ended before the kill" }'
wait "$(pid_of g1)"
echo "status $?"
