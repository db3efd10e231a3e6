#!/bin/bash
# Starts a whole deployment, sends calls of every kind while one upstream is
# drained and one entry stops, and checks what is guaranteed: to callers, of
# drains, and of caps on concurrent calls.
#
#   demo/run.sh DEPLOYMENT        (pryce or holzgleis)
#   DEMO_KEEP=1 keeps it running until Enter or SIGTERM
#   DEMO_SECONDS=N, DEMO_CALLERS=N change the load
set -u
. tests/lib.sh
name=${1:-pryce}
dir=examples/$name
case $name in
  pryce) net=127.20 drained=orderdesk-01 host=orderdesk.example service=orderdesk ;;
  holzgleis) net=127.21 drained=shopfront-01 host=shopfront.example service=shopfront ;;
  *) echo "demo: no deployment called '$name' in examples/"; exit 2 ;;
esac
seconds=${DEMO_SECONDS:-15}
callers=${DEMO_CALLERS:-60}
report=$net.255.1:7502
export CITRONCLEAT_ENTRY=$net.0.2:7800
failed=0
fail () { echo "demo: FAILED: $*"; failed=1; }

echo "demo: $name: stand-ins for the store, the VM list and 42 upstreams; 11 entries"
start platform "$BUILD/standin" platform --store $net.255.1:7500 --vms $net.255.1:7501
start upstreams "$BUILD/standin" upstreams -f "$dir/resources.json" --report $report
for i in 01 02 03 04 05 06 07 08 09 10 11; do
  "$BUILD/citroncleat" check-settings -f "$dir/entries/e$i.json" >/dev/null || exit 1
  start "e$i" "$BUILD/citroncleat" entry -f "$dir/entries/e$i.json"
done
wait_for 10 all_serving 11 || { fail "the entries did not find each other"; client status; exit 1; }
wait_for 10 curl -sf "http://$report/" || { fail "the upstreams do not respond at http://$report/"; exit 1; }

echo "demo: applying the configuration of the services"
client apply -f "$dir/resources.json" >"$WORK/apply.txt" || { fail "apply of $dir/resources.json"; exit 1; }
head -1 "$WORK/apply.txt"
wait_for 5 config_in_force_everywhere || fail "the configuration is not in force everywhere after 5 s"
client lookup "$service" --entry $net.0.2:7600

entries=$net.0.2:7600
for i in 3 4 5 6 7 8 9 10 11; do entries=$entries,$net.0.$i:7600; done
echo "demo: $callers callers for $seconds s"
"$BUILD/standin" callers --entries $entries,$net.0.1:7600 --plan "$dir/plan.json" --callers "$callers" \
  --seconds "$seconds" --report $report >"$WORK/callers.txt" 2>&1 &
load=$!
PIDS="$PIDS $load"
sleep $((seconds / 3))
echo "demo: draining upstream $drained"
client drain upstream "$drained" --reason demonstration >/dev/null || fail "drain of upstream $drained"
drained_at=$(curl -s "http://$report/" | sed 's/.*"now_us":\([0-9]*\).*/\1/')
sleep $((seconds / 6))
echo "demo: stopping entry e01"
kill -TERM "$(pid_of e01)"
wait $load || fail "the callers report failures (see their report below)"
wait "$(pid_of e01)" || fail "e01 ended with status $?"

cat "$WORK/callers.txt"
last_start=$(curl -s "http://$report/" | sed "s/.*\"$drained\":{\([^}]*\)}.*/\1/; s/.*\"last_start_us\":\([0-9]*\).*/\1/")
late_ms=$(((last_start - drained_at) / 1000))
[ $late_ms -le 3000 ] || fail "$drained got a new call $late_ms ms after the drain"
echo "last new call at $drained: $late_ms ms after the drain was accepted"
max_running=$(curl -s "http://$report/" | grep -o '"most_of_service":{[^}]*}')
echo "most calls at once: $max_running"
for pair in $(echo "$max_running" | grep -o '"[a-z]*":[0-9]*' | tr -d '"'); do
  cap=$(sed -n "s/.*\"name\": \"${pair%:*}\", \"spec\": {\"hosts\".*\"call_cap\": \([0-9]*\).*/\1/p" "$dir/resources.json")
  [ "${pair#*:}" -le "$cap" ] || fail "service ${pair%:*}: ${pair#*:} calls at once, cap $cap"
done
client status
client burn | awk '$3 == "300s" || NR == 1'
grep -l '"level":"error"' "$WORK"/e*.log && fail "an entry logged an error"

if [ -n "${DEMO_KEEP:-}" ]; then
  cat <<EOF
demo: still running; try, in another terminal:
  export CITRONCLEAT_ENTRY=$CITRONCLEAT_ENTRY CITRONCLEAT_TOKEN=$CITRONCLEAT_TOKEN
  $BUILD/citroncleat status
  curl -i -H 'Host: $host' http://$net.0.3:7600/orders/1
demo: press Enter to stop the deployment
EOF
  read -r _
fi
for pid in $PIDS; do kill -TERM "$pid" 2>/dev/null; done
for pid in $PIDS; do wait "$pid" 2>/dev/null; done
summary=$(tail -n 1 "$WORK/callers.txt")
PIDS=""
echo "demo: $summary"
[ $failed = 0 ]
