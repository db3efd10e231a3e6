#!/bin/bash
# Measures what the control plane costs one entry as the number of entries
# grows: real entries without load, on loopback.  Prints a row for each number of
# entries, and figures extrapolated from the smallest and the largest one to
# 3,500 entries.
#
#   SIZES="N..."  numbers of entries (default 11, 50 and 100)
#   MEASURE_S=N   seconds of each measurement (default 10)
set -u
SIZES=${SIZES:-"11 50 100"}
MEASURE_S=${MEASURE_S:-10}

measure () ( # ENTRIES: prints them, and the values in the order of the row
  . tests/lib.sh
  export CITRONCLEAT_ENTRY=127.24.0.1:7800
  n=$1
  start platform "$BUILD/standin" platform --store 127.24.255.1:7500 --vms 127.24.255.1:7501
  wait_for 5 curl -sf http://127.24.255.1:7500/_control
  vms=""
  for i in $(seq 1 "$n"); do
    ip=127.24.$((i / 250)).$((i % 250))
    cat >"$WORK/e$i.json" <<EOF
{ "name": "e$i", "region": "r$((i % 3))", "zone": "z$((i % 6))",
  "listen": { "callers": "$ip:7600", "peers": "$ip:7700", "operators": "$ip:7800" },
  "store": { "url": "http://127.24.255.1:7500" },
  "vm_list": { "url": "http://127.24.255.1:7501" },
  "peers": { "key": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
             "seeds": ["127.24.0.1:7700"] },
  "operators": { "token": "demonstration-token" }, "log": { "level": "error" } }
EOF
    vms="$vms{\"name\":\"e$i\",\"peers\":\"$ip:7700\",\"state\":\"live\"},"
  done
  curl -s -o /dev/null -X PUT -d "{\"vms\":[${vms%,}]}" http://127.24.255.1:7501/v1/vms
  for i in $(seq 1 "$n"); do
    start "e$i" "$BUILD/citroncleat" entry -f "$WORK/e$i.json"
  done
  wait_for 60 all_serving "$n" || { echo "slopes: $n entries did not find each other"; exit 1; }
  sleep 5
  metric () { curl -s -H "Authorization: Bearer $CITRONCLEAT_TOKEN" http://127.24.0.1:7800/metrics | awk -v m="$1" '$1 == m { print $2 }'; }
  # Processor time of e1, in ticks of 10 ms; reads of the store by all entries.
  cpu () { awk '{ print $14 + $15 }' "/proc/$(pid_of e1)/stat"; }
  store_reads () { curl -s http://127.24.255.1:7500/_control | sed 's/[^0-9]*\([0-9]*\).*/\1/'; }
  b0=$(metric citroncleat_peer_bytes_total) c0=$(cpu) s0=$(store_reads)
  sleep "$MEASURE_S"
  b1=$(metric citroncleat_peer_bytes_total) c1=$(cpu) s1=$(store_reads)
  rss=$(awk '/VmRSS/ { print $2 }' "/proc/$(pid_of e1)/status")
  echo '{"kind":"region","name":"r0","spec":{}}' >"$WORK/change.json"
  began=$(date +%s%N)
  client apply -f "$WORK/change.json" >/dev/null
  wait_for 10 config_in_force_everywhere
  in_force_ms=$((($(date +%s%N) - began) / 1000000))
  kill -KILL "$(pid_of e2)"
  began=$(date +%s%N)
  wait_for 10 all_serving $((n - 1))
  dead_out_ms=$((($(date +%s%N) - began) / 1000000))
  echo "$n $(((b1 - b0) / MEASURE_S)) $(((c1 - c0) * 10 / MEASURE_S)) $rss $(((s1 - s0) * 10 / MEASURE_S)) $in_force_ms $dead_out_ms"
)

rows=""
for n in $SIZES; do
  row=$(measure "$n") || { echo "$row"; exit 1; }
  echo "entries=$row" | awk '{ printf "%s bytes/s=%s core_permille=%s resident_kB=%s store_reads_per_10s=%s in_force_ms=%s dead_out_ms=%s\n", $1, $2, $3, $4, $5, $6, $7 }'
  rows="$rows$row
"
done
echo "$rows" | awk 'NF == 7 { if (!n0) { n0 = $1; for (i = 2; i <= 7; i++) f[i] = $i } n1 = $1; for (i = 2; i <= 7; i++) l[i] = $i }
  # Extrapolates column I to 3,500 entries.
  function extrapolate (i) { return f[i] + (l[i] - f[i]) / (n1 - n0) * (3500 - n0) }
  function row (name, value, unit, target) {
    printf "figure %s %.4g %s baseline=measured_at_%d..%d target=<=%g %s\n", name, value, unit, n0, n1, target, value <= target ? "ok" : "short" }
  END {
    row("control_bytes_at_3500", extrapolate(2), "bytes/s", 30720)
    row("control_core_at_3500", extrapolate(3) / 10, "percent", 1)
    row("resident_at_3500", extrapolate(4) / 1024, "MB", 256)
    row("store_reads_at_3500", extrapolate(5) / 10, "per_second", 2000) }'
