# What callers get: look-ups, calls that succeed, and each kind of refused call
# with its status and outcome.  Guards against a refusal whose outcome is wrong:
# a call that ran and is reported as not run is sent again by its caller.
. tests/session/deployment.sh
start_platform
start_upstreams
start_entries
client apply -f tests/session/resources.json >/dev/null
wait_for 5 config_in_force_everywhere
wait_for 5 curl -sf -o /dev/null -H 'Host: shop.example' http://127.23.0.1:7600/

lookup () {
  echo "> lookup $1"
  curl -s -m 5 "http://127.23.0.1:7600/.well-known/citroncleat/lookup?$1"
  echo
}
lookup 'service=shop&region=north&caller=a'
lookup 'service=shop&region=south&caller=a'
lookup 'service=none'
echo "# look-ups leave out a drained entry"
client drain entry e2 >/dev/null
wait_for 5 config_in_force_everywhere
sleep 0.2
lookup 'service=shop&region=north&caller=a'
client undrain entry e2 >/dev/null
wait_for 5 config_in_force_everywhere
sleep 0.2
call GET /orders/1
call GET '/orders/1?a=%2F&b=c+d'
call HEAD /orders/1
call POST /jobs -d 'hem and fall'
call POST /jobs -H 'Transfer-Encoding: chunked' -d 'in chunks'
call PUT /orders/1 -H 'Content-Length: 0'
call GET /orders/1 -H 'Request-Id: my-own-id'
HOST=none.example call GET /orders/1
call GET /orders/1 -H 'Host: other.example'
head -c 1000001 /dev/zero >"$WORK/large"
call POST /photos -H 'Expect:' --data-binary "@$WORK/large"
call POST /photos -H 'Expect:' -H 'Transfer-Encoding: chunked' --data-binary "@$WORK/large"
call GET /slow -H 'X-Service-Ms: 2000' -H 'Request-Timeout-Ms: 200'
call DELETE /.well-known/citroncleat/lookup
call GET /.well-known/citroncleat/health
echo "# every upstream drained"
client drain region north >/dev/null
client drain region south >/dev/null
wait_for 5 config_in_force_everywhere
sleep 0.2
call GET /orders/1
lookup 'service=shop&region=north&caller=a'
