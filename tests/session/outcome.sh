# The response and outcome that a caller gets when an upstream breaks HTTP or the
# platform's protocol, and how often the request then ran there.  Guards against
# an unsafe call that runs twice, and a response that reaches the wrong caller or
# passes for a whole one.
. tests/session/deployment.sh
start_platform
start faulty-upstream "$BUILD/standin" faulty-upstream --listen 127.33.9.1:9000
cat >"$WORK/rude.json" <<EOF
{ "resources": [
  { "kind": "region", "name": "north", "spec": {} },
  { "kind": "zone", "name": "north-a", "spec": { "region": "north" } },
  { "kind": "service", "name": "shop", "spec": { "hosts": ["shop.example"], "deadline_ms": 1000 } },
  { "kind": "upstream-group", "name": "rude", "spec": { "service": "shop", "zone": "north-a", "slots": 9, "connections": 30 } },
  { "kind": "upstream", "name": "rude-1", "spec": { "group": "rude", "address": "127.33.9.1:9000" } },
  { "kind": "service", "name": "fresh", "spec": { "hosts": ["fresh.example"], "answer_check": "new-connection" } },
  { "kind": "upstream-group", "name": "gone", "spec": { "service": "fresh", "zone": "north-a", "slots": 9, "connections": 9 } },
  { "kind": "upstream", "name": "gone-1", "spec": { "group": "gone", "address": "127.33.9.2:9000" } }
] }
EOF
start_entry 1 north-a north
wait_for 5 client apply -f "$WORK/rude.json"
wait_for 5 curl -sf -o /dev/null -H 'Host: shop.example' -H 'X-Caller-Token: warm' http://127.23.0.1:7600/

runs () {
  echo "runs of $1: $(curl -s -H 'Request-Id: r' "http://127.33.9.1:9000/_runs/$1" | sed 's/.*token":"\([0-9]*\)".*/\1/')"
}
echo "# the upstream closes a kept-alive connection after it read the request: a job is not sent again"
TOKEN=job1 call POST /jobs -H 'X-Fault: close' -d x
runs job1
echo "# a safe call is sent again, within the limit of attempts"
TOKEN=get1 call GET /orders -H 'X-Fault: close'
runs get1
sleep 1
echo "# the second copy of a response is not taken as the response to the next call"
TOKEN=job2 call POST /jobs -H 'X-Fault: twice' -d x
for i in 3 4 5; do
  TOKEN=job$i call POST /jobs -d x
  sleep 0.2
  runs job$i
done
echo "# the response to the call before is rejected"
TOKEN=job6 call POST /jobs -H 'X-Fault: crossed' -d x
runs job6
echo "# a response after the deadline reaches no caller"
TOKEN=job7 call POST /jobs -H 'X-Fault: late' -d x
TOKEN=job8 call POST /jobs -d x
runs job7
sleep 1
echo "# half a response is not forwarded as a whole one"
curl -s -i -m 5 -H 'Host: shop.example' -H 'X-Caller-Token: job9' -H 'X-Fault: half' -X POST -d x \
  http://127.23.0.1:7600/jobs | tr -d '\r' | normalise
echo "curl exit ${PIPESTATUS[0]}"
echo "# half a response to a safe call: the call is sent again, within the limit of attempts"
TOKEN=get2 call GET /orders -H 'X-Fault: half'
runs get2
sleep 1
echo "# a large response that the upstream cuts off reaches the caller cut off"
curl -s -m 5 -o /dev/null -w 'status %{http_code}\n' -H 'Host: shop.example' -H 'X-Caller-Token: job10' -H 'X-Fault: cut' \
  -X POST -d x http://127.23.0.1:7600/jobs
echo "curl exit $?"
echo "# nothing listens at the upstream's address: not run"
HOST=fresh.example call POST /jobs -d x
