# Guards against entries that together open more connections to an upstream than
# its limit allows, and against calls that fail because they may not.  Both come
# about when load moves from one entry to the next: the idle connections that the
# earlier ones keep count against the limit when the next one opens its own.
. tests/session/deployment.sh
LIMIT=14
start_platform
sed "s/\"connections\": 400/\"connections\": $LIMIT/" tests/session/resources.json >"$WORK/resources.json"
start upstreams "$BUILD/standin" upstreams -f "$WORK/resources.json" --report $REPORT --service-ms 10 --lag-ms 500
wait_for 5 curl -sf "http://$REPORT/"
start_entries
client apply -f "$WORK/resources.json" >/dev/null
wait_for 5 config_in_force_everywhere
for entry in 1 2 3 1 2 3; do
  wait_for 5 curl -sf -o /dev/null -H 'Host: shop.example' http://127.23.0.$entry:7600/
  "$BUILD/standin" load --url http://127.23.0.$entry:7600/orders/1 --host shop.example --connections 30 --seconds 1 \
    >"$WORK/load"
  grep -q ' failed=0$' "$WORK/load" && echo "30 callers at e$entry, none failed"
done
curl -s "http://$REPORT/" | grep -o '"most_connections":[0-9]*' | while IFS=: read -r _ count; do
  [ "$count" -le $LIMIT ] && echo "within the limit" || echo "$count connections, limit $LIMIT"
done
