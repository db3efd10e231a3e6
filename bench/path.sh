#!/bin/bash
# Measures what the path through one entry with one worker costs: sends the same
# load through the entry and directly to the stand-in, in turn, and takes the
# median of the pairs.  Then measures the entry's memory during a large upload.
#
#   SECONDS_EACH=N  seconds of each load (default 2)
#   PAIRS=N         pairs of loads (default 5)
set -u
. tests/lib.sh
SECONDS_EACH=${SECONDS_EACH:-2}
PAIRS=${PAIRS:-5}
export CITRONCLEAT_ENTRY=127.22.0.1:7800

start platform "$BUILD/standin" platform --store 127.22.255.1:7500 --vms 127.22.255.1:7501
start upstreams "$BUILD/standin" upstreams -f bench/path/resources.json \
  --report 127.22.255.1:7502 --service-ms 0 --connect-ms 0 --queue 1000
start entry "$BUILD/citroncleat" entry -f bench/path/entry.json
wait_for 5 client apply -f bench/path/resources.json || { echo "bench: no deployment"; exit 1; }
wait_for 5 curl -sf -o /dev/null -H 'Host: echo.example' -H 'X-Caller-Token: x' http://127.22.0.1:7600/

load () {
  "$BUILD/standin" load --url "$1" --host echo.example --connections "$2" --seconds "$SECONDS_EACH"
}
# value FIELD: extracts a number from the report of a load
value () { sed "s/.*$1=\([0-9]*\).*/\1/"; }
figure () { # name value unit baseline target min|max
  awk -v n="$1" -v v="$2" -v u="$3" -v b="$4" -v t="$5" -v c="$6" 'BEGIN {
    ok = c == "min" ? v >= t : v <= t
    printf "figure %s %s %s baseline=%s target=%s %s\n", n, v, u, b, t, ok ? "ok" : "short" }'
}

# pairs CONNECTIONS FIELD: loads directly and through the entry in turn, PAIRS
# times, and prints a line "DIRECT THROUGH" with the FIELD of each.
pairs () {
  for _ in $(seq "$PAIRS"); do
    echo "$(load http://127.32.1.1:9000/ "$1" | value "$2") $(load http://127.22.0.1:7600/ "$1" | value "$2")"
  done
}
median () { sort -g | awk '{ a[NR] = $1 } END { print a[int((NR + 1) / 2)] }'; }

pairs 32 calls_per_second >"$WORK/throughput"
pairs 1 p50_us >"$WORK/p50"
echo "# calls a second, 32 connections, direct and through: $(tr '\n' ';' <"$WORK/throughput")"
echo "# p50 us, 1 connection, direct and through: $(tr '\n' ';' <"$WORK/p50")"
figure path_throughput "$(awk '{ printf "%.3f\n", $2 / $1 }' "$WORK/throughput" | median)" of-direct \
  "$(awk '{ print $1 }' "$WORK/throughput" | median)/s" 0.40 min
figure path_added_p50 "$(awk '{ printf "%.2f\n", ($2 - $1) / $1 }' "$WORK/p50" | median)" direct-round-trips \
  "$(awk '{ print $1 }' "$WORK/p50" | median)us" 2 max

# Resident memory of the entry, in kB.
resident () { awk '/VmRSS/ { print $2 }' "/proc/$(pid_of entry)/status"; }
before=$(resident)
max_resident=$before
head -c 1073741824 /dev/zero | curl -s -o "$WORK/upload" -H 'Host: echo.example' -H 'X-Caller-Token: big' \
  -H 'Expect:' -X POST -T - http://127.22.0.1:7600/upload &
upload=$!
PIDS="$PIDS $upload"
while kill -0 $upload 2>/dev/null; do
  now=$(resident)
  [ "$now" -le "$max_resident" ] || max_resident=$now
  sleep 0.05
done
grep -q '"bytes":1073741824' "$WORK/upload" || { echo "figure upload_bytes 0 bytes baseline=- target=1073741824 short"; exit 1; }
figure upload_1g_memory "$(awk "BEGIN { printf \"%.1f\", ($max_resident - $before) / 1024 }")" MB "${before}kB" 16 max
