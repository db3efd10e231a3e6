#!/bin/bash
# Measures steering with real processes at the full size of a deployment: 11
# entries, 42 upstreams, 55 ms between regions.  Callers are closed-loop, and
# figures are ratios within one run.  Counts that must be zero and are not make
# the exit status 1.
#
#   bench/fleet.sh [pryce|holzgleis]
#
#   FLEET_S=N  seconds of load for each figure (default 12)
#   SEED=N     seed of the callers and of the choice of slow upstreams
#   CALLERS=N  callers of the main load (default 190)
set -u
. tests/lib.sh
name=${1:-pryce}
case $name in
  pryce) net=127.20 first=orderdesk region=gwent short=/orders/1 long=/photos ;;
  holzgleis) net=127.21 first=shopfront region=ch-west short=/catalogue/1 long=/photos ;;
  *) echo "bench: no deployment called '$name'"; exit 2 ;;
esac
dir=examples/$name
report=$net.255.1:7502
seconds=${FLEET_S:-12}
RANDOM=${SEED:-11}
failed=0
export CITRONCLEAT_ENTRY=$net.0.2:7800
entries=""
vms=""
start platform "$BUILD/standin" platform --store $net.255.1:7500 --vms $net.255.1:7501
start upstreams "$BUILD/standin" upstreams -f "$dir/resources.json" --report $report --service-ms 100
for i in 1 2 3 4 5 6 7 8 9 10 11; do
  start "e$i" "$BUILD/citroncleat" entry -f "$dir/entries/e$(printf %02d $i).json"
  entries="$entries,$net.0.$i:7600"
  vms="$vms,{\"name\":\"e$i\",\"peers\":\"$net.0.$i:7700\",\"state\":\"live\"}"
done
curl -s -o /dev/null -X PUT -d "{\"vms\":[${vms#,}]}" http://$net.255.1:7501/v1/vms
wait_for 10 all_serving 11 || { echo "bench: the entries did not find each other"; exit 1; }
client apply -f "$dir/resources.json" >/dev/null || exit 1
wait_for 5 config_in_force_everywhere
sleep 1

# Plans of the callers: short calls only, and with some long calls of 4 s.
cat >"$WORK/short.json" <<EOF
{ "calls": [ { "name": "short", "host": "$first.example", "service": "$first", "method": "GET", "path": "$short", "weight": 1 } ] }
EOF
cat >"$WORK/mixed.json" <<EOF
{ "calls": [ { "name": "short", "host": "$first.example", "service": "$first", "method": "GET", "path": "$short", "weight": 60 },
  { "name": "long", "host": "$first.example", "service": "$first", "method": "POST", "path": "$long", "weight": 1, "body_bytes": 20000, "service_ms": "4000" } ] }
EOF
figure () { # name value unit baseline target
  awk -v n="$1" -v v="$2" -v u="$3" -v b="$4" -v t="$5" 'BEGIN {
    printf "figure %s %s %s baseline=%s target=<=%s %s\n", n, v, u, b, t, v <= t ? "ok" : "short" }'
}
must_be_zero () {
  figure "$1" "$2" count - 0
  [ "$2" = 0 ] || failed=1
}
report () { curl -s "http://$report/"; }
# callers PLAN N SECONDS: runs N callers, with the report in $WORK/PLAN.txt
callers () {
  "$BUILD/standin" callers --entries "${entries#,}" --plan "$WORK/$1.json" --callers "$2" --seconds "$3" \
    --seed $RANDOM --report $report >"$WORK/$1.txt" 2>&1
}
# The p99 and the percentage refused of the short calls of PLAN.
p99 () { awk '$1 == "short" { print $7 }' "$WORK/$1.txt"; }
refused () { awk '$1 == "short" { printf "%.3f\n", 100 * ($4 + $5) / $2 }' "$WORK/$1.txt"; }
# set_slowdown UPSTREAM FACTOR: UPSTREAM is a number from 1 to 30
set_slowdown () { curl -s -o /dev/null -X PUT "http://$report/?upstream=$first-$(printf %02d "$1")&slow=$2"; }
ratio () { awk -v a="$1" -v b="$2" 'BEGIN { printf "%.3f", a / b }'; }

caller_count=${CALLERS:-190} # uses about 70 % of 270 slots
callers short 60 4 # warm up
callers short $caller_count "$seconds"
baseline_p99=$(p99 short)
echo "# calm: $(tail -1 "$WORK/short.txt"); p99 $baseline_p99 ms"
callers short $caller_count "$seconds" &
load=$!
PIDS="$PIDS $load"
while kill -0 $load 2>/dev/null; do # three of thirty upstreams are slow, for 0.2 to 2 s
  a=$((RANDOM % 30 + 1)) b=$((RANDOM % 30 + 1)) c=$((RANDOM % 30 + 1))
  for u in $a $b $c; do set_slowdown $u 10; done
  sleep "$(awk -v r=$RANDOM 'BEGIN { printf "%.2f", 0.2 + 1.8 * r / 32768 }')"
  for u in $a $b $c; do set_slowdown $u 1; done
done
wait $load
echo "# slowed: $(tail -1 "$WORK/short.txt"); p99 $(p99 short) ms"
figure fleet_slowed_p99 "$(ratio "$(p99 short)" "$baseline_p99")" of-calm "${baseline_p99}ms" 1.5
figure fleet_refused "$(refused short)" percent - 0.5

# A region is drained while calls of 4 s are in progress there.  Measures the
# time until its upstreams have none, relative to the ideal of 6 s: the longest
# call and the 2 s for which a look-up response is valid.
callers mixed 100 $((seconds + 8)) &
load=$!
PIDS="$PIDS $load"
sleep 6
running () { # calls in progress at the region's upstreams
  curl -s "http://$report/running" | grep -o "\"$region\":[0-9]*" | cut -d: -f2
}
client drain region $region --reason bench >/dev/null
began=$(date +%s%N)
drained_at=$(report | sed 's/.*"now_us":\([0-9]*\).*/\1/')
while [ "$(running)" != 0 ]; do sleep 0.05; done
elapsed_ms=$((($(date +%s%N) - began) / 1000000))
figure fleet_region_drain "$(ratio $elapsed_ms 6000)" of-ideal "6000ms" 1.2
last_start=0
for u in $(grep '"upstream"' "$dir/resources.json" | grep -e "-$region-" | sed 's/.*"name": "\([^"]*\)".*/\1/'); do
  at=$(report | sed "s/.*\"$u\":{\([^}]*\)}.*/\1/; s/.*\"last_start_us\":\([0-9]*\).*/\1/")
  [ "$at" -le $last_start ] || last_start=$at
done
figure fleet_last_new_call_after_drain "$(awk -v a="$last_start" -v b="$drained_at" 'BEGIN { printf "%.3f", (a - b) / 1e6 }')" s - 3
wait $load
echo "# drained under load: $(tail -1 "$WORK/mixed.txt"); p99 $(p99 mixed) ms"
client undrain region $region >/dev/null

over=$(report | grep -o '"most_connections":[0-9]*,"slots":[0-9]*,"connection_limit":[0-9]*' |
  awk -F'[:,]' '{ n += $2 > $6 } END { print n + 0 }')
must_be_zero fleet_connections_over_limit "$over"
over=$(report | grep -o '"most_running":[0-9]*,"most_connections":[0-9]*,"slots":[0-9]*' |
  awk -F'[:,]' '{ n += $2 > $6 } END { print n + 0 }')
must_be_zero fleet_calls_over_slots "$over"
max_running=$(report | grep -o "\"most_of_service\":{\"$first\":[0-9]*" | grep -o '[0-9]*$')
must_be_zero fleet_calls_over_service_cap "$([ "${max_running:-0}" -le 240 ] && echo 0 || echo $((max_running - 240)))"
exit $failed
