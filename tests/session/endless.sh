# A gateway with an upstream that sends bytes without end: in a status line, a
# field, the number of fields, folded lines, interim responses, the size of a chunk, chunks,
# trailers, a body, and after a whole response; fast, or drop by drop.  Guards
# against memory that grows with them, requests that last beyond their deadline,
# and connections that stay open.  Attempts at upstreams are the same code in an
# entry.
. tests/session/deployment.sh
store=http://127.29.9.1:7900
callers=100
most_kb=$((40 * 1024))
# A sanitized program uses more memory for each byte, and keeps what was freed in a
# quarantine, 256 MB by default, which says nothing of what the program uses.
if grep -q sanitize <<<"$BUILD"; then
  most_kb=$(((400 - (256 - 16)) * 1024))
  export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=16"
fi
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
start store "$BUILD/standin" metadata --listen 127.29.9.1:7900
start faulty-upstream "$BUILD/standin" faulty-upstream --listen 127.29.2.1:9000 --stamp s
cat >"$WORK/gateway.json" <<EOF
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.29.1.1:7901", "readiness": "127.29.1.1:7902",
              "lookups": "127.29.1.1:7903", "metrics": "127.29.1.1:7904" },
  "store": { "address": "127.29.9.1:7900", "poll_ms": 100 },
  "retry": { "ratio": 1, "slack": 20 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "log_lines_per_s": 10000 }
EOF
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
start g1 "$BUILD/citroncleat" gateway -f "$WORK/gateway.json"
put op/config '{"version":1,"routes":[{"name":"r","host":"shop.example","prefix":"/","kind":"safe","timeout_ms":1000,"target_latency_ms":900,"priority":1,"service":"desk","max_attempts":1}],"services":[{"name":"desk"}]}'
put servers/i-1 '{"service":"desk","address":"127.29.2.1:9000","zone":"north-a","slots":200,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}'
# The route's limit is 1000 ms; a busy machine is given four times as long.
most_ms=4000

memory_kb () { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$(pid_of "$1")/status"; }
descriptors () { ls "/proc/$(pid_of "$1")/fd" | wc -l; }
is_served () { # URL
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' -H 'Request-Id: calm' -H 'X-Caller-Token: calm' -H 'Deadline-Ms: 1500' "$1/calm")" = 200 ]
}
closed () { # PROCESS COUNT: whether it has at most COUNT descriptors
  [ "$(descriptors "$1")" -le "$2" ]
}
# storm PROCESS URL FAULT: many callers at once, of one fault.  Prints, from the log
# of the process, whether each request ended as such a response allows, and in time
# if it got no body; a caller may be slow to read one.
storm () {
  local slowest log=$WORK/storm.log
  curl -s -m 4 --parallel --parallel-immediate --parallel-max $callers -o /dev/null \
    -H 'Host: shop.example' -H "Request-Id: $3" -H "X-Caller-Token: storm" -H 'Deadline-Ms: 1500' -H "X-Fault: $3" \
    "$2/[1-$callers]" 2>/dev/null
  sleep 0.3
  grep '"event":"request"' "$WORK/$1.log" | grep "\"id\":\"$3\"" >"$log"
  # A response that never ends is never served; what follows a whole one is not part of it.
  sed 's/.*"outcome":"\([a-z]*\)","status":\([0-9]*\).*/\1 \2/' "$log" | sort | uniq -c \
    | grep -vE "left|refused 503|failed (200|502|504)$([ "$3" != endless-tail ] || echo '|served 200')"
  slowest=$(grep -v '"status":200' "$log" | sed 's/.*"elapsed_ms":\([0-9]*\).*/\1/' | sort -n | tail -1)
  if [ "${slowest:-0}" -le $most_ms ]; then echo "$3: ended in time"; else echo "$3: ended after $slowest ms"; fi
}
faults="endless-status endless-field endless-fields endless-folds endless-interim endless-size endless-chunks endless-trailer endless-body endless-tail slow-head slow-body"
# check PROCESS URL: all faults, and what the process is left with.
check () {
  wait_for 5 is_served "$2"
  local before_kb before
  before_kb=$(memory_kb "$1")
  before=$(descriptors "$1")
  for fault in $faults; do storm "$1" "$2" "$fault"; done
  wait_for 8 closed "$1" $((before + 4)) || echo "$(descriptors "$1") descriptors, $before before"
  local grown_kb=$(($(memory_kb "$1") - before_kb))
  if [ $grown_kb -le $most_kb ]; then echo "memory is bounded"; else echo "memory grew by $grown_kb KB"; fi
  wait_for 8 is_served "$2" && echo "served afterwards"
}

echo "# the gateway"
check g1 http://127.29.1.1:7901
