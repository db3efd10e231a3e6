# One entry without a budget for second attempts, and one with, while one of two
# upstreams refuses and states for how long it wants no requests.  Guards against
# second attempts beyond the budget, callers that are told "not run" of a request
# that ran, and requests that are lost between the two upstreams.
. tests/lib.sh

store=http://127.35.9.1:7900
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
set_mode () { curl -s -G -X PUT -o /dev/null --data-urlencode "retry_after=$3" "http://127.35.2.$1:7910/_mode?mode=$2"; }
runs () { curl -s "http://127.35.2.$1:7910/_runs" | sed 's/ runs.*//; s/ ran.*//'; }
start_entry () { # RATIO SLACK
  cat >"$WORK/g.json" <<END
{ "name": "g", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.35.1.1:7901", "readiness": "127.35.1.1:7902",
              "lookups": "127.35.1.1:7903", "metrics": "127.35.1.1:7904" },
  "store": { "address": "127.35.9.1:7900" },
  "retry": { "ratio": $1, "slack": $2 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 6, "log_lines_per_s": 10000 }
END
  start g "$BUILD/citroncleat" gateway -f "$WORK/g.json"
  wait_for 5 curl -sf -o /dev/null http://127.35.1.1:7902/ready
}
# load SECONDS: calls that must not run twice, for all sorts of objects, one after
# the other; each line: status, Retry-After, outcome in the body.
load () {
  local until=$((${EPOCHREALTIME/./} + $1 * 1000000)) n=0
  while [ "${EPOCHREALTIME/./}" -lt $until ]; do
    n=$((n + 1))
    curl -s -m 9 -X POST -H 'Host: shop.example' -H "Request-Id: b$2-$n" -H 'Deadline-Ms: 4000' \
      -H "Cookie: Affinity-Key=$n" -D "$WORK/head" -o "$WORK/body" -w '%{http_code}' http://127.35.1.1:7901/jobs/1
    echo " $(sed -n 's/^Retry-After: *\([0-9.]*\).*/\1/pI' "$WORK/head") $(grep -o '"outcome":"[a-z-]*"' "$WORK/body")"
  done
}
metric () { curl -s http://127.35.1.1:7904/metrics | awk -v name="$1" '$1 == name { print $2 }'; }

start store "$BUILD/standin" metadata --listen 127.35.9.1:7900
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config '{"version":1,"routes":[{"name":"jobs","host":"shop.example","prefix":"/jobs/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":400,"priority":1,"service":"desk","max_attempts":2,"sticky_sessions":true,"allowed_regions":[]}],"services":[{"name":"desk","max_connections":100,"cold_start_s":1.0,"cold_per_s":10.0}],"limits":{"max_body_bytes":100000}}'
for i in 1 2; do
  start w$i "$BUILD/standin" worker --listen 127.35.2.$i:7910 --id i-$i
  put servers/i-$i "{\"service\":\"desk\",\"address\":\"127.35.2.$i:7910\",\"zone\":\"north-a\",\"slots\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$i}"
done

for budget in "0 0" "1 100"; do
  start_entry $budget
  echo "# ratio and slack of second attempts: $budget"
  load 1 "${budget/ /-}-before" >/dev/null
  set_mode 1 away 0.3
  ran_before=$(($(runs 1) + $(runs 2)))
  load 4 "${budget/ /-}" >"$WORK/answers"
  ran=$(($(runs 1) + $(runs 2) - ran_before))
  awk '{ print $1, $3, ($1 == 503 ? ($2 > 0 ? "with Retry-After" : "without Retry-After") : "") }' "$WORK/answers" | sort -u
  [ "$ran" = "$(grep -c ^200 "$WORK/answers")" ] && echo "as many ran as were served"
  [ "$(metric citroncleat_turned_away_total)" -ge 3 ] && echo "turned away several times"
  echo "second attempts: $([ "$(grep -c '"sends":2' "$WORK/g.log")" = 0 ] && echo none || echo several)"
  set_mode 1 normal ""
  kill -KILL "$(pid_of g)"
  wait "$(pid_of g)" 2>/dev/null || true
done
