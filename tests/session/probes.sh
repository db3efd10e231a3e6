# An upstream that sends an answer to a health check again where the answer to the next
# one is due.  Guards against probes that from then on read the answer to the one before.
. tests/session/deployment.sh
start_platform
start faulty-upstream "$BUILD/standin" faulty-upstream --listen 127.33.9.3:9000
cat >"$WORK/probes.json" <<EOF
{ "resources": [
  { "kind": "region", "name": "north", "spec": {} },
  { "kind": "zone", "name": "north-a", "spec": { "region": "north" } },
  { "kind": "service", "name": "shop", "spec": { "hosts": ["shop.example"], "health_path": "/_health", "health_interval_ms": 1000 } },
  { "kind": "upstream-group", "name": "rude", "spec": { "service": "shop", "zone": "north-a", "slots": 9, "connections": 30 } },
  { "kind": "upstream", "name": "rude-1", "spec": { "group": "rude", "address": "127.33.9.3:9000" } }
] }
EOF
start_entry 1 north-a north
wait_for 5 client apply -f "$WORK/probes.json"
wait_for 5 curl -sf -o /dev/null -H 'Host: shop.example' http://127.23.0.1:7600/
reports () { grep -c "reported $1" "$WORK/faulty-upstream.log"; }
wait_for 9 eval '[ "$(reports serving)" -ge 4 ]'
curl -s -o /dev/null http://127.33.9.3:9000/_leave
wait_for 9 grep -q '"upstream-leaving"' "$WORK/e1.log"
echo "reports that it leaves until the entry knows: $(reports leaving)"
