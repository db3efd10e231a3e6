# Guards against callers that wait for a slow upstream: a safe call there is sent
# to a second one, the first response is used and the other attempt is cancelled,
# all within the hedge budget.  An unsafe call is never hedged, since it would run
# twice.
. tests/session/deployment.sh
start_platform
sed 's/"slots": 9/"slots": 2/' tests/session/resources.json >"$WORK/resources.json"
start_upstreams "$WORK/resources.json"
start_entry 1 north-a north
wait_for 5 all_serving 1
client apply -f "$WORK/resources.json" >/dev/null
wait_for 5 config_in_force_everywhere
wait_for 5 curl -sf -o /dev/null -H 'Host: shop.example' http://127.23.0.1:7600/
report () { curl -s "http://$REPORT/"; }
cancelled () { report | grep -o '"cancelled":[0-9]*' | awk -F: '{ n += $2 } END { print n }'; }
hedges () {
  curl -s -H "Authorization: Bearer $CITRONCLEAT_TOKEN" http://127.23.0.1:7800/metrics |
    awk '/^citroncleat_hedges_total/ { n += $2 } END { print n + 0 }'
}
calls () { # METHOD PATH N: prints how many got their own response within 1 s
  local n=0 i
  for i in $(seq 1 "$3"); do
    curl -s -m 1 -X "$1" -H 'Host: shop.example' -H "X-Caller-Token: c$i" "http://127.23.0.1:7600$2" |
      grep -q "\"token\":\"c$i\"" && n=$((n + 1))
  done
  echo "$n of $3"
}
three_callers () { # three callers at once, so that no upstream alone can serve them
  local pids="" i
  for i in 1 2 3; do
    calls GET /orders/$i 30 >"$WORK/calls$i" &
    pids="$pids $!"
  done
  wait $pids
  cat "$WORK"/calls[123]
}
echo "# all upstreams at their usual speed"
three_callers
before=$(hedges)
echo "# the upstream that got the most calls is slowed down by a factor of 400"
busiest=$(report | grep -o '"shop-[0-9]":{"served":[0-9]*' | tr -d '"{' | sort -t: -k3 -n | tail -1 | cut -d: -f1)
curl -s -o /dev/null -X PUT "http://$REPORT/?upstream=$busiest&slow=400"
three_callers
[ "$(hedges)" -gt "$before" ] && echo "hedged"
sleep 0.3
[ "$(cancelled)" -ge 1 ] && echo "the slower attempt was cancelled"
extra=$(($(hedges) - before))
[ $extra -le 32 ] && echo "within the budget"
echo "# jobs are sent once, however long they take"
before=$(hedges)
for i in 1 2 3 4 5 6; do
  curl -s -m 10 -X POST -H 'Host: shop.example' -H "Idempotency-Key: job$i" -d x http://127.23.0.1:7600/jobs >/dev/null
done
echo "hedges: $(($(hedges) - before))"
report | grep -o '"runs":{[^}]*}'
