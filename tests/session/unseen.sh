# Guards against ends that nobody hears of: requests and connections that the HTTP
# library ends, refuses or drops by itself, and answers held up until their caller
# leaves.  Each has a log line with its cause, and is counted by it, at a gateway on
# 127.43.0.0/16 and at an entry.
. tests/session/deployment.sh
store=http://127.43.9.1:7900
gateway=http://127.43.1.1:7901
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
route () { # NAME PREFIX KIND
  echo "{\"name\":\"$1\",\"host\":\"shop.example\",\"prefix\":\"$2\",\"kind\":\"$3\",\"timeout_ms\":3000,\"target_latency_ms\":900,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2}"
}
start store "$BUILD/standin" metadata --listen 127.43.9.1:7900
for n in 1 2; do start u$n "$BUILD/standin" faulty-upstream --listen 127.43.2.$n:9000 --stamp s; done
cat >"$WORK/gateway.json" <<EOF
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.43.1.1:7901", "readiness": "127.43.1.1:7902",
              "lookups": "127.43.1.1:7903", "metrics": "127.43.1.1:7904" },
  "store": { "address": "127.43.9.1:7900", "poll_ms": 100 },
  "retry": { "ratio": 1, "slack": 100 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "log_lines_per_s": 10000 }
EOF
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
start g1 "$BUILD/citroncleat" gateway -f "$WORK/gateway.json"
put op/config "{\"version\":1,\"routes\":[$(route look /look/ safe),$(route jobs /jobs/ unsafe)],\"services\":[{\"name\":\"desk\"}]}"
for n in 1 2; do
  put servers/i-$n "{\"service\":\"desk\",\"address\":\"127.43.2.$n:9000\",\"zone\":\"north-a\",\"slots\":200,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$n}"
done
start_platform
settings=$(write_settings 1 north-a north)
sed -i 's/"limits": {/"limits": { "header_timeout_s": 1,/' "$settings"
start e1 "$BUILD/citroncleat" entry -f "$settings"
wait_for 5 curl -sf -o /dev/null http://127.43.1.1:7902/ready
cat >"$WORK/unseen.json" <<EOF
{ "resources": [
  { "kind": "region", "name": "north", "spec": {} },
  { "kind": "zone", "name": "north-a", "spec": { "region": "north" } },
  { "kind": "service", "name": "shop", "spec": { "hosts": ["shop.example"], "deadline_ms": 2000 } },
  { "kind": "upstream-group", "name": "rude", "spec": { "service": "shop", "zone": "north-a", "slots": 9, "connections": 30 } },
  { "kind": "upstream", "name": "rude-1", "spec": { "group": "rude", "address": "127.43.2.1:9000" } }
] }
EOF
wait_for 5 client apply -f "$WORK/unseen.json"
wait_for 5 curl -sf -o /dev/null -H 'Host: shop.example' http://127.23.0.1:7600/

trap '' PIPE
# send ADDRESS PORT SECONDS TEXT: sends it and closes after SECONDS.
send () {
  exec 3<>"/dev/tcp/$1/$2"
  printf "$4" >&3 || true # it may be closed already
  timeout "$3" cat <&3 >/dev/null
  exec 3>&-
}
# shown LOG: its lines on ends since the last call, without what differs between runs.
shown () {
  local n
  n=$(wc -l <"$WORK/$1.log")
  sleep 0.3
  tail -n "+$(($(cat "$WORK/$1.seen" 2>/dev/null || echo 0) + 1))" "$WORK/$1.log" | grep -E '"event":"(request|connection)-unfinished"|"event":"http-message"|"event":"attempt-failed"' |
    grep -oE '"((event|id|listener|stage|cause|route|path|not_run)":("[^"]*"|[0-9]+)|reason":"[^"]{24})' | tr '\n' ' ' | sed 's/"event"/\n"event"/g; s/"//g; s/event://g; s/ *$//' | sed 's/ *$//; /^$/d; $a\'
  wc -l <"$WORK/$1.log" >"$WORK/$1.seen"
}
counts () { # URL [CURL-OPTIONS]: which causes were counted
  curl -s "$@" | grep '^citroncleat_http_cut_total' | grep -v ' 0$' | sed 's/citroncleat_//'
}
shown g1 >/dev/null
shown e1 >/dev/null
post="POST /jobs/1 HTTP/1.1\r\nHost: shop.example\r\nDeadline-Ms: 2000\r\nRequest-Id:"
ends () { # ADDRESS PORT LOG: ends that entries of both kinds share
  echo "## a request line that is none"
  send $1 $2 1 'NONSENSE\r\n\r\n'
  shown $3
  echo "## a head larger than the connection's memory"
  send $1 $2 1 "$post u-2\r\nX-Long: $(printf '%0*d' 50000 0)\r\n\r\n"
  shown $3
  echo "## a length that is none"
  send $1 $2 1 "$post u-3\r\nContent-Length: many\r\n\r\n"
  shown $3
  echo "## a chunk whose size is none"
  send $1 $2 1 "$post u-4\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
  shown $3
  echo "## a caller that leaves in the middle of a body is counted only"
  send $1 $2 0.2 "$post u-5\r\nContent-Length: 9\r\n\r\nhalf"
  shown $3
}
echo "# a gateway"
ends 127.43.1.1 7901 g1
echo "## a caller that leaves before it gets its answer (review/3: an answer held up)"
send 127.43.1.1 7901 0.2 "$(sed 's,/jobs/,/none/,' <<<"$post") u-8\r\nContent-Length: 9\r\n\r\nhalf"
shown g1
echo "## an answer that breaks off"
curl -s -m 5 -o /dev/null -H 'Host: shop.example' -H 'Request-Id: u-6' -H 'Deadline-Ms: 1000' -H 'X-Fault: endless-body' $gateway/look/1
shown g1
echo "## lost answers (review/2: the route that was taken, and the path as sent)"
sleep 1
for path in /look/a%2Fb /jobs/look%2F1; do
  curl -s -m 5 -o /dev/null --path-as-is -X POST -d order -H 'Host: shop.example' -H 'Request-Id: u-7' -H 'X-Fault: close' $gateway$path
  shown g1
  sleep 1
done
echo "## counted"
counts http://127.43.1.1:7904/metrics
echo "# an entry"
ends 127.23.0.1 7600 e1
echo "## a request line that never ends"
send 127.23.0.1 7600 4 'GET /jo'
shown e1
echo "## a head that never ends"
send 127.23.0.1 7600 4 'GET /jobs/ HTTP/1.1\r\nHost: sh'
shown e1
echo "## counted"
counts -H 'Authorization: Bearer demonstration-token' http://127.23.0.1:7800/metrics
