# A gateway whose VM has little memory, with many callers at once that send bodies or
# heads and stop just short of their end, send far more than is allowed, or don't read
# their answers, and stay.  Guards against a process that ends, or that holds more
# memory or descriptors for others than its VM has.  Checks no times and no share of
# served requests.
. tests/lib.sh
# crowds-others.sh has the rest of the loads; in one session they take too long.
loads=${loads:-length length-in-pieces one-chunk chunks small-chunks chunk-extensions}
store=http://127.62.9.1:7900
callers=100
memory_mb=64
most_kb=$((memory_mb * 1024 * 7 / 10))
most_descriptors=300
# A sanitized program uses more memory for each byte, see endless.sh.
if grep -q sanitize <<<"$BUILD"; then
  most_kb=$((most_kb + 120 * 1024))
  export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=16"
fi
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
start store "$BUILD/standin" metadata --listen 127.62.9.1:7900
start faulty-upstream "$BUILD/standin" faulty-upstream --listen 127.62.2.1:9000 --stamp s
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config '{"version":1,"routes":[{"name":"r","host":"shop.example","prefix":"/","kind":"upload","timeout_ms":15000,"target_latency_ms":900,"priority":1,"service":"desk","max_attempts":1}],"services":[{"name":"desk"}],"limits":{"max_body_bytes":1000000}}'
put servers/i-1 '{"service":"desk","address":"127.62.2.1:9000","zone":"north-a","slots":200,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}'
cat >"$WORK/gateway.json" <<EOF
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.62.1.1:7901", "readiness": "127.62.1.1:7902",
              "lookups": "127.62.1.1:7903", "metrics": "127.62.1.1:7904" },
  "store": { "address": "127.62.9.1:7900", "poll_ms": 100 },
  "retry": { "ratio": 1, "slack": 20 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "machine": { "memory_mb": $memory_mb } }
EOF
memory_kb () { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$(pid_of g1)/status"; }
descriptors () { ls "/proc/$(pid_of g1)/fd" | wc -l; }
is_served () {
  [ "$(head -c 900000 /dev/zero | curl -s -m 10 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' -H 'Request-Id: calm' \
    -H 'X-Caller-Token: calm' -H 'Deadline-Ms: 15000' -H 'Expect:' --data-binary @- http://127.62.1.1:7901/calm)" = 200 ]
}
for load in $loads; do
  start g1 "$BUILD/citroncleat" gateway -f "$WORK/gateway.json"
  wait_for 5 curl -sf -o /dev/null http://127.62.1.1:7902/ready
  size=1000000
  [ $load != small-chunks ] || size=100000
  [ $load != unread ] && [ $load != pipelined ] || size=250000
  "$BUILD/standin" crowd --connect 127.62.1.1:7901 --load $load --count $callers --body $size --max-body 1000000 --token crowd \
    >"$WORK/crowd.log" &
  crowd=$!
  sleep 2
  open=$(descriptors)
  wait $crowd
  cat "$WORK/crowd.log" >&2
  echo "$load: $(memory_kb) KB, $open descriptors" >&2
  kill -0 "$(pid_of g1)" && echo "$load: the process lives"
  if [ "$(memory_kb)" -le $most_kb ]; then echo "$load: memory within the bound"; else echo "$load: memory of $(memory_kb) KB"; fi
  if [ "$open" -le $most_descriptors ]; then echo "$load: descriptors within the bound"; else echo "$load: $open descriptors"; fi
  sleep 1
  if is_served; then echo "$load: an ordinary request is served"; else echo "$load: an ordinary request is not served"; fi
  kill -TERM "$(pid_of g1)"
  wait "$(pid_of g1)" || echo "$load: the process ended with status $?"
done
